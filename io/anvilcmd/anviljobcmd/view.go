package anviljobcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

func newView(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("view")
	opts := &options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "view",
		Usage:     "anvilshunt job view ID [--json]",
		ShortHelp: "show a job",
		LongHelp:  "Example:\n  anvilshunt job view storm-7",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of the job")
			if err != nil {
				return err
			}
			return runView(ctx, opts, anvilid.JobID(id))
		},
	}
}

func runView(ctx context.Context, opts *options, id anvilid.JobID) error {
	job, err := opts.ClientFlags.NewClient().Job(ctx, id, 0)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	return opts.show(job)
}
