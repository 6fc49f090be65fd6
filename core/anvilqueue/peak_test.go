package anvilqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	peakSlots   = 48
	peakMean    = 50.0
	peakTimeout = 500 * anvilclock.Millisecond
	peakTime    = 40 * anvilclock.Second
	peakFrom    = 10 * anvilclock.Second
	peakTo      = 30 * anvilclock.Second
)

// demand is one request of the driver.
type demand struct {
	at, took, deadline anvilclock.Millis
	account            anvilid.AccountID
	kind               string
	straggler          bool
}

// source describes the requests of one account per second.
type source struct {
	account    anvilid.AccountID
	base, peak float64 // requests per millisecond
	stragglers float64 // share that takes 50 times as long
	kind       string
	timeout    anvilclock.Millis
	longer     float64 // factor of the duration
}

func draw(seed uint64, sources ...source) []demand {
	var all []demand
	for i, s := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		if s.timeout == 0 {
			s.timeout = peakTimeout
		}
		at := 0.0
		for {
			per := s.base
			if at >= float64(peakFrom) && at < float64(peakTo) {
				per = s.peak
			}
			if per == 0 {
				break
			}
			at += random.ExpFloat64() / per
			if at >= float64(peakTime) {
				break
			}
			d := demand{at: anvilclock.Millis(at), account: s.account, kind: s.kind}
			took := peakMean * (0.5 + random.ExpFloat64()/2)
			d.straggler = random.Float64() < s.stragglers
			if d.straggler {
				took *= 50
			}
			d.took = 1 + anvilclock.Millis(took)
			d.deadline = d.at + s.timeout
			if d.straggler {
				d.deadline += 200 * anvilclock.Second
			}
			all = append(all, d)
		}
	}
	slices.SortStableFunc(all, func(a, b demand) int { return int(a.at - b.at) })
	return all
}

// outcome sums up a run. Work is slot time.
type outcome struct {
	good    map[anvilid.AccountID]float64 // work done in time during the peak
	work    map[anvilid.AccountID]float64 // work done during the peak
	waits   []anvilclock.Millis           // of short requests of watched accounts that started in the peak
	refused int
	inTime  int
	offered int
	short   int // short requests of watched accounts in the peak
}

func (o *outcome) goodput() float64 {
	sum := 0.0
	for _, work := range o.good {
		sum += work
	}
	return sum / (peakSlots * float64(peakTo-peakFrom))
}

func (o *outcome) wait(percent int) anvilclock.Millis {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[(len(o.waits)-1)*percent/100]
}

func (o *outcome) share(id anvilid.AccountID) float64 {
	sum := 0.0
	for _, work := range o.work {
		sum += work
	}
	return o.work[id] / sum
}

// discipline is what the driver needs from a queue.
type discipline struct {
	push func(now anvilclock.Millis, d demand) bool
	// pop returns the next request and what to call at its end.
	pop func(now anvilclock.Millis) (demand, func(now anvilclock.Millis), bool)
}

func run(demands []demand, queue discipline) *outcome {
	o := &outcome{good: map[anvilid.AccountID]float64{}, work: map[anvilid.AccountID]float64{}}
	ends := map[anvilclock.Millis][]func(){}
	free := peakSlots
	for now := anvilclock.Millis(0); now < peakTime+20*anvilclock.Second; now++ {
		for _, finish := range ends[now] {
			finish()
			free++
		}
		delete(ends, now)
		for len(demands) > 0 && demands[0].at <= now {
			o.offered++
			watched := !demands[0].straggler && demands[0].account != "bulk"
			if watched && now >= peakFrom && now < peakTo {
				o.short++
			}
			if !queue.push(now, demands[0]) {
				o.refused++
			}
			demands = demands[1:]
		}
		for free > 0 {
			d, done, ok := queue.pop(now)
			if !ok {
				break
			}
			free--
			ends[now+d.took] = append(ends[now+d.took], func() {
				done(now + d.took)
				o.finish(now, d)
			})
		}
	}
	return o
}

// finish books a request that started at the given time.
func (o *outcome) finish(start anvilclock.Millis, d demand) {
	inPeak := float64(max(0, min(start+d.took, peakTo)-max(start, peakFrom)))
	o.work[d.account] += inPeak
	if start+d.took > d.deadline {
		return
	}
	o.inTime++
	o.good[d.account] += inPeak
	if !d.straggler && start >= peakFrom && start < peakTo && d.account != "bulk" {
		o.waits = append(o.waits, start-d.at)
	}
}

// firstCome is the baseline: one queue, oldest first, bounded in length.
func firstCome() discipline {
	var waiting []demand
	return discipline{
		push: func(_ anvilclock.Millis, d demand) bool {
			if len(waiting) >= 4*defaultBound {
				return false
			}
			waiting = append(waiting, d)
			return true
		},
		pop: func(anvilclock.Millis) (demand, func(anvilclock.Millis), bool) {
			if len(waiting) == 0 {
				return demand{}, nil, false
			}
			d := waiting[0]
			waiting = waiting[1:]
			return d, func(anvilclock.Millis) {}, true
		},
	}
}

