package anvilinstancecmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

func newView(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("view")
	opts := &options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "view",
		Usage:     "anvilshunt instance view ID",
		ShortHelp: "show an instance as JSON",
		LongHelp:  "Example:\n  anvilshunt instance view palermo-1",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of the instance")
			if err != nil {
				return err
			}
			return runView(ctx, opts, anvilid.InstanceID(id))
		},
	}
}

func runView(ctx context.Context, opts *options, id anvilid.InstanceID) error {
	status, err := opts.ClientFlags.NewClient().Status(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	for _, instance := range status.Instances {
		if instance.ID == id {
			return anviltable.WriteJSON(opts.Streams.Out, instance)
		}
	}
	return fmt.Errorf("instance %q isn't registered; list instances with `anvilshunt instance list`", id)
}
