package anvilinstancecmd

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
		Usage:     "anvilshunt instance list [--json]",
		ShortHelp: "list the instances that are registered with the control group",
		LongHelp:  "Example:\n  anvilshunt instance list",
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
		return anviltable.WriteJSON(opts.Streams.Out, status.Instances)
	}
	table := anviltable.Table{Heading: []string{"id", "region", "zone", "public", "peer", "draining"}}
	for _, instance := range status.Instances {
		table.Add(instance.ID, instance.Region, instance.Zone, instance.Public, instance.Peer, instance.Draining)
	}
	return table.Write(opts.Streams)
}
