package anvilmeasure

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anviltarget"
)

// CapacityOptions are the options of Capacity.
type CapacityOptions struct {
	Span      time.Duration // of each idle period
	Instances int           // instances without a vote in the larger system
	Targets   int           // targets in each of three zones
	Changes   int
	Claims    int
	States    int // objects of each kind in the state machine
}

// usage is what this process has used so far.
type usage struct {
	cpu  time.Duration
	heap float64 // bytes
	at   time.Time
}

func used() usage {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers held
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{time.Duration(r.Utime.Nano() + r.Stime.Nano()), float64(stats.HeapAlloc), time.Now()}
}

// idle is what a system uses while nothing happens.
type idle struct {
	cpu    time.Duration // a second
	heap   float64
	all    float64 // bytes a second between all instances
	leader float64 // bytes a second from and to the leader
	one    float64 // bytes a second from and to an instance without a vote
}

func (s *system) idle(ctx context.Context, span time.Duration) idle {
	wait(ctx, time.Second)
	names := []string{"", "palermo-1", "palermo-2"}
	var before [3]int64
	for n, name := range names {
		before[n] = s.fabric.touching(name)
	}
	began := used()
	wait(ctx, span)
	var sent [3]float64
	for n, name := range names {
		sent[n] = float64(s.fabric.touching(name)-before[n]) / span.Seconds()
	}
	ended := used()
	return idle{
		cpu: time.Duration(float64(ended.cpu-began.cpu) / ended.at.Sub(began.at).Seconds()), heap: ended.heap,
		all: sent[0], leader: sent[1], one: sent[2],
	}
}

// plain returns three voters and count instances without a vote.
func plain(count int) []layout {
	layouts := deployment()[:3]
	zones := []place{{"", "west", "palermo"}, {"", "west", "trapani"}, {"", "east", "catania"}}
	for n := range count {
		at := zones[n%len(zones)]
		at.name = fmt.Sprintf("%s-%d", at.zone, n/len(zones)+2)
		layouts = append(layouts, layout{at, false})
	}
	return layouts
}

// Capacity measures the slopes that docs/CAPACITY.md is computed from.
func Capacity(ctx context.Context, o CapacityOptions) (*Table, error) {
	t := &Table{Name: "capacity: slopes", Columns: []string{"what", "CPU", "bytes", "heap"}}
	if err := capacityOfInstances(ctx, t, o); err != nil {
		return nil, err
	}
	if err := capacityOfState(t, o.States); err != nil {
		return nil, err
	}
	t.note("All instances and targets run in this process without delays, so CPU rows are sums over both ends, and include the network of the measurement.")
	t.note("Bytes are those of HTTP between instances, without TCP and IP headers.")
	return t, nil
}

func capacityOfInstances(ctx context.Context, t *Table, o CapacityOptions) error {
	small, err := newSystem(plain(1), newFabric(true))
	if err != nil {
		return err
	}
	if err := small.lead("palermo-1"); err != nil {
		small.close()
		return err
	}
	base := small.idle(ctx, o.Span)
	t.row("3 voters and 1 instance, idle, a second", base.cpu, base.all, "")
	t.row("instance without a vote, idle, a second", "", base.one, "")
	small.close()

	large, err := newSystem(plain(o.Instances), newFabric(true))
	if err != nil {
		return err
	}
	defer large.close()
	if err := large.lead("palermo-1"); err != nil {
		return err
	}
	many := large.idle(ctx, o.Span)
	added := float64(o.Instances - 1)
	t.row("each further instance, idle, a second", time.Duration(float64(many.cpu-base.cpu)/added), (many.all-base.all)/added, kilobytes((many.heap-base.heap)/added))
	t.row("leader for each further instance, a second", "", (many.leader-base.leader)/added, "")
	if err := large.capacityOfChanges(ctx, t, o, many); err != nil {
		return err
	}
	if err := large.capacityOfClaims(ctx, t, o); err != nil {
		return err
	}
	return large.capacityOfTargets(ctx, t, o)
}

func (s *system) capacityOfChanges(ctx context.Context, t *Table, o CapacityOptions, quiet idle) error {
	stream := newChangeStream(s, s.find("palermo-1"))
	began, sent := used(), s.fabric.touching("")
	stream.run(ctx, 10, time.Duration(o.Changes)*time.Second/10)
	ended := used()
	seconds := ended.at.Sub(began.at).Seconds()
	if len(stream.failed) > 0 {
		return fmt.Errorf("a change failed: %s", stream.failed[0])
	}
	count := float64(len(stream.latency) * len(s.instances))
	t.row(fmt.Sprintf("change, each of %d instances", len(s.instances)),
		time.Duration((float64(ended.cpu-began.cpu)-float64(quiet.cpu)*seconds)/count),
		(float64(s.fabric.touching("")-sent)-quiet.all*seconds)/count, "")
	return nil
}

