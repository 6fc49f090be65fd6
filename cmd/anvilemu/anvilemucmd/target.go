package anvilemucmd

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

// targetOptions contains the flags that the commands target and targets share.
type targetOptions struct {
	streams Streams

	id, service, region, zone, rack string
	listen, advertise, instances    string
	slots, connections, accelerator int
	interval, time, grace, late     time.Duration
	lag                             time.Duration
	direct, noFencing               bool
	faults                          string
	every, count                    int
}

func (o *targetOptions) addFlags(fs *ff.FlagSet) {
	fs.StringVar(&o.service, 0, "service", "planner", "service that the target serves")
	fs.StringVar(&o.listen, 0, "listen", "127.0.0.1:0", "address to listen on; port 0 selects a free one")
	fs.StringVar(&o.instances, 0, "instances", "", "comma-separated addresses that receive announcements in turn")
	fs.IntVar(&o.slots, 0, "slots", anviltarget.DefaultSlots, "slots to announce; using more counts as a violation")
	fs.IntVar(&o.connections, 0, "connections", anviltarget.DefaultConnections,
		"connections to announce; using more counts as a violation")
	fs.IntVar(&o.accelerator, 0, "accelerators", anviltarget.DefaultAccelerators,
		"accelerators to announce; using more counts as a violation")
	fs.DurationVar(&o.interval, 0, "interval", time.Second, "time between announcements")
	fs.DurationVar(&o.time, 0, "time", 0, "service time of requests that don't set one")
	fs.DurationVar(&o.grace, 0, "grace", 0, "longest wait for running work when leaving; 0 waits as long as it takes")
	fs.BoolVar(&o.direct, 0, "direct", "send announcements to the owner once it is known")
	fs.BoolVar(&o.noFencing, 0, "no-fencing", "ignore epochs and tokens")
	fs.StringVar(&o.faults, 0, "faults", "", "comma-separated: fail, twice, crossed, truncate, close, freeze, hide")
	fs.DurationVar(&o.late, 0, "late", 0, "fault: delay of each answer after the work is done")
	fs.DurationVar(&o.lag, 0, "lag", 0, "fault: announcements report the usage as it was this long ago")
	fs.IntVar(&o.every, 0, "fault-every", 0, "apply request faults to each nth request only")
	fs.IntVar(&o.count, 0, "fault-count", 0, "end request faults after this many requests")
}

func (o *targetOptions) settings() (anviltarget.Settings, error) {
	faults, err := anviltarget.ParseFaults(o.faults)
	if err != nil {
		return anviltarget.Settings{}, usage("--faults: %v", err)
	}
	faults.Late, faults.Lag = anvilclock.FromDuration(o.late), anvilclock.FromDuration(o.lag)
	faults.Every, faults.Count = o.every, o.count
	if o.slots < 1 || o.connections < 1 || o.accelerator < 0 || o.interval < time.Millisecond {
		return anviltarget.Settings{}, usage("--slots, --connections and --interval must be positive, --accelerators 0 or more")
	}
	return anviltarget.Settings{
		Target: anvilid.TargetID(o.id), Service: anvilid.ServiceName(o.service), Region: anvilid.RegionName(o.region),
		Zone: anvilid.ZoneName(o.zone), Rack: anvilid.RackName(o.rack),
		Slots: anvilid.SlotCount(o.slots), Connections: anvilid.ConnectionCount(o.connections),
		Accelerators: anvilid.AcceleratorCount(o.accelerator),
		Listen:       anvilid.Address(o.listen), Advertise: anvilid.Address(o.advertise), Instances: addresses(o.instances),
		AnnounceToOwner: o.direct, Interval: anvilclock.FromDuration(o.interval), ServiceTime: anvilclock.FromDuration(o.time),
		NoFencing: o.noFencing, Grace: anvilclock.FromDuration(o.grace), Faults: faults,
	}, nil
}

func newTargetCommand(streams Streams) *ff.Command {
	o := &targetOptions{streams: streams}
	fs := ff.NewFlagSet("target")
	o.addFlags(fs)
	fs.StringVar(&o.id, 0, "id", "t1", "id of the target")
	fs.StringVar(&o.region, 0, "region", "west", "region")
	fs.StringVar(&o.zone, 0, "zone", "palermo", "availability zone")
	fs.StringVar(&o.rack, 0, "rack", "r1", "rack")
	fs.StringVar(&o.advertise, 0, "advertise", "", "address in announcements; default: the one listened on")
	return &ff.Command{
		Name: "target", Usage: "anvilemu target --id ID --instances ADDRESS,... [flags]", ShortHelp: "run one stand-in target",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return runTarget(ctx, o)
		},
	}
}

func runTarget(ctx context.Context, o *targetOptions) error {
	settings, err := o.settings()
	if err != nil {
		return err
	}
	// Install the signal handler before the target listens. A parent process that finds it
	// listening can then stop it gracefully at once.
	signalled, cancel := o.streams.Notify(ctx)
	defer cancel()
	target, err := anviltarget.Start(settings, anviltarget.WithLogger(newLogger(o.streams.Err)))
	if err != nil {
		return err
	}
	fmt.Fprintf(o.streams.Out, "target %s listens on %s\n", target.ID(), target.Address())
	<-signalled.Done()
	return target.Leave(context.WithoutCancel(ctx))
}
