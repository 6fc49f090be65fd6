package anviltargetcmd

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
		Usage:   "anvilshunt target view ID",
		Short:   "show a target as JSON",
		Example: "anvilshunt target view t-17",
	}
	item := anvilverb.Item[anvilstate.Target]{
		Argument: "the id of the target",
		Matches:  func(target anvilstate.Target, id string) bool { return target.ID == anvilid.TargetID(id) },
		Missing: func(id string) error {
			return fmt.Errorf("target %q isn't registered; list targets with `anvilshunt target list`", id)
		},
	}
	return anvilverb.NewView(factory, help, item, fetch)
}
