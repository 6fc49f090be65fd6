package anvilplan

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

var (
	single   = anvilconfig.Shape{Accelerators: 1, Within: anvilconfig.WithinWorker}
	eight    = anvilconfig.Shape{Accelerators: 8, Within: anvilconfig.WithinWorker}
	rackGang = anvilconfig.Shape{Accelerators: 64, Within: anvilconfig.WithinRack}
	zoneGang = anvilconfig.Shape{Accelerators: 64, Within: anvilconfig.WithinZone}
)

// fleet is a planner under a realistic load: a third of the accelerators is reserved for guarantees,
// and 98% of all accelerators are in use, mostly by small borrowers.
type fleet struct {
	p      *Planner
	random *rand.Rand
	jobs   []anvilid.JobID
	next   int
	now    anvilclock.Millis
}

func addTargets(p *Planner, targets int) {
	for i := range targets {
		addTarget(p, anvilid.TargetID(fmt.Sprintf("t%d", i)), i/8)
	}
}

func addTarget(p *Planner, id anvilid.TargetID, rack int) {
	_, err := p.AddTarget(Target{
		ID: id, Service: testService, Region: "r",
		Zone: anvilid.ZoneName(fmt.Sprintf("z%d", rack%11)), Rack: anvilid.RackName(fmt.Sprintf("k%d", rack)), Accelerators: 8,
	})
	if err != nil {
		panic(err)
	}
}

func newFleet(targets, accounts int) *fleet {
	f := &fleet{p: New(), random: rand.New(rand.NewPCG(3, 0))}
	addTargets(f.p, targets)
	third := targets * 8 / 3 / accounts
	var guarantees []Guarantee
	for i := range accounts {
		account := anvilid.AccountID(fmt.Sprintf("a%d", i))
		guarantees = append(guarantees,
			Guarantee{account, testService, rackGang, third / 2 / 64},
			Guarantee{account, testService, eight, third * 3 / 8 / 8},
			Guarantee{account, testService, single, third / 8})
	}
	if _, err := f.p.SetGuarantees(guarantees); err != nil {
		panic(err)
	}
	for f.p.Largest(testService).Total > targets*8/50 {
		f.borrow()
	}
	return f
}

func (f *fleet) request(shape anvilconfig.Shape, account int) Request {
	f.next++
	f.now += 10
	return Request{
		Job: anvilid.JobID(fmt.Sprintf("job-%08d", f.next)), Account: anvilid.AccountID(fmt.Sprintf("a%d", account)),
		Service: testService, Shape: shape, Preemptible: true,
	}
}

func (f *fleet) borrow() bool {
	shape := single
	switch f.random.IntN(100) {
	case 0:
		shape = rackGang
	case 1, 2, 3:
		shape = eight
	case 4, 5, 6, 7, 8, 9:
		shape = anvilconfig.Shape{Accelerators: 4, Within: anvilconfig.WithinWorker}
	}
	r := f.request(shape, 1_000_000)
	_, err := f.p.Place(f.now, r)
	if err == nil {
		f.jobs = append(f.jobs, r.Job)
	}
	return err == nil
}

// fill places borrowers until no accelerator is free, so that a guaranteed gang must preempt some of
// them.
func (f *fleet) fill() {
	for f.p.Largest(testService).Total > 0 {
		f.borrow()
	}
}

func (f *fleet) release() {
	i := f.random.IntN(len(f.jobs))
	f.p.Release(f.jobs[i])
	f.jobs[i] = f.jobs[len(f.jobs)-1]
	f.jobs = f.jobs[:len(f.jobs)-1]
}

// timings has the durations of single calls, of which report gives the 99th percentile and the maximum.
type timings []time.Duration

func (t *timings) measure(do func()) {
	start := time.Now()
	do()
	*t = append(*t, time.Since(start))
}

func (t timings) report(b *testing.B) {
	slices.Sort(t)
	b.ReportMetric(float64(t[len(t)*99/100]), "p99-ns")
	b.ReportMetric(float64(t[len(t)-1]), "max-ns")
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

var fleetSizes = []struct{ targets, accounts int }{{480, 8}, {4_800, 64}, {29_000, 380}}

func eachFleet(b *testing.B, run func(b *testing.B, f *fleet)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("targets=%d", size.targets), func(b *testing.B) {
			f := newFleet(size.targets, size.accounts)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, f)
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		var t timings
		for b.Loop() {
			b.StopTimer()
			f.release()
			b.StartTimer()
			t.measure(func() { f.borrow() })
		}
		t.report(b)
	})
}

// BenchmarkPlaceScattered places gangs of 64 accelerators within a zone when only single
// accelerators are free, which is the most work for one placement.
func BenchmarkPlaceScattered(b *testing.B) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		var t timings
		members := 0
		for b.Loop() {
			b.StopTimer()
			for f.p.Largest(testService).Zone < 64 {
				f.release()
			}
			r := f.request(zoneGang, 1_000_000)
			b.StartTimer()
			var placement Placement
			var err error
			t.measure(func() { placement, err = f.p.Place(f.now, r) })
			if err != nil {
				b.Fatal(err)
			}
			b.StopTimer()
			members += len(placement.Members)
			f.p.Release(r.Job)
			f.fill()
			b.StartTimer()
		}
		t.report(b)
		b.ReportMetric(float64(members)/float64(b.N), "members/op")
	})
}

