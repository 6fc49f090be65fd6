// Package anvilinstancecmd implements the commands that list, view and recover instances.
package anvilinstancecmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command `anvilshunt instance`.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "instance",
		Usage:       "anvilshunt instance <list|view|recover> ...",
		ShortHelp:   "list and view instances, recover from the loss of a majority of the voters",
		Subcommands: []*ff.Command{newList(factory), newView(factory), newRecover(factory)},
	}
}
