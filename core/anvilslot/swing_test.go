package anvilslot

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

const (
	swingInstances = 8
	swingTargets   = 48
	swingSlots     = 8
	swingTime      = 60 * anvilclock.Second
	swingMean      = 100.0 // milliseconds per request
	swingHop       = 2 * anvilclock.Millisecond
	swingExchange  = 300 * anvilclock.Millisecond // age of the load of peers
)

type arrival struct {
	instance int
	took     anvilclock.Millis
}

// arrivals draws the demand: two of the instances get ten times as much as
// the others, and the pair changes every 4 s within 2 s.
func arrivals(load float64, seed uint64) [][]arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	perMilli := load * swingTargets * swingSlots / swingMean
	var from, to [swingInstances]float64
	perStep := make([][]arrival, swingTime)
	for now := range swingTime {
		if now%(4*anvilclock.Second) == 0 {
			from = to
			to = [swingInstances]float64{1, 1, 1, 1, 1, 1, 1, 1}
			first := random.IntN(swingInstances)
			to[first], to[(first+1+random.IntN(swingInstances-1))%swingInstances] = 10, 10
		}
		part := min(1, float64(now%(4*anvilclock.Second))/float64(2*anvilclock.Second))
		var weights [swingInstances]float64
		sum := 0.0
		for i := range weights {
			weights[i] = from[i] + part*(to[i]-from[i])
			sum += weights[i]
		}
		for left := perMilli; left > 0; left-- {
			if left < 1 && random.Float64() >= left {
				break
			}
			at := random.Float64() * sum
			i := 0
			for i < swingInstances-1 && at >= weights[i] {
				at -= weights[i]
				i++
			}
			perStep[now] = append(perStep[now], arrival{instance: i, took: 1 + anvilclock.Millis(random.ExpFloat64()*swingMean)})
		}
	}
	return perStep
}

type figures struct {
	offered, refused, most int
	use                    float64
}

func (f figures) String() string {
	return fmt.Sprintf("%8d %9.2f%% %9.1f%% %6d", f.offered, 100*float64(f.refused)/float64(f.offered), 100*f.use, f.most)
}

// static is the baseline: each instance has one slot of each target.
func static(demand [][]arrival) figures {
	var f figures
	var busy [swingInstances]int
	ends := map[anvilclock.Millis][]int{}
	used := 0
	for now, arriving := range demand {
		for _, i := range ends[anvilclock.Millis(now)] {
			busy[i]--
			used--
		}
		for _, a := range arriving {
			f.offered++
			if busy[a.instance] == swingTargets {
				f.refused++
				continue
			}
			busy[a.instance]++
			used++
			end := anvilclock.Millis(now) + a.took
			ends[end] = append(ends[end], a.instance)
		}
		f.use += float64(used)
	}
	f.use /= float64(swingTime) * swingTargets * swingSlots
	f.most = swingSlots // by construction
	return f
}

type fleet struct {
	figures
	ledgers [swingInstances]*Ledger
	peers   [swingInstances]*PeerSelector
	use     map[anvilid.TargetID]int
	used    int
	events  map[anvilclock.Millis][]func()
}

func instanceName(i int) anvilid.InstanceID { return anvilid.InstanceID(rune('a' + i)) }

func instanceNumber(id anvilid.InstanceID) int { return int(id[0] - 'a') }

// exchange tells the load of instance i to its peers.
func (f *fleet) exchange(now anvilclock.Millis, i int) {
	for j := range f.peers {
		if j != i {
			f.peers[j].UpdateFreeSlots(now, instanceName(i), "s", f.ledgers[i].Free(now, "s"))
		}
	}
}

func (f *fleet) start(now anvilclock.Millis, at int, took anvilclock.Millis) bool {
	lease, ok := f.ledgers[at].Acquire(now, "s")
	if !ok {
		return false
	}
	f.use[lease.Target]++
	f.used++
	f.most = max(f.most, f.use[lease.Target])
	f.events[now+took] = append(f.events[now+took], func() {
		f.use[lease.Target]--
		f.used--
		f.ledgers[at].Release(now+took, lease)
	})
	return true
}

func (f *fleet) arrive(now anvilclock.Millis, a arrival) {
	f.offered++
	if f.start(now, a.instance, a.took) {
		return
	}
	to, ok := f.peers[a.instance].Pick(now, "s")
	if !ok {
		f.refused++
		return
	}
	f.events[now+swingHop] = append(f.events[now+swingHop], func() {
		if !f.start(now+swingHop, instanceNumber(to), a.took) {
			f.refused++
		}
		free := f.ledgers[instanceNumber(to)].Free(now+swingHop, "s")
		f.events[now+2*swingHop] = append(f.events[now+2*swingHop], func() {
			f.peers[a.instance].UpdateFreeSlots(now+2*swingHop, to, "s", free)
		})
	})
}

// owned runs the ledgers of all instances, each the owner of its targets,
// with one hop to a peer.
func owned(t *testing.T, demand [][]arrival, seed uint64) figures {
	f := &fleet{use: map[anvilid.TargetID]int{}, events: map[anvilclock.Millis][]func(){}}
	for i := range f.ledgers {
		f.ledgers[i], f.peers[i] = New(), NewPeerSelector(seed+uint64(i))
	}
	name := func(k int) anvilid.TargetID { return anvilid.TargetID(fmt.Sprintf("t%02d", k)) }
	report := func(now anvilclock.Millis, k int) *anvilreport.Report {
		return &anvilreport.Report{Target: name(k), Incarnation: 1, Epoch: 1, Sequence: uint64(now) + 2, Running: anvilid.SlotCount(f.use[name(k)])}
	}
	for k := range swingTargets {
		l := f.ledgers[k%swingInstances]
		l.Own(0, name(k), 1, Limits{Service: "s", Incarnation: 1, Slots: swingSlots, Connections: 64}, 0)
		assert.NilError(t, l.HandleAdoption(0, 0, name(k), 1, report(-1, k)))
	}
	for step, arriving := range demand {
		now := anvilclock.Millis(step)
		for _, do := range f.events[now] {
			do()
		}
		delete(f.events, now)
		for i := range f.ledgers {
			if now%swingExchange == anvilclock.Millis(i)*swingExchange/swingInstances {
				f.exchange(now, i)
			}
		}
		if now%anvilclock.Second == 0 {
			for k := range swingTargets {
				assert.NilError(t, f.ledgers[k%swingInstances].HandleReport(now, report(now, k)))
			}
		}
		for _, a := range arriving {
			f.arrive(now, a)
		}
		f.figures.use += float64(f.used)
	}
	f.figures.use /= float64(swingTime) * swingTargets * swingSlots
	return f.figures
}

// TestSwing compares target ownership with an equal static split while demand
// moves between the instances. It guards against more than 8 slots in use.
func TestSwing(t *testing.T) {
	t.Log("load  scheme    offered   refused  slot use   most in use")
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95, 1.2, 3} {
		demand := arrivals(load, 7)
		base, own := static(demand), owned(t, demand, 7)
		t.Logf("%.2f  static   %v", load, base)
		t.Logf("%.2f  owned    %v", load, own)
		assert.Assert(t, own.most <= swingSlots)
		if load >= 3 {
			assert.Assert(t, own.use >= 0.95, "slot use %.3f at 3 times the capacity", own.use)
		}
	}
}
