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

// CapacityOptions are the options of Capacity, which measures the CPU time, network traffic and heap
// that each further instance, target, configuration change, claim of a request id and object in the
// replicated state needs. It compares a smaller and a larger system for the figures of instances.
type CapacityOptions struct {
	IdleDuration time.Duration // duration of each idle period
	Instances    int           // instances without a vote in the larger system; the smaller one has 1
	Targets      int           // targets that are started in each of three zones
	Changes      int           // configuration changes that are published
	Claims       int           // claims of request ids that are committed to the replicated log
	Objects      int           // objects of each kind that are added to a state machine, but at most 1000 instances
}

// usage is the CPU time that this process has used so far, and its present heap.
type usage struct {
	cpu     time.Duration
	heap    float64 // bytes
	takenAt time.Time
}

func currentUsage() usage {
	runtime.GC()
	runtime.GC() // the second collection frees objects that finalizers kept alive
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{time.Duration(r.Utime.Nano() + r.Stime.Nano()), float64(stats.HeapAlloc), time.Now()}
}

// idleUsage is the resource use of a system while it gets no requests and configuration changes.
type idleUsage struct {
	cpu           time.Duration // CPU time per second
	heap          float64       // bytes
	totalBytes    float64       // bytes per second between all instances
	leaderBytes   float64       // bytes per second from and to the leader
	nonVoterBytes float64       // bytes per second from and to one instance that is no voter
}

func (s *system) measureIdle(ctx context.Context, duration time.Duration) idleUsage {
	sleep(ctx, time.Second)
	names := []string{"", "palermo-1", "palermo-2"}
	var bytesBefore [3]int64
	for n, name := range names {
		bytesBefore[n] = s.netSim.bytesOf(name)
	}
	usageBefore := currentUsage()
	sleep(ctx, duration)
	var bytesPerSecond [3]float64
	for n, name := range names {
		bytesPerSecond[n] = float64(s.netSim.bytesOf(name)-bytesBefore[n]) / duration.Seconds()
	}
	usageAfter := currentUsage()
	return idleUsage{
		cpu: time.Duration(float64(usageAfter.cpu-usageBefore.cpu) / usageAfter.takenAt.Sub(usageBefore.takenAt).Seconds()), heap: usageAfter.heap,
		totalBytes: bytesPerSecond[0], leaderBytes: bytesPerSecond[1], nonVoterBytes: bytesPerSecond[2],
	}
}

// deploymentWithNonVoters returns the three voters of the deployment and count instances that are not
// voters.
func deploymentWithNonVoters(count int) []instanceSpec {
	specs := deployment()[:3]
	zones := []location{{"", "west", "palermo"}, {"", "west", "trapani"}, {"", "east", "catania"}}
	for n := range count {
		at := zones[n%len(zones)]
		at.name = fmt.Sprintf("%s-%d", at.zone, n/len(zones)+2)
		specs = append(specs, instanceSpec{at, false})
	}
	return specs
}

// Capacity measures the CPU time, the bytes on the network and the heap that each further instance,
// target, configuration change, claim of a request id and object in the replicated state needs.
// docs/CAPACITY.md is computed from these figures.
func Capacity(ctx context.Context, o CapacityOptions) (*Table, error) {
	t := &Table{Name: "capacity: slopes", Columns: []string{"what", "CPU", "bytes", "heap"}}
	if err := capacityOfInstances(ctx, t, o); err != nil {
		return nil, err
	}
	if err := capacityOfState(t, o.Objects); err != nil {
		return nil, err
	}
	t.addNote("All instances and targets run in this process without network delays. CPU rows are therefore sums over both ends of each connection, and include the cost of the simulated network.")
	t.addNote("Bytes are the HTTP traffic between instances, without TCP and IP headers.")
	return t, nil
}

func capacityOfInstances(ctx context.Context, t *Table, o CapacityOptions) error {
	small, err := newSystem(deploymentWithNonVoters(1), newNetSim(true))
	if err != nil {
		return err
	}
	if err := small.makeLeader("palermo-1"); err != nil {
		small.close()
		return err
	}
	smallIdle := small.measureIdle(ctx, o.IdleDuration)
	t.addRow("3 voters and 1 instance, idle, a second", smallIdle.cpu, smallIdle.totalBytes, "")
	t.addRow("instance without a vote, idle, a second", "", smallIdle.nonVoterBytes, "")
	small.close()

	large, err := newSystem(deploymentWithNonVoters(o.Instances), newNetSim(true))
	if err != nil {
		return err
	}
	defer large.close()
	if err := large.makeLeader("palermo-1"); err != nil {
		return err
	}
	largeIdle := large.measureIdle(ctx, o.IdleDuration)
	added := float64(o.Instances - 1)
	t.addRow("each further instance, idle, a second", time.Duration(float64(largeIdle.cpu-smallIdle.cpu)/added),
		(largeIdle.totalBytes-smallIdle.totalBytes)/added, kilobytes((largeIdle.heap-smallIdle.heap)/added))
	t.addRow("leader for each further instance, a second", "", (largeIdle.leaderBytes-smallIdle.leaderBytes)/added, "")
	if err := large.capacityOfChanges(ctx, t, o, largeIdle); err != nil {
		return err
	}
	if err := large.capacityOfClaims(ctx, t, o); err != nil {
		return err
	}
	return large.capacityOfTargets(ctx, t, o)
}

