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
	simSlots           = 48
	meanDurationMillis = 50.0
	defaultTimeout     = 500 * anvilclock.Millisecond
	simDuration        = 40 * anvilclock.Second
	peakStart          = 10 * anvilclock.Second
	peakEnd            = 30 * anvilclock.Second
)

// simRequest is one simulated request. A straggler takes 50 times as long as other requests.
type simRequest struct {
	at, duration, deadline anvilclock.Millis
	account                anvilid.AccountID
	kind                   string
	straggler              bool
}

// workload describes the simulated requests of one account.
type workload struct {
	account            anvilid.AccountID
	baseRate, peakRate float64 // requests per millisecond, outside and during the peak
	stragglerShare     float64 // share of requests that are stragglers
	kind               string
	timeout            anvilclock.Millis
	longer             float64 // factor by which requests take longer
}

func drawRequests(seed uint64, workloads ...workload) []simRequest {
	var all []simRequest
	for i, s := range workloads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		if s.timeout == 0 {
			s.timeout = defaultTimeout
		}
		at := 0.0
		for {
			ratePerMilli := s.baseRate
			if at >= float64(peakStart) && at < float64(peakEnd) {
				ratePerMilli = s.peakRate
			}
			if ratePerMilli == 0 {
				break
			}
			at += random.ExpFloat64() / ratePerMilli
			if at >= float64(simDuration) {
				break
			}
			d := simRequest{at: anvilclock.Millis(at), account: s.account, kind: s.kind}
			took := meanDurationMillis * (0.5 + random.ExpFloat64()/2)
			d.straggler = random.Float64() < s.stragglerShare
			if d.straggler {
				took *= 50
			}
			d.duration = 1 + anvilclock.Millis(took)
			d.deadline = d.at + s.timeout
			if d.straggler {
				d.deadline += 200 * anvilclock.Second
			}
			all = append(all, d)
		}
	}
	slices.SortStableFunc(all, func(a, b simRequest) int { return int(a.at - b.at) })
	return all
}

// simResult is the result of a simulation. Work is the slot time in ms that requests used during the
// peak, from peakStart to peakEnd.
type simResult struct {
	inTimeWork   map[anvilid.AccountID]float64 // work of requests that ended within their deadline
	work         map[anvilid.AccountID]float64 // work of all requests
	waitTimes    []anvilclock.Millis           // of short requests started during the peak, except those of "bulk"
	refused      int
	inTime       int // requests that ended within their deadline
	offered      int // requests that arrived
	shortOffered int // short requests that arrived during the peak, except those of "bulk"
}

func (o *simResult) goodput() float64 {
	sum := 0.0
	for _, work := range o.inTimeWork {
		sum += work
	}
	return sum / (simSlots * float64(peakEnd-peakStart))
}

func (o *simResult) waitQuantile(percent int) anvilclock.Millis {
	if len(o.waitTimes) == 0 {
		return 0
	}
	slices.Sort(o.waitTimes)
	return o.waitTimes[(len(o.waitTimes)-1)*percent/100]
}

func (o *simResult) share(id anvilid.AccountID) float64 {
	sum := 0.0
	for _, work := range o.work {
		sum += work
	}
	return o.work[id] / sum
}

// queueDriver gives the simulation the same two functions for each kind of queue.
type queueDriver struct {
	// push adds a request to the queue or returns false if the queue refuses it.
	push func(now anvilclock.Millis, d simRequest) bool
	// pop returns the next request and a function to call when the request ends.
	pop func(now anvilclock.Millis) (simRequest, func(now anvilclock.Millis), bool)
}

