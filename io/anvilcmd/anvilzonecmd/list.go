package anvilzonecmd

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
		Usage:   "anvilshunt zone list [--json]",
		Short:   "list the zones, which are evacuated, and the gangs that run there",
		Example: "anvilshunt zone list",
	}
	rows := anvilverb.Rows[anvilstate.ZoneStatus]{
		Heading: []string{"zone", "evacuated", "targets", "jobs", "reserved"},
		Add: func(table *anviltable.Table, zone anvilstate.ZoneStatus) {
			table.Add(string(zone.Region)+"/"+string(zone.Zone), zone.EvacuatedSince > 0, zone.Targets, len(zone.Jobs), zone.Reserved)
		},
	}
	return anvilverb.NewList(factory, help, rows, func(ctx context.Context, client *anvilclient.Client) ([]anvilstate.ZoneStatus, error) {
		return client.Zones(ctx)
	})
}
