package anviltargetcmd

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
		Usage:   "anvilshunt target list [--json]",
		Short:   "list the targets and their owners",
		Example: "anvilshunt target list",
	}
	rows := anvilverb.Rows[anvilstate.Target]{
		Heading: []string{"id", "service", "zone", "rack", "owner", "epoch", "reserved", "leaving"},
		Add: func(table *anviltable.Table, target anvilstate.Target) {
			table.Add(target.ID, target.Service, target.Zone, target.Rack, target.Owner, target.Epoch, target.Reserved, target.Leaving)
		},
	}
	return anvilverb.NewList(factory, help, rows, fetch)
}

func fetch(ctx context.Context, client *anvilclient.Client) ([]anvilstate.Target, error) {
	status, err := client.Status(ctx)
	return status.Targets, err
}
