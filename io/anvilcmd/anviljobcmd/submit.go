package anviljobcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

type submitOptions struct {
	options
	ID, Account, Service, Shape, Payload string
	Accelerators, Estimate               int
}

func newSubmit(factory *anvilfactory.Factory) *ff.Command {
	opts := &submitOptions{}
	flags := ff.NewFlagSet("submit")
	opts.options = options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	flags.StringVar(&opts.ID, 0, "id", "", "id of the job; submitting the same id again does not create a second job")
	flags.StringVar(&opts.Account, 0, "account", "", "client account")
	flags.StringVar(&opts.Service, 0, "service", "", "service whose targets run the job")
	flags.StringVar(&opts.Shape, 0, "shape", "", "job shape")
	flags.IntVar(&opts.Accelerators, 0, "accelerators", 0, "number of accelerators, in place of a shape")
	flags.IntVar(&opts.Estimate, 0, "estimate", 0, "estimated run time in milliseconds")
	flags.StringVar(&opts.Payload, 0, "payload", "", "text that is passed to every member of the job")
	return &ff.Command{
		Name:      "submit",
		Usage:     "anvilshunt job submit --account NAME --service NAME --shape NAME [flags]",
		ShortHelp: "submit a long job",
		LongHelp:  "Example:\n  anvilshunt job submit --id storm-7 --account agency --service planner --shape rack-gang",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runSubmit(ctx, opts)
		},
	}
}

func runSubmit(ctx context.Context, opts *submitOptions) error {
	job, err := opts.ClientFlags.NewClient().Submit(ctx, anvilclient.Job{
		ID: anvilid.JobID(opts.ID), Account: anvilid.AccountID(opts.Account), Service: anvilid.ServiceName(opts.Service),
		Shape: anvilid.ShapeName(opts.Shape), Accelerators: anvilid.AcceleratorCount(opts.Accelerators),
		Estimate: anvilclock.Millis(opts.Estimate), Payload: opts.Payload,
	})
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	return opts.show(job)
}
