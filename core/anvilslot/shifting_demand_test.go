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
	simInstances            = 8
	simTargets              = 48
	simSlots                = 8
	simDuration             = 60 * anvilclock.Second
	simMeanMillis           = 100.0 // mean duration of a request
	simForwardDelay         = 2 * anvilclock.Millisecond
	simLoadExchangeInterval = 300 * anvilclock.Millisecond // period after which an instance sends its load to its peers
)

type arrival struct {
	instance int
	duration anvilclock.Millis
}

// drawArrivals draws the requests that arrive in each millisecond. Two of the instances get ten times
// as many requests as each of the others. Every 4 s another pair is drawn, and the demand shifts to
// it within 2 s.
func drawArrivals(load float64, seed uint64) [][]arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	ratePerMilli := load * simTargets * simSlots / simMeanMillis
	var from, to [simInstances]float64
	perStep := make([][]arrival, simDuration)
	for now := range simDuration {
		if now%(4*anvilclock.Second) == 0 {
			from = to
			to = [simInstances]float64{1, 1, 1, 1, 1, 1, 1, 1}
			first := random.IntN(simInstances)
			to[first], to[(first+1+random.IntN(simInstances-1))%simInstances] = 10, 10
		}
		progress := min(1, float64(now%(4*anvilclock.Second))/float64(2*anvilclock.Second))
		var weights [simInstances]float64
		sum := 0.0
		for i := range weights {
			weights[i] = from[i] + progress*(to[i]-from[i])
			sum += weights[i]
		}
		for left := ratePerMilli; left > 0; left-- {
			if left < 1 && random.Float64() >= left {
				break
			}
			point := random.Float64() * sum
			i := 0
			for i < simInstances-1 && point >= weights[i] {
				point -= weights[i]
				i++
			}
			perStep[now] = append(perStep[now], arrival{instance: i, duration: 1 + anvilclock.Millis(random.ExpFloat64()*simMeanMillis)})
		}
	}
	return perStep
}

type simResult struct {
	offered, refused, maxInUse int
	slotUse                    float64
}

func (f simResult) String() string {
	return fmt.Sprintf("%8d %9.2f%% %9.1f%% %6d", f.offered, 100*float64(f.refused)/float64(f.offered), 100*f.slotUse, f.maxInUse)
}

// simulateStatic simulates the baseline: each instance may always use one slot of each target.
func simulateStatic(demand [][]arrival) simResult {
	var f simResult
	var inUse [simInstances]int
	ends := map[anvilclock.Millis][]int{}
	totalInUse := 0
	for now, arriving := range demand {
		for _, i := range ends[anvilclock.Millis(now)] {
			inUse[i]--
			totalInUse--
		}
		for _, a := range arriving {
			f.offered++
			if inUse[a.instance] == simTargets {
				f.refused++
				continue
			}
			inUse[a.instance]++
			totalInUse++
			end := anvilclock.Millis(now) + a.duration
			ends[end] = append(ends[end], a.instance)
		}
		f.slotUse += float64(totalInUse)
	}
	f.slotUse /= float64(simDuration) * simTargets * simSlots
	f.maxInUse = simSlots // each instance uses at most one slot of a target
	return f
}

type fleetSimulation struct {
	simResult
	ledgers    [simInstances]*Ledger
	peers      [simInstances]*PeerSelector
	inUse      map[anvilid.TargetID]int
	totalInUse int
	events     map[anvilclock.Millis][]func()
}

func instanceName(i int) anvilid.InstanceID { return anvilid.InstanceID(rune('a' + i)) }

func instanceNumber(id anvilid.InstanceID) int { return int(id[0] - 'a') }

// shareLoad sends the load of instance i to its peers.
func (f *fleetSimulation) shareLoad(now anvilclock.Millis, i int) {
	for j := range f.peers {
		if j != i {
			f.peers[j].UpdateFreeSlots(now, instanceName(i), "s", f.ledgers[i].Free(now, "s"))
		}
	}
}