// BenchmarkRearrange calls Repair with guarantees that can't be met, so that each call rearranges
// all reservations.
func BenchmarkRearrange(b *testing.B) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		var guarantees []Guarantee
		for _, reservation := range f.p.Reservations() {
			guarantees = append(guarantees, Guarantee{reservation.Account, reservation.Service, reservation.Shape, 1})
		}
		// Gangs of seven leave single accelerators, into which no other gang of seven fits.
		seven := anvilconfig.Shape{Accelerators: 7, Within: anvilconfig.WithinWorker}
		guarantees = append(guarantees, Guarantee{"a0", testService, seven, int(f.p.unreserved.services[0]) / 7})
		unmet, err := f.p.SetGuarantees(guarantees)
		if err != nil || len(unmet) == 0 {
			b.Fatalf("%v, unmet %v; want guarantees that don't fit", err, unmet)
		}
		b.ResetTimer()
		var t timings
		for b.Loop() {
			t.measure(func() { f.p.Repair() })
		}
		t.report(b)
		b.ReportMetric(float64(len(f.p.units)), "units")
	})
}

func BenchmarkRelease(b *testing.B) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		var t timings
		for b.Loop() {
			t.measure(f.release)
			b.StopTimer()
			for !f.borrow() {
				f.release()
			}
			b.StartTimer()
		}
		t.report(b)
	})
}

// benchmarkReclaim places guaranteed gangs whose reservations are lent to borrowers, so that borrowers
// are preempted. It then releases these borrowers and the gang itself.
func benchmarkReclaim(b *testing.B, shape anvilconfig.Shape) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		b.StopTimer()
		f.fill()
		b.StartTimer()
		var t timings
		victims, account := 0, 0
		for b.Loop() {
			r := f.request(shape, account%8)
			account++
			var placement Placement
			var err error
			t.measure(func() { placement, err = f.p.Place(f.now, r) })
			if err != nil || !placement.Guaranteed {
				b.Fatalf("%+v: %v", placement, err)
			}
			b.StopTimer()
			victims += len(placement.Victims)
			for _, v := range placement.Victims {
				f.p.Release(v)
				f.jobs = slices.DeleteFunc(f.jobs, func(j anvilid.JobID) bool { return j == v })
			}
			f.p.Release(r.Job)
			f.fill()
			b.StartTimer()
		}
		t.report(b)
		b.ReportMetric(float64(victims)/float64(b.N), "victims/op")
	})
}

func BenchmarkReclaimWorker(b *testing.B) { benchmarkReclaim(b, eight) }
func BenchmarkReclaimRack(b *testing.B)   { benchmarkReclaim(b, rackGang) }

// BenchmarkCancel releases guaranteed gangs that still wait for the release of the borrowers that were
// preempted for them.
func BenchmarkCancel(b *testing.B) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		b.StopTimer()
		f.fill()
		b.StartTimer()
		var t timings
		account := 0
		for b.Loop() {
			b.StopTimer()
			r := f.request(eight, account%8)
			account++
			placement, err := f.p.Place(f.now, r)
			if err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
			t.measure(func() { f.p.Release(r.Job) })
			b.StopTimer()
			for _, v := range placement.Victims {
				f.p.Release(v)
				f.jobs = slices.DeleteFunc(f.jobs, func(j anvilid.JobID) bool { return j == v })
			}
			f.fill()
			b.StartTimer()
		}
		t.report(b)
	})
}

// BenchmarkLoseTarget removes targets and adds them again.
func BenchmarkLoseTarget(b *testing.B) {
	eachFleet(b, func(b *testing.B, f *fleet) {
		var t timings
		for b.Loop() {
			number := f.random.IntN(len(f.p.targets))
			id, rackNumber := anvilid.TargetID(fmt.Sprintf("t%d", number)), number/8
			var loss Loss
			t.measure(func() { loss = f.p.RemoveTarget(id) })
			b.StopTimer()
			for _, job := range loss.Gangs {
				f.p.Release(job)
				f.jobs = slices.DeleteFunc(f.jobs, func(j anvilid.JobID) bool { return j == job })
			}
			addTarget(f.p, id, rackNumber)
			f.fill()
			b.StartTimer()
		}
		t.report(b)
	})
}

// BenchmarkFleetMemory reports the heap of a planner with guarantees and no free accelerators.
func BenchmarkFleetMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		f := newFleet(29_000, 380)
		f.jobs = nil
		b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
		b.ReportMetric(float64(len(f.p.gangByJob)), "gangs")
		b.ReportMetric(float64(len(f.p.units)), "units")
	}
}

// BenchmarkMemory reports the heap of a planner in which each accelerator runs a task of its own.
func BenchmarkMemory(b *testing.B) {
	for _, targets := range []int{480, 29_000, 65_000} {
		b.Run(fmt.Sprintf("tasks=%d", targets*8), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := &fleet{p: New()}
				addTargets(f.p, targets)
				for range targets * 8 {
					if _, err := f.p.Place(f.now, f.request(single, f.next%380)); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(f)
			}
		})
	}
}
