package anvilinstancecmd

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
		Usage:   "anvilshunt instance view ID",
		Short:   "show an instance as JSON",
		Example: "anvilshunt instance view palermo-1",
	}
	return anvilverb.NewView(factory, help, "the id of the instance", find)
}

func find(ctx context.Context, client *anvilclient.Client, id string) (anvilstate.Instance, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return anvilstate.Instance{}, err
	}
	for _, instance := range status.Instances {
		if instance.ID == anvilid.InstanceID(id) {
			return instance, nil
		}
	}
	return anvilstate.Instance{}, fmt.Errorf("instance %q isn't registered; list instances with `anvilshunt instance list`", id)
}
