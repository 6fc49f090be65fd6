package anvilinstancecmd

import (
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anvilverb"
)

func newView(factory *anvilfactory.Factory) *ff.Command {
	help := anvilverb.Help{
		Usage:   "anvilshunt instance view ID",
		Short:   "show an instance as JSON",
		Example: "anvilshunt instance view palermo-1",
	}
	item := anvilverb.Item[anvilstate.Instance]{
		Argument: "the id of the instance",
		Matches:  func(instance anvilstate.Instance, id string) bool { return instance.ID == anvilid.InstanceID(id) },
		Missing: func(id string) error {
			return fmt.Errorf("instance %q isn't registered; list instances with `anvilshunt instance list`", id)
		},
	}
	return anvilverb.NewView(factory, help, item, fetch)
}
