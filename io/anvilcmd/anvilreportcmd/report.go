// Package anvilreportcmd implements the commands that report how past requests and jobs met the
// service-level objectives.
package anvilreportcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command `anvilshunt report`.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "report",
		Usage:       "anvilshunt report <burn> ...",
		ShortHelp:   "report how past requests and jobs met the service-level objectives",
		Subcommands: []*ff.Command{newBurn(factory)},
	}
}