func fair(weights map[anvilid.AccountID]int) discipline {
	q := New()
	q.SetSlots(peakSlots)
	for id, weight := range weights {
		q.SetWeight(id, weight)
	}
	return discipline{
		push: func(now anvilclock.Millis, d demand) bool {
			_, verdict := q.Push(now, Request{Account: d.account, Kind: d.kind, Deadline: d.deadline, Payload: d})
			return verdict == Queued
		},
		pop: func(now anvilclock.Millis) (demand, func(anvilclock.Millis), bool) {
			t := q.Pop(now)
			q.TakeDropped()
			if t == nil {
				return demand{}, nil, false
			}
			return t.Payload.(demand), func(now anvilclock.Millis) { q.Done(now, t, true) }, true
		},
	}
}

// capacity is the rate, per millisecond, that the slots can serve.
const capacity = peakSlots / peakMean

func row(t *testing.T, name string, o *outcome) {
	served := 100 * float64(len(o.waits)) / float64(max(1, o.short))
	t.Logf("%-28s %9d %8d %8d %8.1f%% %8.1f%% %6d %6d", name, o.offered, o.refused, o.offered-o.refused-o.inTime, 100*o.goodput(), served, o.wait(50), o.wait(99))
}

// TestPeak guards against goodput that collapses under overload.
func TestPeak(t *testing.T) {
	t.Log("case                           offered  refused     late  goodput  in time    p50    p99")
	for _, times := range []float64{3, 10} {
		for _, mixed := range []bool{false, true} {
			var sources []source
			for i := range 4 {
				s := source{account: anvilid.AccountID(rune('a' + i)), base: 0.15 * capacity, peak: times / 4 * capacity}
				if mixed {
					s.timeout = []anvilclock.Millis{250, 500, 1000, 4000}[i]
				}
				sources = append(sources, s)
			}
			demands := draw(11, sources...)
			label := fmt.Sprintf("%gx", times)
			if mixed {
				label += " mixed timeouts"
			}
			row(t, label+" fcfs", run(demands, firstCome()))
			o := run(demands, fair(nil))
			row(t, label+" fair", o)
			assert.Assert(t, o.goodput() >= 0.95, "%s: goodput %.3f", label, o.goodput())
		}
	}
}

// TestGuaranteedShare guards against an account that loses its part of the
// slots while another one floods the queue.
func TestGuaranteedShare(t *testing.T) {
	weights := map[anvilid.AccountID]int{"guaranteed": 3, "flood": 1}
	for _, c := range []struct{ asked, least float64 }{{0.3, 0.3}, {0.7, 0.7}, {3, 0.75}} {
		demands := draw(12,
			source{account: "guaranteed", base: 0.3 * capacity, peak: c.asked * capacity},
			source{account: "flood", base: 0.1 * capacity, peak: 10 * capacity},
		)
		fcfs, o := run(demands, firstCome()), run(demands, fair(weights))
		t.Logf("guaranteed 75%%, asks for %3.0f%%: gets %.1f%% (fcfs %.1f%%), goodput %.1f%%", 100*c.asked, 100*o.share("guaranteed"), 100*fcfs.share("guaranteed"), 100*o.goodput())
		assert.Assert(t, o.share("guaranteed") >= 0.95*c.least)
		assert.Assert(t, o.goodput() >= 0.95)
	}
}

// TestStragglers guards against short requests that wait behind long ones.
func TestStragglers(t *testing.T) {
	t.Log("case                           offered  refused     late  goodput  in time    p50    p99")
	short := source{account: "short", base: 0.5 * capacity, peak: 0.5 * capacity}
	for _, c := range []struct {
		name    string
		sources []source
	}{
		{"none", []source{short}},
		{"own kind", []source{short, {account: "bulk", kind: "replan", base: 0.02 * capacity, peak: 0.02 * capacity, stragglers: 1}}},
		{"own kind, little traffic", []source{
			{account: "short", base: 0.02 * capacity, peak: 0.02 * capacity},
			{account: "bulk", kind: "replan", base: 0.005 * capacity, peak: 0.005 * capacity, stragglers: 1},
		}},
		{"own kind, flood", []source{short, {account: "bulk", kind: "replan", base: 0.2 * capacity, peak: 0.2 * capacity, stragglers: 1}}},
		{"hidden 1% of an account", []source{
			{account: "short", base: 0.4 * capacity, peak: 0.4 * capacity},
			{account: "bulk", base: 0.36 * capacity, peak: 0.36 * capacity, stragglers: 0.01},
		}},
	} {
		demands := draw(13, c.sources...)
		row(t, c.name+" fcfs", run(demands, firstCome()))
		o := run(demands, fair(nil))
		row(t, c.name+" fair", o)
		assert.Assert(t, float64(len(o.waits)) >= 0.95*float64(o.short), "short requests starve")
	}
}
