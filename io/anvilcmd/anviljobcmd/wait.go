package anviljobcmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

// longPollTimeout is how long one call to an instance waits at most for the end of the job. The
// command repeats the call. The time is short, so that the failure of an instance is noticed soon.
const longPollTimeout = 5 * anvilclock.Second

type waitOptions struct {
	options
	Timeout time.Duration
}

func newWait(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("wait")
	opts := &waitOptions{options: options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}}
	flags.DurationVar(&opts.Timeout, 0, "timeout", time.Hour, "longest wait")
	return &ff.Command{
		Name:      "wait",
		Usage:     "anvilshunt job wait ID [--timeout 1h] [--json]",
		ShortHelp: "wait until a job has ended; fails unless it is done",
		LongHelp:  "Example:\n  anvilshunt job wait storm-7 --timeout 2h && notify-crew",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of the job")
			if err != nil {
				return err
			}
			return runWait(ctx, opts, anvilid.JobID(id))
		},
	}
}

func runWait(ctx context.Context, opts *waitOptions, id anvilid.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	client := opts.ClientFlags.NewClient()
	for {
		job, err := client.Job(ctx, id, longPollTimeout)
		switch {
		case ctx.Err() != nil:
			return fmt.Errorf("job %q has not ended after %s", id, opts.Timeout)
		case errors.Is(err, anvilclient.ErrUnreachable):
			time.Sleep(200 * time.Millisecond)
		case err != nil:
			return anvilfactory.ExplainError(err)
		case job.State == anvilstate.JobDone:
			return opts.show(job)
		case job.State.Final():
			if err := opts.show(job); err != nil {
				return err
			}
			return fmt.Errorf("job %q is %s: %s", id, job.State, job.Detail)
		}
	}
}
