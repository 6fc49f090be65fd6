// Package anvilreportcmd implements the commands that report how past requests and jobs met the
// service-level objectives, and what was learnt about targets.
package anvilreportcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command `anvilshunt report`.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "report",
		Usage:       "anvilshunt report <burn|speeds|neighbours> ...",
		ShortHelp:   "report how past requests and jobs met their objectives, and how fast targets are",
		Subcommands: []*ff.Command{newBurn(factory), newSpeeds(factory), newNeighbours(factory)},
	}
}
