package anviltargetcmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anvilverb"
)

func newView(factory *anvilfactory.Factory) *ff.Command {
	help := anvilverb.Help{
		Usage:   "anvilshunt target view ID",
		Short:   "show a target as JSON",
		Example: "anvilshunt target view t-17",
	}
	return anvilverb.NewView(factory, help, "the id of the target", find)
}

func find(ctx context.Context, client *anvilclient.Client, id string) (anvilstate.Target, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return anvilstate.Target{}, err
	}
	for _, target := range status.Targets {
		if target.ID == anvilid.TargetID(id) {
			return target, nil
		}
	}
	return anvilstate.Target{}, fmt.Errorf("target %q isn't registered; list targets with `anvilshunt target list`", id)
}
