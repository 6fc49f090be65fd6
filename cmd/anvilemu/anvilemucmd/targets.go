package anvilemucmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

type targetsOptions struct {
	targetOptions
	number int
	zones  string
}

// maxTargets is the maximum number of targets in one process. It is limited because each target needs
// a port of its own.
const maxTargets = 30_000

func newTargetsCommand(streams Streams) *ff.Command {
	o := &targetsOptions{targetOptions: targetOptions{streams: streams}}
	fs := ff.NewFlagSet("targets")
	o.addFlags(fs)
	fs.IntVar(&o.number, 0, "count", 8, "number of targets; they use consecutive ports from that of --listen")
	fs.StringVar(&o.zones, 0, "zones", "west/palermo,west/trapani,east/catania",
		"REGION/ZONE,...; racks of 8 targets are assigned to these zones in turn")
	fs.StringVar(&o.id, 0, "prefix", "t", "prefix of target ids and racks")
	return &ff.Command{
		Name: "targets", Usage: "anvilemu targets --count N --listen HOST:PORT --instances ADDRESS,... [flags]",
		ShortHelp: "run many stand-in targets in one process", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return runTargets(ctx, o)
		},
	}
}

func parseLocations(text string) ([]anviltarget.Location, error) {
	var locations []anviltarget.Location
	for part := range strings.SplitSeq(text, ",") {
		region, zone, found := strings.Cut(part, "/")
		if !found || region == "" || zone == "" {
			return nil, usage("--zones is %q, want REGION/ZONE,...", text)
		}
		locations = append(locations, anviltarget.Location{Region: anvilid.RegionName(region), Zone: anvilid.ZoneName(zone)})
	}
	return locations, nil
}

func runTargets(ctx context.Context, o *targetsOptions) error {
	settings, err := o.settings()
	if err != nil {
		return err
	}
	locations, err := parseLocations(o.zones)
	if err != nil {
		return err
	}
	if o.number < 1 || o.number > maxTargets {
		return usage("--count is %d, want 1 to %d", o.number, maxTargets)
	}
	signalled, cancel := o.streams.Notify(ctx)
	defer cancel()
	group, err := anviltarget.StartGroup(settings, o.number, locations, anviltarget.WithLogger(newLogger(o.streams.Err)))
	if err != nil {
		return err
	}
	for _, target := range group.Targets {
		fmt.Fprintf(o.streams.Out, "target %s listens on %s\n", target.ID(), target.Address())
	}
	<-signalled.Done()
	return group.Leave(context.WithoutCancel(ctx))
}
