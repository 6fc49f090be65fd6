package anviljobcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

func newList(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("list")
	opts := &options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "list",
		Usage:     "anvilshunt job list [--json]",
		ShortHelp: "list the jobs in the order of submission",
		LongHelp:  "Example:\n  anvilshunt job list | awk -F'\\t' '$6 == \"submitted\"'",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runList(ctx, opts)
		},
	}
}

func runList(ctx context.Context, opts *options) error {
	jobs, err := opts.ClientFlags.NewClient().Jobs(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, jobs)
	}
	table := anviltable.Table{Heading: heading}
	for _, job := range jobs {
		addRow(&table, job)
	}
	return table.Write(opts.Streams)
}
