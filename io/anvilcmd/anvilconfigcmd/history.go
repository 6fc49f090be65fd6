package anvilconfigcmd

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

func newHistory(factory *anvilfactory.Factory) *ff.Command {
	opts := &viewOptions{Streams: factory.Streams}
	flags := ff.NewFlagSet("history")
	opts.ClientFlags = factory.AddClientFlags(flags)
	return &ff.Command{
		Name:      "history",
		Usage:     "anvilshunt config history [--json]",
		ShortHelp: "list the latest published changes, the oldest first",
		LongHelp:  "Example:\n  anvilshunt config history",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runHistory(ctx, opts)
		},
	}
}

func runHistory(ctx context.Context, opts *viewOptions) error {
	history, err := opts.ClientFlags.NewClient().History(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, history)
	}
	table := anviltable.Table{Heading: []string{"revision", "id", "operator", "time", "set", "deleted"}}
	for _, change := range history {
		at := time.UnixMilli(int64(change.At)).UTC().Format(time.RFC3339)
		table.Add(change.Revision, change.ID, change.Operator, at, len(change.Set), len(change.Deleted))
	}
	return table.Write(opts.Streams)
}
