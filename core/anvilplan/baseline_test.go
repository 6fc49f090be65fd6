package anvilplan

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// baselinePlanner is a simple planner to compare Planner with: it knows no cells and takes the first
// accelerators that are free.
type baselinePlanner struct {
	free []mask // by target; eight targets form a rack, and racks are assigned to 11 zones in turn
	jobs map[anvilid.JobID][]block
}

const searchZones = 11

func newBaselinePlanner(targets int) *baselinePlanner {
	s := &baselinePlanner{free: make([]mask, targets), jobs: map[anvilid.JobID][]block{}}
	for i := range s.free {
		s.free[i] = fullMask
	}
	return s
}

// find returns blocks for a shape in the first target, rack or zone with enough free accelerators, or
// nil.
func (s *baselinePlanner) find(shape anvilconfig.Shape) []block {
	n := int(shape.Accelerators)
	if n <= workerSize {
		for t := range s.free {
			if first := cells.first[n][s.free[t]]; first != noFit {
				return []block{{int32(t), first, uint8(n)}}
			}
		}
	}
	if shape.Within == anvilconfig.WithinWorker {
		return nil
	}
	scopes, scopeOf := len(s.free)/workerSize, func(t int) int { return t / workerSize }
	if shape.Within == anvilconfig.WithinZone {
		scopes, scopeOf = searchZones, func(t int) int { return t / workerSize % searchZones }
	}
	counts := make([]int, scopes)
	for t := range s.free {
		counts[scopeOf(t)] += s.free[t].count()
	}
	for scope, count := range counts {
		if count < n {
			continue
		}
		var blocks []block
		for t := range s.free {
			for i := uint8(0); scopeOf(t) == scope && i < workerSize && n > 0; i++ {
				if s.free[t]&(1<<i) != 0 {
					blocks = append(blocks, block{int32(t), i, 1})
					n--
				}
			}
		}
		return blocks
	}
	return nil
}

func (s *baselinePlanner) place(r Request) bool {
	blocks := s.find(r.Shape)
	for _, b := range blocks {
		s.free[b.target] &^= b.mask()
	}
	s.jobs[r.Job] = blocks
	return blocks != nil
}

func (s *baselinePlanner) release(job anvilid.JobID) {
	for _, b := range s.jobs[job] {
		s.free[b.target] |= b.mask()
	}
	delete(s.jobs, job)
}

// fitsByCount reports whether the number of free accelerators is large enough for a shape: that of one
// zone for a gang within a zone, that of the whole service for any other gang.
func fitsByCount(p *Planner, shape anvilconfig.Shape) bool {
	l := p.Largest(testService)
	if shape.Within == anvilconfig.WithinZone {
		return l.Zone >= int(shape.Accelerators)
	}
	return l.Total >= int(shape.Accelerators)
}

// fitsByCount is the function of the same name for the baseline.
func (s *baselinePlanner) fitsByCount(shape anvilconfig.Shape) bool {
	total := 0
	zones := [searchZones]int{}
	for t, m := range s.free {
		total += m.count()
		zones[t/workerSize%searchZones] += m.count()
	}
	if shape.Within != anvilconfig.WithinZone {
		return total >= int(shape.Accelerators)
	}
	for _, count := range zones {
		if count >= int(shape.Accelerators) {
			return true
		}
	}
	return false
}

// jobEnd is the time at which a placed job ends.
type jobEnd struct {
	at  float64
	job anvilid.JobID
}

// jobEndHeap is a heap of job ends, the earliest one first.
type jobEndHeap []jobEnd

