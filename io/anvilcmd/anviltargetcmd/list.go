package anviltargetcmd

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
		Usage:     "anvilshunt target list [--json]",
		ShortHelp: "list the targets and their owners",
		LongHelp:  "Example:\n  anvilshunt target list",
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
	status, err := opts.ClientFlags.NewClient().Status(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, status.Targets)
	}
	table := anviltable.Table{Heading: []string{"id", "service", "zone", "rack", "owner", "epoch", "reserved", "leaving"}}
	for _, target := range status.Targets {
		table.Add(target.ID, target.Service, target.Zone, target.Rack, target.Owner, target.Epoch, target.Reserved, target.Leaving)
	}
	return table.Write(opts.Streams)
}
