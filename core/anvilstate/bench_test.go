package anvilstate

import (
	"fmt"
	"runtime"
	"testing"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// scale is the size of a test state. In scales, the first entry is a current deployment
// and the last one the size that the system is designed for.
type scale struct {
	instances, targets, claims, jobs, accounts int
}

var scales = []scale{
	{8, 96, 2_000, 100, 8},
	{10, 2_900, 20_000, 2_200, 100},
	{30, 29_000, 200_000, 22_000, 380},
}

// filled is a machine whose state has a given scale, below the limits so that the measured
// command succeeds.
type filled struct {
	scale
	m     *Machine
	index anvilid.Index
	at    anvilclock.Millis
	b     *testing.B
}

func (f *filled) apply(command Command) Result {
	f.index++
	return f.m.Apply(f.index, f.at, command)
}

// load applies a command after encoding and decoding it, so that memory measurements
// include what decoding allocates.
func (f *filled) load(command Command) {
	data, err := Encode(command)
	if err != nil {
		f.b.Fatal(err)
	}
	var decoded Command
	if err := Decode(data, &decoded); err != nil {
		f.b.Fatal(err)
	}
	f.must(decoded)
}

func (f *filled) must(command Command) Result {
	result := f.apply(command)
	if result.Code != "" {
		f.b.Fatalf("%s: %s", result.Code, result.Detail)
	}
	return result
}

func (f *filled) joinInstance(i int, incarnation anvilid.Incarnation) Command {
	return Command{Join: &JoinInstance{Instance{
		ID: anvilid.InstanceID(fmt.Sprintf("instance-%02d", i)), Incarnation: incarnation, Peer: "127.0.0.1:9000", Public: "127.0.0.1:9001",
		Region: anvilid.RegionName(fmt.Sprint("region", i%4)), Zone: anvilid.ZoneName(fmt.Sprint("zone", i%12)),
	}}}
}

func (f *filled) registerTarget(i int, incarnation anvilid.Incarnation) Command {
	rack := i / 8
	return Command{Register: &RegisterTarget{Target{
		ID: targetName(i), Incarnation: incarnation, Address: "127.0.0.1:12345", Service: "planner",
		Region: anvilid.RegionName(fmt.Sprint("region", rack%4)), Zone: anvilid.ZoneName(fmt.Sprint("zone", rack%12)),
		Rack: anvilid.RackName(fmt.Sprint("rack", rack)), Slots: 8, Connections: 64, Accelerators: 8,
	}}}
}

func targetName(i int) anvilid.TargetID { return anvilid.TargetID(fmt.Sprintf("worker-%05d", i)) }

func (f *filled) claimRequest(i int) Command {
	return Command{Claim: &Claim{
		Key:    RequestKey{"account-1", "planner", anvilid.RequestID(fmt.Sprintf("instance-01-17-%08d", i))},
		Digest: make([]byte, 32), Holder: Holder{anvilid.InstanceID(fmt.Sprintf("instance-%02d", i%f.instances)), 1, 1},
	}}
}

func (f *filled) submitJob(i int) Command {
	return Command{Submit: &SubmitJob{
		ID: anvilid.JobID(fmt.Sprintf("job-%06d", i)), Account: "account-1", Service: "planner",
		Accelerators: 8, Estimate: anvilclock.Hour, Payload: make([]byte, 256),
	}}
}

func placeJob(i, target int) Command {
	return Command{Place: &PlaceJob{anvilid.JobID(fmt.Sprintf("job-%06d", i)), []Member{{Target: targetName(target), Incarnation: 1, Accelerators: 8}}, false}}
}

func accountChange(id int, base anvilid.Revision, account, weight int) Command {
	return Command{Config: &anvilconfig.Change{
		ID: anvilid.ChangeID(fmt.Sprint("change-", id)), Operator: "ada", BaseRevision: base,
		Set: []anvilconfig.Object{{
			Key:     anvilconfig.Key{Kind: anvilconfig.KindAccount, Name: anvilid.ObjectName(fmt.Sprint("account-", account))},
			Account: &anvilconfig.Account{Weight: weight},
		}},
	}}
}

// fill builds the state: half of the jobs are placed, and nine of ten claims are done with
// an answer of 200 bytes.
func fill(b *testing.B, s scale) *filled {
	f := &filled{scale: s, m: New(), at: 1, b: b}
	for i := range s.instances {
		f.load(f.joinInstance(i, 1))
	}
	for i := range s.targets {
		f.load(f.registerTarget(i, 1))
	}
	f.load(configCommand(`{"id": "base", "operator": "ada", "set": [{"kind": "service", "name": "planner", "spec": {"timeout": 1000, "body": 1000}}]}`))
	for i := range s.accounts {
		f.load(accountChange(i, f.m.Revision(), i, 1))
	}
	for i := range s.claims * 9 / 10 {
		f.load(f.claimRequest(i))
		if i%10 > 0 {
			claim := f.claimRequest(i).Claim
			f.load(Command{Complete: &Complete{Key: claim.Key, Holder: claim.Holder, Answer: Answer{Status: 200, Body: make([]byte, 200)}}})
		}
	}
	for i := range s.jobs {
		f.load(f.submitJob(i))
		if i < s.jobs/2 {
			f.load(placeJob(i, i))
		}
	}
	return f
}

// BenchmarkApply measures each command on a filled machine. Each round leaves the state as
// it was, so that rounds are comparable.
func BenchmarkApply(b *testing.B) {
	for _, s := range scales {
		f := fill(b, s)
		for _, c := range f.cases() {
			b.Run(fmt.Sprintf("%s/targets=%d", c.name, s.targets), func(b *testing.B) {
				f.b = b
				for i := 0; b.Loop(); i++ {
					c.round(i)
				}
			})
		}
	}
}

type benchCase struct {
	name  string
	round func(i int)
}

func (f *filled) cases() []benchCase {
	last := f.targets - 1
	free := f.claims // numbers the request ids of new claims
	round := 0       // counts the rounds of all cases, to make ids and weights unique
	return []benchCase{
		{"register+depart+remove", func(int) {
			f.must(f.registerTarget(f.targets, 1))
			f.must(Command{Depart: &LeaveTarget{targetName(f.targets), 1}})
			f.must(Command{Remove: &RemoveTarget{targetName(f.targets), 1}})
		}},
		{"release", func(int) {
			target := f.m.targets[targetName(last)]
			f.must(Command{Release: &ReleaseTarget{target.ID, target.Owner, target.Epoch}})
		}},
		{"join+expire", func(int) {
			f.must(f.joinInstance(f.instances, 1))
			f.must(Command{Expire: &ExpireInstance{anvilid.InstanceID(fmt.Sprintf("instance-%02d", f.instances)), 1}})
		}},
		{"rejoin-owner", func(int) {
			owner, _ := f.m.Instance("instance-00")
			f.must(f.joinInstance(0, owner.Incarnation+1))
		}},
		{"rebalance-64", func(int) { f.must(Command{Rebalance: &Rebalance{Limit: 64}}) }},
		{"change-account", func(int) {
			round++
			f.must(accountChange(1_000_000+round, f.m.Revision(), 0, 1+round%1000))
		}},
		{"claim+complete", func(int) {
			// Beyond the limit of claims, the ids of the first rounds must expire. That is
			// part of the measured cost.
			free++
			f.at += anvilclock.Hour / anvilclock.Millis(f.claims/20)
			claim := f.claimRequest(free*f.instances + 2).Claim
			f.must(Command{Claim: claim})
			f.must(Command{Complete: &Complete{Key: claim.Key, Holder: claim.Holder, Answer: Answer{Status: 200, Body: make([]byte, 200)}}})
		}},
		{"claim+abandon", func(int) {
			free++
			f.at += anvilclock.Hour / anvilclock.Millis(f.claims/20)
			claim := f.claimRequest(free*f.instances + 2).Claim
			f.must(Command{Claim: claim})
			f.must(Command{Abandon: &Abandon{claim.Key, claim.Holder}})
		}},
		{"submit+cancel", func(int) {
			round++
			job := f.submitJob(1_000_000 + round)
			f.must(job)
			f.must(Command{Cancel: &CancelJob{job.Submit.ID}})
		}},
		{"place+requeue", func(int) {
			first := f.jobs - 1
			placed := f.must(placeJob(first, last))
			f.must(Command{Advance: &AdvanceJob{ID: placed.Job.ID, Token: placed.Job.Token, State: JobSubmitted}})
		}},
	}
}

// BenchmarkSnapshot measures the size of a snapshot, the time to write and to restore it,
// and the memory of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, s := range scales {
		before := heap()
		f := fill(b, s)
		memory := heap() - before
		data, err := f.m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("write/targets=%d", s.targets), func(b *testing.B) {
			for b.Loop() {
				if _, err := f.m.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/1e6, "MB/snapshot")
			b.ReportMetric(float64(memory)/1e6, "MB/state")
		})
		b.Run(fmt.Sprintf("capture/targets=%d", s.targets), func(b *testing.B) {
			for b.Loop() {
				f.m.Capture()
			}
		})
		b.Run(fmt.Sprintf("restore/targets=%d", s.targets), func(b *testing.B) {
			for b.Loop() {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDrain measures the hand-over of all targets of one instance. A round can do
// this only once, so each round starts from a restored state.
func BenchmarkDrain(b *testing.B) {
	for _, s := range scales {
		f := fill(b, scale{instances: s.instances, targets: s.targets, accounts: 1})
		data, err := f.m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("targets=%d", s.targets), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				if f.m, err = Restore(data); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				f.must(Command{Leave: &LeaveInstance{"instance-01", 1, true}})
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkGuarantee measures a change of guarantees that take nine tenths of all targets.
// This is the largest placement that the check has to compute.
func BenchmarkGuarantee(b *testing.B) {
	for _, s := range scales {
		f := fill(b, s)
		change := anvilconfig.Change{ID: "g", Operator: "ada", BaseRevision: f.m.Revision()}
		for name, n := range map[anvilid.ObjectName]int{"eight": 8, "sixtyfour": 64} {
			change.Set = append(change.Set,
				anvilconfig.Object{Key: anvilconfig.Key{Kind: anvilconfig.KindShape, Name: name}, Shape: &anvilconfig.Shape{
					Accelerators: anvilid.AcceleratorCount(n), Within: anvilconfig.WithinZone,
				}},
				anvilconfig.Object{Key: anvilconfig.Key{Kind: anvilconfig.KindGuarantee, Name: name}, Guarantee: &anvilconfig.Guarantee{
					Account: "account-1", Service: "planner", Shape: anvilid.ShapeName(name), Count: min(10_000, s.targets*8*9/20/n),
				}})
		}
		b.Run(fmt.Sprintf("targets=%d", s.targets), func(b *testing.B) {
			for b.Loop() {
				if _, problems := f.m.CheckConfig(change); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
		})
	}
}
