// Package anvilobjectcmd implements the commands that list and view the configuration objects of one
// kind, such as accounts.
package anvilobjectcmd

import (
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

// New returns the command for the objects of one kind, such as `anvilshunt account`.
func New(factory *anvilfactory.Factory, kind anvilconfig.Kind) *ff.Command {
	return &ff.Command{
		Name:        string(kind),
		Usage:       fmt.Sprintf("anvilshunt %s <list|view> ...", kind),
		ShortHelp:   fmt.Sprintf("list and view objects of kind %s", kind),
		Subcommands: []*ff.Command{newList(factory, kind), newView(factory, kind)},
	}
}

type options struct {
	Kind        anvilconfig.Kind
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
}