func simulate(requests []simRequest, queue queueDriver) *simResult {
	o := &simResult{inTimeWork: map[anvilid.AccountID]float64{}, work: map[anvilid.AccountID]float64{}}
	ends := map[anvilclock.Millis][]func(){}
	free := simSlots
	for now := anvilclock.Millis(0); now < simDuration+20*anvilclock.Second; now++ {
		for _, finish := range ends[now] {
			finish()
			free++
		}
		delete(ends, now)
		for len(requests) > 0 && requests[0].at <= now {
			o.offered++
			watched := !requests[0].straggler && requests[0].account != "bulk"
			if watched && now >= peakStart && now < peakEnd {
				o.shortOffered++
			}
			if !queue.push(now, requests[0]) {
				o.refused++
			}
			requests = requests[1:]
		}
		for free > 0 {
			d, done, ok := queue.pop(now)
			if !ok {
				break
			}
			free--
			ends[now+d.duration] = append(ends[now+d.duration], func() {
				done(now + d.duration)
				o.recordFinish(now, d)
			})
		}
	}
	return o
}

// recordFinish adds a request that started at the given time and has ended to the result.
func (o *simResult) recordFinish(start anvilclock.Millis, d simRequest) {
	inPeak := float64(max(0, min(start+d.duration, peakEnd)-max(start, peakStart)))
	o.work[d.account] += inPeak
	if start+d.duration > d.deadline {
		return
	}
	o.inTime++
	o.inTimeWork[d.account] += inPeak
	if !d.straggler && start >= peakStart && start < peakEnd && d.account != "bulk" {
		o.waitTimes = append(o.waitTimes, start-d.at)
	}
}

// newFCFSDriver returns the baseline: a single first-come, first-served queue of limited length.
func newFCFSDriver() queueDriver {
	var waiting []simRequest
	return queueDriver{
		push: func(_ anvilclock.Millis, d simRequest) bool {
			if len(waiting) >= 4*defaultMaxPerAccount {
				return false
			}
			waiting = append(waiting, d)
			return true
		},
		pop: func(anvilclock.Millis) (simRequest, func(anvilclock.Millis), bool) {
			if len(waiting) == 0 {
				return simRequest{}, nil, false
			}
			d := waiting[0]
			waiting = waiting[1:]
			return d, func(anvilclock.Millis) {}, true
		},
	}
}

func newFairDriver(weights map[anvilid.AccountID]int) queueDriver {
	q := New()
	q.SetSlots(simSlots)
	for id, weight := range weights {
		q.SetWeight(id, weight)
	}
	return queueDriver{
		push: func(now anvilclock.Millis, d simRequest) bool {
			_, verdict := q.Push(now, Request{Account: d.account, Kind: d.kind, Deadline: d.deadline, Payload: d})
			return verdict == Queued
		},
		pop: func(now anvilclock.Millis) (simRequest, func(anvilclock.Millis), bool) {
			t := q.Pop(now)
			q.TakeDropped()
			if t == nil {
				return simRequest{}, nil, false
			}
			return t.Payload.(simRequest), func(now anvilclock.Millis) { q.Done(now, t, true) }, true
		},
	}
}

// capacityPerMilli is the number of requests that the slots can serve per millisecond.
const capacityPerMilli = simSlots / meanDurationMillis

func logRow(t *testing.T, name string, o *simResult) {
	served := 100 * float64(len(o.waitTimes)) / float64(max(1, o.shortOffered))
	t.Logf("%-28s %9d %8d %8d %8.1f%% %8.1f%% %6d %6d", name, o.offered, o.refused, o.offered-o.refused-o.inTime, 100*o.goodput(), served, o.waitQuantile(50), o.waitQuantile(99))
}

