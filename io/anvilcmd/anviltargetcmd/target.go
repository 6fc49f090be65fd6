// Package anviltargetcmd implements the commands that list, view and drain targets.
package anviltargetcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command `anvilshunt target`.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:        "target",
		Usage:       "anvilshunt target <list|view|drain> ...",
		ShortHelp:   "list, view and drain targets",
		Subcommands: []*ff.Command{newList(factory), newView(factory), newDrain(factory)},
	}
}

type options struct {
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
}