func (s *system) capacityOfChanges(ctx context.Context, t *Table, o CapacityOptions, idleBefore idleUsage) error {
	publisher := newChangePublisher(s, s.find("palermo-1"))
	usageBefore, bytesBefore := currentUsage(), s.netSim.bytesOf("")
	publisher.run(ctx, 10, time.Duration(o.Changes)*time.Second/10)
	usageAfter := currentUsage()
	seconds := usageAfter.takenAt.Sub(usageBefore.takenAt).Seconds()
	if len(publisher.failures) > 0 {
		return fmt.Errorf("a change failed: %s", publisher.failures[0])
	}
	count := float64(len(publisher.latencies) * len(s.instances))
	t.addRow(fmt.Sprintf("change, each of %d instances", len(s.instances)),
		time.Duration((float64(usageAfter.cpu-usageBefore.cpu)-float64(idleBefore.cpu)*seconds)/count),
		(float64(s.netSim.bytesOf("")-bytesBefore)-idleBefore.totalBytes*seconds)/count, "")
	return nil
}

func (s *system) capacityOfClaims(ctx context.Context, t *Table, o CapacityOptions) error {
	idleBefore := s.measureIdle(ctx, o.IdleDuration)
	usageBefore, bytesBefore := currentUsage(), s.netSim.bytesOf("")
	if err := s.commitClaims(ctx, o.Claims, 64); err != nil {
		return err
	}
	usageAfter := currentUsage()
	seconds := usageAfter.takenAt.Sub(usageBefore.takenAt).Seconds()
	count := float64(o.Claims)
	t.addRow("claim, three voters", time.Duration((float64(usageAfter.cpu-usageBefore.cpu)-float64(idleBefore.cpu)*seconds)/count),
		(float64(s.netSim.bytesOf("")-bytesBefore)-idleBefore.totalBytes*seconds)/count, kilobytes((usageAfter.heap-usageBefore.heap)/count))
	t.addNote("The claims were proposed at %.0f/s by 64 concurrent callers; the bytes are those between the voters.", count/seconds)
	return nil
}

func (s *system) capacityOfTargets(ctx context.Context, t *Table, o CapacityOptions) error {
	before := s.measureIdle(ctx, o.IdleDuration)
	if err := s.addTargets("t", o.Targets); err != nil {
		return err
	}
	after := s.measureIdle(ctx, o.IdleDuration)
	count := float64(len(s.targets))
	standInBytes, err := standInHeap(o.Targets)
	if err != nil {
		return err
	}
	t.addNote("A stand-in target alone uses %s of heap, which is included in the row of a target.", kilobytes(standInBytes))
	t.addRow("target at its owner, with the stand-in, a second", time.Duration(float64(after.cpu-before.cpu)/count),
		(after.totalBytes-before.totalBytes)/count, kilobytes((after.heap-before.heap)/count))
	return nil
}

// standInHeap returns the heap in bytes of one stand-in target that no instance uses, as the mean over
// count targets.
func standInHeap(count int) (float64, error) {
	var targets []*anviltarget.Target
	before := currentUsage()
	for range count {
		target, err := anviltarget.Start(anviltarget.Settings{Target: "alone", Service: service})
		if err != nil {
			return 0, err
		}
		defer target.Close()
		targets = append(targets, target)
	}
	after := currentUsage()
	runtime.KeepAlive(targets)
	return (after.heap - before.heap) / float64(count), nil
}

func kilobytes(bytes float64) string { return fmt.Sprintf("%.2f KB", bytes/1e3) }

// capacityOfState measures, for each kind of object in the state machine, the CPU time that applying
// its log entry takes and the heap that the object uses.
func capacityOfState(t *Table, count int) error {
	machine := anvilstate.New()
	index := anvilid.Index(0)
	apply := func(command anvilstate.Command) error {
		// Encode and decode the command, so that the heap includes the allocations of decoding, as
		// it does when a log entry is applied.
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
		objects := count
		if kind.name == "instance" {
			objects = min(count, 1000)
		}
		before := currentUsage()
		for n := range objects {
			if err := apply(kind.command(n)); err != nil {
				return fmt.Errorf("%s %d: %w", kind.name, n, err)
			}
		}
		after := currentUsage()
		t.addRow(kind.name+" in the state machine", (after.cpu-before.cpu)/time.Duration(objects), "",
			kilobytes((after.heap-before.heap)/float64(objects)))
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

// baseChange returns the configuration change that baseConfig contains as JSON.
func baseChange() *anvilconfig.Change {
	change, _ := anvilconfig.ParseChange([]byte(baseConfig))
	return &change
}
