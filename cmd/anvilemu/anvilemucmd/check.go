package anvilemucmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

type checkOptions struct {
	streams Streams
	targets string
	once    string
}

func newCheckCommand(streams Streams) *ff.Command {
	o := &checkOptions{streams: streams}
	fs := ff.NewFlagSet("check")
	fs.StringVar(&o.targets, 0, "targets", "", "comma-separated addresses of stand-in targets")
	fs.StringVar(&o.once, 0, "once", "", "fail if a request id with this prefix ran more than once")
	return &ff.Command{
		Name: "check", Usage: "anvilemu check --targets ADDRESS,... [--once PREFIX]",
		ShortHelp: "check that no target was overloaded and no request id ran more than once", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return runCheck(ctx, o)
		},
	}
}

// runCheck fails if a target exceeded its limits or a request id ran more than once. It adds up the
// runs of each request id over all targets, because a request that ran once on each of two targets
// ran twice.
func runCheck(ctx context.Context, o *checkOptions) error {
	list := addresses(o.targets)
	if len(list) == 0 {
		return usage("--targets is missing")
	}
	runs := map[anvilid.RequestID]int{}
	total, highest, violations := 0, 0, 0
	for _, address := range list {
		var stats anviltarget.Stats
		if err := get(ctx, address, "/emu/stats", &stats); err != nil {
			return err
		}
		total += stats.Runs
		highest = max(highest, stats.Slots.Highest)
		violations += stats.Slots.Violations + stats.Connections.Violations
		var requests []anviltarget.RequestCount
		if err := get(ctx, address, "/emu/requests", &requests); err != nil {
			return err
		}
		for _, request := range requests {
			runs[request.ID] += request.Count
		}
	}
	repeated := 0
	for id, count := range runs {
		if o.once != "" && strings.HasPrefix(string(id), o.once) && count > 1 {
			repeated++
		}
	}
	fmt.Fprintf(o.streams.Out, "targets %d, requests run %d, most slots used on a target %d, limit violations %d, ids that ran twice %d\n",
		len(list), total, highest, violations, repeated)
	if violations > 0 || repeated > 0 {
		return fmt.Errorf("%w: %d limit violations, %d ids ran more than once", errWrong, violations, repeated)
	}
	return nil
}

func get(ctx context.Context, address anvilid.Address, path string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("query target %s: %w", address, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("read the answer of target %s: %w", address, err)
	}
	return nil
}
