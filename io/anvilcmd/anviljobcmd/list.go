package anviljobcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anvilverb"
)

func newList(factory *anvilfactory.Factory) *ff.Command {
	help := anvilverb.Help{
		Usage:   "anvilshunt job list [--json]",
		Short:   "list the jobs in the order of submission",
		Example: "anvilshunt job list | awk -F'\\t' '$6 == \"submitted\"'",
	}
	rows := anvilverb.Rows[anvilstate.Job]{Heading: heading, Add: addRow}
	return anvilverb.NewList(factory, help, rows, func(ctx context.Context, client *anvilclient.Client) ([]anvilstate.Job, error) {
		return client.Jobs(ctx)
	})
}
