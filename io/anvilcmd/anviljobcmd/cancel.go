package anviljobcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

func newCancel(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("cancel")
	opts := &options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "cancel",
		Usage:     "anvilshunt job cancel ID [--json]",
		ShortHelp: "cancel a job; its members are stopped with a checkpoint",
		LongHelp:  "Example:\n  anvilshunt job cancel storm-7",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of the job")
			if err != nil {
				return err
			}
			return runCancel(ctx, opts, anvilid.JobID(id))
		},
	}
}

func runCancel(ctx context.Context, opts *options, id anvilid.JobID) error {
	job, err := opts.ClientFlags.NewClient().Cancel(ctx, id)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	return opts.show(job)
}
