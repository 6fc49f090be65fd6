package anvilemucmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilload"
)

type loadOptions struct {
	streams Streams

	to, service, accounts, swing string
	repeatable, prefix           string
	direct, poisson, ids, json   bool
	rate                         float64
	concurrency, inFlight, count int
	body, answer, resend         int
	duration, timeout, time      time.Duration
	seed                         uint64
}

func newLoadCommand(streams Streams) *ff.Command {
	o := &loadOptions{streams: streams}
	fs := ff.NewFlagSet("load")
	fs.StringVar(&o.to, 0, "to", "", "comma-separated addresses of instances, or of targets with --direct")
	fs.BoolVar(&o.direct, 0, "direct", "send to /v1/run of targets")
	fs.StringVar(&o.service, 0, "service", "planner", "service to call")
	fs.StringVar(&o.accounts, 0, "accounts", "load=1", "share of each account in the requests: ACCOUNT=WEIGHT,...")
	fs.Float64Var(&o.rate, 0, "rate", 0, "open loop: requests per second")
	fs.BoolVar(&o.poisson, 0, "poisson", "open loop: random instead of even arrivals")
	fs.IntVar(&o.concurrency, 0, "concurrency", 0, "closed loop: requests in flight")
	fs.IntVar(&o.inFlight, 0, "in-flight", 0, "open loop: limit of requests in flight; further ones are skipped")
	fs.StringVar(&o.swing, 0, "swing", "", "multiply the load in every second period, such as 10x/2s")
	fs.DurationVar(&o.duration, 0, "duration", 10*time.Second, "time after which no request is sent")
	fs.IntVar(&o.count, 0, "count", 0, "number of requests after which none is sent; 0: no such limit")
	fs.BoolVar(&o.ids, 0, "ids", "send a request id with each request")
	fs.StringVar(&o.prefix, 0, "prefix", "load", "prefix of request ids")
	fs.StringVar(&o.repeatable, 0, "repeatable", "", "yes or no; default: what the service is configured with")
	fs.DurationVar(&o.timeout, 0, "timeout", 10*time.Second, "timeout of each request")
	fs.DurationVar(&o.time, 0, "time", -1, "service time at the stand-in target; negative: its default")
	fs.IntVar(&o.body, 0, "body", 100, "bytes of each request body")
	fs.IntVar(&o.answer, 0, "answer", -1, "bytes of each answer; negative: the body is echoed")
	fs.IntVar(&o.resend, 0, "resend", 0, "resend a request with an unknown outcome up to this often")
	fs.Uint64Var(&o.seed, 0, "seed", 1, "seed of account mix, arrivals and bodies")
	fs.BoolVar(&o.json, 0, "json", "print the summary as JSON")
	return &ff.Command{
		Name: "load", Usage: "anvilemu load --to ADDRESS,... (--rate N | --concurrency N) [flags]", ShortHelp: "generate load and check every answer",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return runLoad(ctx, o)
		},
	}
}

func (o *loadOptions) settings() (anvilload.Settings, error) {
	shares, err := anvilload.ParseShares(o.accounts)
	if err != nil {
		return anvilload.Settings{}, err
	}
	swing, err := anvilload.ParseSwing(o.swing)
	if err != nil {
		return anvilload.Settings{}, err
	}
	span := anvilclock.FromDuration(o.time)
	if o.time < 0 {
		span = -1
	}
	return anvilload.Settings{
		Addresses: addresses(o.to), Direct: o.direct, Service: anvilid.ServiceName(o.service), Shares: shares,
		Rate: o.rate, Poisson: o.poisson, Concurrency: o.concurrency, MaxInFlight: o.inFlight, Swing: swing,
		Duration: anvilclock.FromDuration(o.duration), MaxCount: o.count,
		SendIDs: o.ids, IDPrefix: o.prefix, Repeatable: o.repeatable, Timeout: anvilclock.FromDuration(o.timeout),
		ServiceTime: span, BodyBytes: o.body, AnswerBytes: o.answer, MaxResends: o.resend, Seed: o.seed,
	}, nil
}

func runLoad(ctx context.Context, o *loadOptions) error {
	settings, err := o.settings()
	if err != nil {
		return usage("%v", err)
	}
	// net/http logs the beginning of every response for which no request waits. When targets answer
	// twice, these messages would hide the summary.
	log.SetOutput(io.Discard)
	signalled, cancel := o.streams.Notify(ctx)
	defer cancel()
	summary, err := anvilload.Run(signalled, settings)
	if errors.Is(err, anvilload.ErrSettings) {
		return usage("%v", err)
	}
	if err != nil {
		return err
	}
	if o.json {
		encoder := json.NewEncoder(o.streams.Out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(summary)
	} else {
		err = summary.Write(o.streams.Out)
	}
	if err != nil {
		return err
	}
	if summary.Mismatched > 0 {
		return fmt.Errorf("%w: %d of %d; the summary quotes the first ones", errWrong, summary.Mismatched, summary.Done)
	}
	return nil
}
