package anvilinstancecmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
	"anvilshunt/io/anvilcmd/anvilverb"
)

func newList(factory *anvilfactory.Factory) *ff.Command {
	help := anvilverb.Help{
		Usage:   "anvilshunt instance list [--json]",
		Short:   "list the instances that are registered with the control group",
		Example: "anvilshunt instance list",
	}
	rows := anvilverb.Rows[anvilstate.Instance]{
		Heading: []string{"id", "region", "zone", "public", "peer", "draining"},
		Add: func(table *anviltable.Table, instance anvilstate.Instance) {
			table.Add(instance.ID, instance.Region, instance.Zone, instance.Public, instance.Peer, instance.Draining)
		},
	}
	return anvilverb.NewList(factory, help, rows, fetch)
}

func fetch(ctx context.Context, client *anvilclient.Client) ([]anvilstate.Instance, error) {
	status, err := client.Status(ctx)
	return status.Instances, err
}
