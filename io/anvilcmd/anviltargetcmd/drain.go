package anviltargetcmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

func newDrain(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("drain")
	opts := &options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "drain",
		Usage:     "anvilshunt target drain ID",
		ShortHelp: "send no new work to a target until it restarts",
		LongHelp:  "Example:\n  anvilshunt target drain t-17",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of the target")
			if err != nil {
				return err
			}
			return runDrain(ctx, opts, anvilid.TargetID(id))
		},
	}
}

func runDrain(ctx context.Context, opts *options, id anvilid.TargetID) error {
	if err := opts.ClientFlags.NewClient().Drain(ctx, id); err != nil {
		return anvilfactory.ExplainError(err)
	}
	fmt.Fprintf(opts.Streams.Out, "target %s receives no new work\n", id)
	return nil
}
