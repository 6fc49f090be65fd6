// Package anvilconfigcmd implements the commands that check settings files of instances, and that
// view and change the configuration of the system.
package anvilconfigcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command `anvilshunt config`.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "config",
		Usage:       "anvilshunt config <check|apply|diff|view|history> ...",
		ShortHelp:   "check settings, view and change the configuration",
		Subcommands: []*ff.Command{newCheck(factory), newApply(factory), newDiff(factory), newView(factory), newHistory(factory)},
	}
}