func (f *fleetSimulation) startRequest(now anvilclock.Millis, instance int, took anvilclock.Millis) bool {
	lease, ok := f.ledgers[instance].Acquire(now, "s")
	if !ok {
		return false
	}
	f.inUse[lease.Target]++
	f.totalInUse++
	f.maxInUse = max(f.maxInUse, f.inUse[lease.Target])
	f.events[now+took] = append(f.events[now+took], func() {
		f.inUse[lease.Target]--
		f.totalInUse--
		f.ledgers[instance].Release(now+took, lease)
	})
	return true
}

func (f *fleetSimulation) handleArrival(now anvilclock.Millis, a arrival) {
	f.offered++
	if f.startRequest(now, a.instance, a.duration) {
		return
	}
	to, ok := f.peers[a.instance].Pick(now, "s")
	if !ok {
		f.refused++
		return
	}
	f.events[now+simForwardDelay] = append(f.events[now+simForwardDelay], func() {
		if !f.startRequest(now+simForwardDelay, instanceNumber(to), a.duration) {
			f.refused++
		}
		free := f.ledgers[instanceNumber(to)].Free(now+simForwardDelay, "s")
		f.events[now+2*simForwardDelay] = append(f.events[now+2*simForwardDelay], func() {
			f.peers[a.instance].UpdateFreeSlots(now+2*simForwardDelay, to, "s", free)
		})
	})
}

// simulateOwned simulates the ledgers of all instances. Each instance owns its part of the targets
// and forwards a request at most once to a peer.
func simulateOwned(t *testing.T, demand [][]arrival, seed uint64) simResult {
	f := &fleetSimulation{inUse: map[anvilid.TargetID]int{}, events: map[anvilclock.Millis][]func(){}}
	for i := range f.ledgers {
		f.ledgers[i], f.peers[i] = New(), NewPeerSelector(seed+uint64(i))
	}
	name := func(k int) anvilid.TargetID { return anvilid.TargetID(fmt.Sprintf("t%02d", k)) }
	report := func(now anvilclock.Millis, k int) *anvilreport.Report {
		return &anvilreport.Report{Target: name(k), Incarnation: 1, Epoch: 1, Sequence: uint64(now) + 2, UsedSlots: anvilid.SlotCount(f.inUse[name(k)])}
	}
	for k := range simTargets {
		l := f.ledgers[k%simInstances]
		l.Own(0, name(k), 1, Limits{Service: "s", Incarnation: 1, Slots: simSlots, Connections: 64}, 0)
		assert.NilError(t, l.HandleAdoption(0, 0, name(k), 1, report(-1, k)))
	}
	for step, arriving := range demand {
		now := anvilclock.Millis(step)
		for _, do := range f.events[now] {
			do()
		}
		delete(f.events, now)
		for i := range f.ledgers {
			if now%simLoadExchangeInterval == anvilclock.Millis(i)*simLoadExchangeInterval/simInstances {
				f.shareLoad(now, i)
			}
		}
		if now%anvilclock.Second == 0 {
			for k := range simTargets {
				assert.NilError(t, f.ledgers[k%simInstances].HandleReport(now, report(now, k)))
			}
		}
		for _, a := range arriving {
			f.handleArrival(now, a)
		}
		f.simResult.slotUse += float64(f.totalInUse)
	}
	f.simResult.slotUse /= float64(simDuration) * simTargets * simSlots
	return f.simResult
}

// TestShiftingDemand compares target ownership with an equal static split of the slots while demand
// shifts between instances. It guards against more than 8 slots of a target being in use.
func TestShiftingDemand(t *testing.T) {
	t.Log("load  scheme    offered   refused  slot use   most in use")
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95, 1.2, 3} {
		demand := drawArrivals(load, 7)
		base, own := simulateStatic(demand), simulateOwned(t, demand, 7)
		t.Logf("%.2f  static   %v", load, base)
		t.Logf("%.2f  owned    %v", load, own)
		assert.Assert(t, own.maxInUse <= simSlots)
		if load >= 3 {
			assert.Assert(t, own.slotUse >= 0.95, "slot use %.3f at 3 times the capacity", own.slotUse)
		}
	}
}