// TestPeak guards against goodput that collapses under overload because the slots are used for
// requests that end after their deadline. The peak offers 3 and 10 times the capacity. The log shows
// a first-come, first-served (fcfs) queue for comparison.
func TestPeak(t *testing.T) {
	t.Log("case                           offered  refused     late  goodput  in time    p50    p99")
	for _, times := range []float64{3, 10} {
		for _, mixed := range []bool{false, true} {
			var workloads []workload
			for i := range 4 {
				s := workload{account: anvilid.AccountID(rune('a' + i)), baseRate: 0.15 * capacityPerMilli, peakRate: times / 4 * capacityPerMilli}
				if mixed {
					s.timeout = []anvilclock.Millis{250, 500, 1000, 4000}[i]
				}
				workloads = append(workloads, s)
			}
			requests := drawRequests(11, workloads...)
			label := fmt.Sprintf("%gx", times)
			if mixed {
				label += " mixed timeouts"
			}
			logRow(t, label+" fcfs", simulate(requests, newFCFSDriver()))
			o := simulate(requests, newFairDriver(nil))
			logRow(t, label+" fair", o)
			assert.Assert(t, o.goodput() >= 0.95, "%s: goodput %.3f", label, o.goodput())
		}
	}
}

// TestGuaranteedShare guards against an account that does not get its share of the slots, given by
// its weight, while another account floods the queue.
func TestGuaranteedShare(t *testing.T) {
	weights := map[anvilid.AccountID]int{"guaranteed": 3, "flood": 1}
	for _, c := range []struct{ asked, least float64 }{{0.3, 0.3}, {0.7, 0.7}, {3, 0.75}} {
		requests := drawRequests(12,
			workload{account: "guaranteed", baseRate: 0.3 * capacityPerMilli, peakRate: c.asked * capacityPerMilli},
			workload{account: "flood", baseRate: 0.1 * capacityPerMilli, peakRate: 10 * capacityPerMilli},
		)
		fcfs, o := simulate(requests, newFCFSDriver()), simulate(requests, newFairDriver(weights))
		t.Logf("guaranteed 75%%, asks for %3.0f%%: gets %.1f%% (fcfs %.1f%%), goodput %.1f%%", 100*c.asked, 100*o.share("guaranteed"), 100*fcfs.share("guaranteed"), 100*o.goodput())
		assert.Assert(t, o.share("guaranteed") >= 0.95*c.least)
		assert.Assert(t, o.goodput() >= 0.95)
	}
}

// TestStragglers guards against short requests that wait behind long ones (stragglers). The account
// "bulk" sends the long ones, under a kind of their own or mixed with its short ones.
func TestStragglers(t *testing.T) {
	t.Log("case                           offered  refused     late  goodput  in time    p50    p99")
	short := workload{account: "short", baseRate: 0.5 * capacityPerMilli, peakRate: 0.5 * capacityPerMilli}
	for _, c := range []struct {
		name    string
		sources []workload
	}{
		{"none", []workload{short}},
		{"own kind", []workload{short, {account: "bulk", kind: "replan", baseRate: 0.02 * capacityPerMilli, peakRate: 0.02 * capacityPerMilli, stragglerShare: 1}}},
		{"own kind, little traffic", []workload{
			{account: "short", baseRate: 0.02 * capacityPerMilli, peakRate: 0.02 * capacityPerMilli},
			{account: "bulk", kind: "replan", baseRate: 0.005 * capacityPerMilli, peakRate: 0.005 * capacityPerMilli, stragglerShare: 1},
		}},
		{"own kind, flood", []workload{short, {account: "bulk", kind: "replan", baseRate: 0.2 * capacityPerMilli, peakRate: 0.2 * capacityPerMilli, stragglerShare: 1}}},
		{"hidden 1% of an account", []workload{
			{account: "short", baseRate: 0.4 * capacityPerMilli, peakRate: 0.4 * capacityPerMilli},
			{account: "bulk", baseRate: 0.36 * capacityPerMilli, peakRate: 0.36 * capacityPerMilli, stragglerShare: 0.01},
		}},
	} {
		requests := drawRequests(13, c.sources...)
		logRow(t, c.name+" fcfs", simulate(requests, newFCFSDriver()))
		o := simulate(requests, newFairDriver(nil))
		logRow(t, c.name+" fair", o)
		assert.Assert(t, float64(len(o.waitTimes)) >= 0.95*float64(o.shortOffered), "short requests starve")
	}
}