func (e jobEndHeap) Len() int           { return len(e) }
func (e jobEndHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e jobEndHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *jobEndHeap) Push(x any)        { *e = append(*e, x.(jobEnd)) }
func (e *jobEndHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// share counts the gangs of one shape for which enough accelerators were free (fit), and how many of
// these were placed.
type share struct{ fit, placed int }

func (s share) percent() float64 { return 100 * float64(s.placed) / float64(max(1, s.fit)) }

// simulate offers the same random sequence of gangs to any planner: 70% of them have one to four
// accelerators, their run times have a long tail, and none is preempted. It returns the share of each
// shape that was placed and the mean time for one placement.
func simulate(targets, arrivals int, load float64, place func(Request) bool, fits func(anvilconfig.Shape) bool, release func(anvilid.JobID)) (map[anvilconfig.Shape]share, time.Duration) {
	random := rand.New(rand.NewPCG(11, 0))
	shapes := []struct {
		shape  anvilconfig.Shape
		weight int
	}{{single, 50}, {anvilconfig.Shape{Accelerators: 2, Within: anvilconfig.WithinWorker}, 10}, {anvilconfig.Shape{Accelerators: 4, Within: anvilconfig.WithinWorker}, 10}, {eight, 24}, {rackGang, 3}, {zoneGang, 3}}
	meanSize := 0.0
	for _, s := range shapes {
		meanSize += float64(s.weight) / 100 * float64(s.shape.Accelerators)
	}
	gap := meanSize / (load * float64(targets) * 8)
	shares := map[anvilconfig.Shape]share{}
	var queue jobEndHeap
	now := 0.0
	var spent time.Duration
	for i := range arrivals {
		now += random.ExpFloat64() * gap
		for len(queue) > 0 && queue[0].at <= now {
			release(heap.Pop(&queue).(jobEnd).job)
		}
		pick, shape := random.IntN(100), single
		for _, s := range shapes {
			if pick -= s.weight; pick < 0 {
				shape = s.shape
				break
			}
		}
		span := random.ExpFloat64() * 0.8
		if random.IntN(50) == 0 {
			span *= 11 // 2% of the jobs run 11 times as long; the mean of all stays near 1
		}
		r := Request{Job: anvilid.JobID(fmt.Sprintf("j%d", i)), Account: "a0", Service: testService, Shape: shape, Preemptible: true}
		s, fit := shares[shape], fits(shape)
		start := time.Now()
		placed := place(r)
		spent += time.Since(start)
		if placed {
			heap.Push(&queue, jobEnd{now + span, r.Job})
		}
		if fit && i > arrivals/4 {
			s.fit++
			if placed {
				s.placed++
			}
		}
		shares[shape] = s
	}
	return shares, spent / time.Duration(arrivals)
}

// Guards against small gangs that are scattered over many targets and racks, so that large gangs no
// longer fit. It compares Planner with baselinePlanner; -v prints the figures.
func TestCellsKeepRoomForGangs(t *testing.T) {
	const targets, arrivals = 480, 30_000
	for _, load := range []float64{0.7, 0.9, 1.2} {
		p := New()
		addTargets(p, targets)
		byCells, cellCost := simulate(targets, arrivals, load, func(r Request) bool {
			_, err := p.Place(0, r)
			return err == nil
		}, func(s anvilconfig.Shape) bool { return fitsByCount(p, s) }, func(j anvilid.JobID) { p.Release(j) })
		s := newBaselinePlanner(targets)
		bySearch, searchCost := simulate(targets, arrivals, load, s.place, s.fitsByCount, s.release)
		var all share
		var cellSum, searchSum int // accelerators of the gangs that were placed
		for _, shape := range []anvilconfig.Shape{eight, rackGang, zoneGang} {
			c, b := byCells[shape], bySearch[shape]
			all = share{all.fit + c.fit, all.placed + c.placed}
			t.Logf("load %.1f, %d within %s: cells placed %.2f%% of %d that fit by count (%v each), baseline %.2f%% of %d (%v each)",
				load, shape.Accelerators, shape.Within, c.percent(), c.fit, cellCost, b.percent(), b.fit, searchCost)
			cellSum += c.placed * int(shape.Accelerators)
			searchSum += b.placed * int(shape.Accelerators)
			if c.percent() < min(b.percent(), 95) {
				t.Errorf("cells place fewer gangs of %+v than the baseline and less than the goal of 95%%", shape)
			}
		}
		if cellSum < searchSum {
			t.Errorf("cells place gangs of %d accelerators in all, the baseline of %d", cellSum, searchSum)
		}
		t.Logf("load %.1f, all gangs of 8 and 64: cells placed %.2f%%", load, all.percent())
		if all.percent() < 95 {
			t.Errorf("cells place %.2f%% of the gangs of 8 and 64 that fit by count, want 95%%", all.percent())
		}
	}
}

// Guards against guaranteed gangs that preempt borrowers with much more work to lose than necessary.
// The test compares each placement with the cheapest of all targets. It leaves out targets with a
// guaranteed gang or with a part of a reservation for 64 accelerators, because such a reservation
// might not fit elsewhere. -v prints the figures.
func TestReclaimLosesLittleWork(t *testing.T) {
	f := newFleet(480, 8)
	f.fill()
	var lost, least int64
	var cost, searchCost time.Duration
	reclaims, victims := 0, 0
	for i := range 60 {
		r := f.request(eight, i%8)
		start := time.Now()
		best := int64(-1)
		for target := range f.p.targets {
			blocks := []block{{int32(target), 0, workerSize}}
			guaranteed := false
			for _, g := range f.p.holders(blocks[0]) {
				guaranteed = guaranteed || g != none && f.p.gangs[g].unit != none
			}
			for _, u := range f.p.reservedUnits(blocks[0]) {
				guaranteed = guaranteed || u != none && f.p.poolOf(u).shape == rackGang
			}
			if c := f.p.cost(f.now, blocks); !guaranteed && (best < 0 || c < best) {
				best = c
			}
		}
		searchCost += time.Since(start)
		before := map[anvilid.JobID]int64{}
		for job, g := range f.p.gangByJob {
			before[job] = f.p.lostWork(f.now, g)
		}
		start = time.Now()
		placement, err := f.p.Place(f.now, r)
		cost += time.Since(start)
		if err != nil {
			break // all guarantees of the account are in use
		}
		reclaims++
		least += best
		victims += len(placement.Victims)
		for _, v := range placement.Victims {
			lost += before[v]
			f.p.Release(v)
		}
		f.fill()
	}
	ratio := float64(lost) / float64(least)
	t.Logf("%d reclaims, %d victims: %.2f times the least possible work lost; %v each, search %v each",
		reclaims, victims, ratio, cost/time.Duration(reclaims), searchCost/time.Duration(reclaims))
	if victims == 0 || ratio > 2 {
		t.Errorf("reclaims lose %.2f times the least possible work with %d victims", ratio, victims)
	}
}