func (s *system) capacityOfClaims(ctx context.Context, t *Table, o CapacityOptions) error {
	quiet := s.idle(ctx, o.Span)
	began, sent := used(), s.fabric.touching("")
	if err := s.claim(ctx, o.Claims, 64); err != nil {
		return err
	}
	ended := used()
	seconds := ended.at.Sub(began.at).Seconds()
	count := float64(o.Claims)
	t.row("claim, three voters", time.Duration((float64(ended.cpu-began.cpu)-float64(quiet.cpu)*seconds)/count),
		(float64(s.fabric.touching("")-sent)-quiet.all*seconds)/count, kilobytes((ended.heap-began.heap)/count))
	t.note("The claims were proposed at %.0f/s by 64 callers; the bytes are those between voters.", count/seconds)
	return nil
}

func (s *system) capacityOfTargets(ctx context.Context, t *Table, o CapacityOptions) error {
	before := s.idle(ctx, o.Span)
	if err := s.addTargets("t", o.Targets); err != nil {
		return err
	}
	after := s.idle(ctx, o.Span)
	count := float64(len(s.targets))
	standIn, err := standInHeap(o.Targets)
	if err != nil {
		return err
	}
	t.note("A stand-in target alone takes %s of heap, which is part of the row of a target.", kilobytes(standIn))
	t.row("target at its owner, with the stand-in, a second", time.Duration(float64(after.cpu-before.cpu)/count),
		(after.all-before.all)/count, kilobytes((after.heap-before.heap)/count))
	return nil
}

// standInHeap returns the heap of a stand-in target that nobody uses.
func standInHeap(count int) (float64, error) {
	var targets []*anviltarget.Target
	before := used()
	for range count {
		target, err := anviltarget.Start(anviltarget.Settings{Target: "alone", Service: service})
		if err != nil {
			return 0, err
		}
		defer target.Close()
		targets = append(targets, target)
	}
	after := used()
	runtime.KeepAlive(targets)
	return (after.heap - before.heap) / float64(count), nil
}

func kilobytes(bytes float64) string { return fmt.Sprintf("%.2f KB", bytes/1e3) }

// capacityOfState measures the memory of the objects of the state machine.
func capacityOfState(t *Table, count int) error {
	machine := anvilstate.New()
	index := anvilid.Index(0)
	apply := func(command anvilstate.Command) error {
		// Memory includes what decoding allocates, as it does for log entries.
		data, err := anvilstate.Encode(command)
		if err != nil {
			return err
		}
		var decoded anvilstate.Command
		if err := anvilstate.Decode(data, &decoded); err != nil {
			return err
		}
		index++
		if result := machine.Apply(index, 1, decoded); result.Code != "" {
			return fmt.Errorf("%s: %s", result.Code, result.Detail)
		}
		return nil
	}
	kinds := []struct {
		name    string
		command func(n int) anvilstate.Command
	}{
		{"instance", joinCommand},
		{"target", registerCommand},
		{"claim", func(n int) anvilstate.Command { return anvilstate.Command{Claim: claimOf(n, 1)} }},
		{"answer of 200 bytes to a claim", completeCommand},
		{"job", submitCommand},
	}
	if err := apply(anvilstate.Command{Config: baseChange()}); err != nil {
		return err
	}
	for _, kind := range kinds {
		amount := count
		if kind.name == "instance" {
			amount = min(count, 1000)
		}
		before := used()
		for n := range amount {
			if err := apply(kind.command(n)); err != nil {
				return fmt.Errorf("%s %d: %w", kind.name, n, err)
			}
		}
		after := used()
		t.row(kind.name+" in the state machine", (after.cpu-before.cpu)/time.Duration(amount), "", kilobytes((after.heap-before.heap)/float64(amount)))
	}
	runtime.KeepAlive(machine)
	return nil
}

func joinCommand(n int) anvilstate.Command {
	return anvilstate.Command{Join: &anvilstate.JoinInstance{Instance: anvilstate.Instance{
		ID: anvilid.InstanceID(fmt.Sprintf("palermo-%d", n)), Incarnation: 1, Region: "west", Zone: "palermo",
		Peer: "127.0.0.1:9000", Public: "127.0.0.1:9001",
	}}}
}

func registerCommand(n int) anvilstate.Command {
	return anvilstate.Command{Register: &anvilstate.RegisterTarget{Target: anvilstate.Target{
		ID: anvilid.TargetID(fmt.Sprintf("worker-%05d", n)), Incarnation: 1, Address: "127.0.0.1:12345", Service: service,
		Region: "west", Zone: "palermo", Rack: anvilid.RackName(fmt.Sprint("rack", n/8)), Slots: 8, Connections: 64, Accelerators: 8,
	}}}
}

func completeCommand(n int) anvilstate.Command {
	claim := claimOf(n, 1)
	return anvilstate.Command{Complete: &anvilstate.Complete{
		Key: claim.Key, Holder: claim.Holder, Answer: anvilstate.Answer{Status: 200, Body: make([]byte, 200)},
	}}
}

func submitCommand(n int) anvilstate.Command {
	return anvilstate.Command{Submit: &anvilstate.SubmitJob{
		ID: anvilid.JobID(fmt.Sprintf("job-%06d", n)), Account: account, Service: service, Accelerators: 8,
		Estimate: anvilclock.Hour, Payload: make([]byte, 256),
	}}
}

// baseChange is the change set of baseConfig.
func baseChange() *anvilconfig.Change {
	change, _ := anvilconfig.ParseChange([]byte(baseConfig))
	return &change
}
