package anviltargetcmd

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
		Usage:     "anvilshunt target view ID",
		ShortHelp: "show a target as JSON",
		LongHelp:  "Example:\n  anvilshunt target view t-17",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of the target")
			if err != nil {
				return err
			}
			return runView(ctx, opts, anvilid.TargetID(id))
		},
	}
}

func runView(ctx context.Context, opts *options, id anvilid.TargetID) error {
	status, err := opts.ClientFlags.NewClient().Status(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	for _, target := range status.Targets {
		if target.ID == id {
			return anviltable.WriteJSON(opts.Streams.Out, target)
		}
	}
	return fmt.Errorf("target %q isn't registered; list targets with `anvilshunt target list`", id)
}
