// Package anvilreportcmd holds the commands that report on past service.
package anvilreportcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "report",
		Usage:       "anvilshunt report <burn> ...",
		ShortHelp:   "report on past service",
		Subcommands: []*ff.Command{newBurn(factory)},
	}
}
