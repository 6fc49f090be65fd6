// Package anvilzonecmd implements the commands that list and evacuate availability zones.
package anvilzonecmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command `anvilshunt zone`.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "zone",
		Usage:       "anvilshunt zone <list|evacuate|return> ...",
		ShortHelp:   "list and evacuate availability zones",
		Subcommands: []*ff.Command{newList(factory), newEvacuate(factory), newReturn(factory)},
	}
}
