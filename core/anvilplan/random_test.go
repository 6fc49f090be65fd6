package anvilplan

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

var (
	walkSteps = flag.Int("walksteps", 30_000, "steps of TestLongWalk")
	walkSeed  = flag.Uint64("walkseed", 1, "seed of TestLongWalk")
)

// accelerator is one accelerator of a target.
type accelerator struct {
	target anvilid.TargetID
	number int
}

// modelGang is a placed gang with the state that the planner should have for it.
type modelGang struct {
	request    Request
	members    []Member
	guaranteed bool
	started    bool // may run, because all gangs that it waited for were released
	ending     bool
}

// model keeps the state that a planner should have after the calls so far, and checks the result of
// each call against it.
type model struct {
	t       interface{ Fatalf(string, ...any) }
	draw    func(n int) int
	p       *Planner
	now     anvilclock.Millis
	next    int
	targets map[anvilid.TargetID]Target
	cordon  map[anvilid.TargetID]bool
	gangs   map[anvilid.JobID]*modelGang
	jobs    []anvilid.JobID
	quota   map[Guarantee]int // number of guaranteed gangs; the keys have Count 0
	unmet   int
}

const testService anvilid.ServiceName = "planner"

var testShapes = []anvilconfig.Shape{
	{Accelerators: 1, Within: anvilconfig.WithinWorker},
	{Accelerators: 2, Within: anvilconfig.WithinWorker},
	{Accelerators: 3, Within: anvilconfig.WithinWorker},
	{Accelerators: 4, Within: anvilconfig.WithinWorker},
	{Accelerators: 8, Within: anvilconfig.WithinWorker},
	{Accelerators: 12, Within: anvilconfig.WithinRack},
	{Accelerators: 16, Within: anvilconfig.WithinRack},
	{Accelerators: 4, Within: anvilconfig.WithinZone},
	{Accelerators: 33, Within: anvilconfig.WithinZone},
}

func newModel(t interface{ Fatalf(string, ...any) }, draw func(int) int) *model {
	m := &model{
		t: t, draw: draw, p: New(), targets: map[anvilid.TargetID]Target{}, cordon: map[anvilid.TargetID]bool{},
		gangs: map[anvilid.JobID]*modelGang{}, quota: map[Guarantee]int{},
	}
	for i := range 18 {
		m.addTarget(i)
	}
	return m
}

// addTarget adds target i of a fixed inventory: two zones of three racks of three targets, some of
// them with 6, 5 or 0 accelerators.
func (m *model) addTarget(i int) {
	sizes := []anvilid.AcceleratorCount{8, 8, 8, 6, 8, 8, 5, 8, 0}
	t := Target{
		ID: anvilid.TargetID(fmt.Sprintf("t%02d", i)), Service: testService, Region: "west",
		Zone: anvilid.ZoneName(fmt.Sprintf("z%d", i/9)), Rack: anvilid.RackName(fmt.Sprintf("r%d", i/3)), Accelerators: sizes[i%9],
	}
	unmet, err := m.p.AddTarget(t)
	if err != nil {
		m.t.Fatalf("AddTarget(%+v): %v", t, err)
	}
	m.targets[t.ID] = t
	delete(m.cordon, t.ID)
	m.setUnmet(unmet)
}

func (m *model) setUnmet(list []Unmet) {
	m.unmet = 0
	for _, u := range list {
		m.unmet += u.Count
	}
}

// step performs one random operation and checks the whole state.
func (m *model) step() {
	m.now += anvilclock.Millis(m.draw(1000))
	switch choice := m.draw(100); {
	case choice < 55:
		m.place()
	case choice < 90:
		m.release()
	case choice < 93:
		m.p.Checkpoint(m.now, m.pick())
	case choice < 95:
		m.addTarget(m.draw(18))
	case choice < 97:
		m.remove()
	case choice < 98:
		id := m.pickTarget()
		unmet := m.p.Cordon(id)
		if _, known := m.targets[id]; known {
			m.cordon[id] = true
			m.setUnmet(unmet)
		}
	case choice < 99:
		m.setGuarantees()
	default:
		m.setUnmet(m.p.Repair())
	}
	m.check()
}

func (m *model) pick() anvilid.JobID {
	if len(m.jobs) == 0 {
		return "none"
	}
	return m.jobs[m.draw(len(m.jobs))]
}

func (m *model) pickTarget() anvilid.TargetID {
	return anvilid.TargetID(fmt.Sprintf("t%02d", m.draw(18)))
}

func (m *model) setGuarantees() {
	var list []Guarantee
	clear(m.quota)
	for range m.draw(6) {
		g := Guarantee{anvilid.AccountID(fmt.Sprintf("a%d", m.draw(3))), testService, testShapes[m.draw(len(testShapes))], 0}
		n := 1 + m.draw(3)
		m.quota[g] += n
		g.Count = n
		list = append(list, g)
	}
	unmet, err := m.p.SetGuarantees(list)
	if err != nil {
		m.t.Fatalf("SetGuarantees(%+v): %v", list, err)
	}
	m.setUnmet(unmet)
}

func accelerators(members []Member, visit func(accelerator)) {
	for _, member := range members {
		for i := range member.Count {
			visit(accelerator{member.Target, member.First + i})
		}
	}
}

func (m *model) place() {
	r := Request{
		Job: anvilid.JobID(fmt.Sprintf("j%d", m.next)), Account: anvilid.AccountID(fmt.Sprintf("a%d", m.draw(3))), Service: testService,
		Shape: testShapes[m.draw(len(testShapes))], Preemptible: m.draw(4) > 0,
	}
	m.next++
	idle := m.idleUnits(r)
	before := m.fits(r.Shape)
	placement, err := m.p.Place(m.now, r)
	switch {
	case err != nil && idle > 0:
		m.t.Fatalf("%+v within a guarantee was refused: %v", r, err)
	case err != nil && !r.Preemptible:
		if !errors.Is(err, ErrNotPreemptible) {
			m.t.Fatalf("%+v was refused for the wrong reason: %v", r, err)
		}
		return
	case err != nil:
		if before {
			m.t.Fatalf("%+v fits but was refused: %v", r, err)
		}
		return
	case placement.Guaranteed != (idle > 0):
		m.t.Fatalf("%+v has %d idle units, but guaranteed is %t", r, idle, placement.Guaranteed)
	case !placement.Guaranteed && (!r.Preemptible || len(placement.Victims) > 0 || len(placement.Waits) > 0):
		m.t.Fatalf("%+v borrows without being preemptible, or preempts: %+v", r, placement)
	}
	m.checkShape(r.Shape, placement.Members)
	m.checkVictims(placement)
	for _, v := range placement.Victims {
		m.gangs[v].ending = true
	}
	m.gangs[r.Job] = &modelGang{request: r, members: placement.Members, guaranteed: placement.Guaranteed, started: len(placement.Waits) == 0}
	m.jobs = append(m.jobs, r.Job)
}

// idleUnits counts the reservations without a job that a request could use.
func (m *model) idleUnits(r Request) int {
	n := 0
	for _, reservation := range m.p.Reservations() {
		if reservation.Account == r.Account && reservation.Job == "" && len(reservation.Members) > 0 && reservation.Shape.Accelerators == r.Shape.Accelerators &&
			extentRank(reservation.Shape.Within) <= extentRank(r.Shape.Within) {
			n++
		}
	}
	return n
}

// fits reports, by an exhaustive search, whether a shape fits without preemption.
func (m *model) fits(shape anvilconfig.Shape) bool {
	held := m.held()
	n := int(shape.Accelerators)
	racks, zones := map[string]int{}, map[string]int{}
	for id, t := range m.targets {
		if m.cordon[id] {
			continue
		}
		for first := 0; first < int(t.Accelerators); first++ {
			if held[accelerator{id, first}] == "" {
				racks[string(t.Zone)+"/"+string(t.Rack)]++
				zones[string(t.Zone)]++
			}
			run := 0
			for run < n && first+run < int(t.Accelerators) && held[accelerator{id, first + run}] == "" {
				run++
			}
			if run == n && first%cellSize(n) == 0 {
				return true
			}
		}
	}
	scope := map[anvilconfig.Extent]map[string]int{anvilconfig.WithinRack: racks, anvilconfig.WithinZone: zones}[shape.Within]
	for _, count := range scope {
		if count >= n {
			return true
		}
	}
	return false
}

// held returns the job of each accelerator that belongs to a gang that isn't released yet.
func (m *model) held() map[accelerator]anvilid.JobID {
	held := map[accelerator]anvilid.JobID{}
	for _, job := range m.jobs {
		accelerators(m.gangs[job].members, func(a accelerator) { held[a] = job })
	}
	return held
}

// checkShape fails if members aren't exactly one whole gang of the shape.
func (m *model) checkShape(shape anvilconfig.Shape, members []Member) {
	total := 0
	racks, zones, ids := map[string]bool{}, map[string]bool{}, map[anvilid.TargetID]bool{}
	for _, member := range members {
		t, known := m.targets[member.Target]
		if !known || member.First+member.Count > int(t.Accelerators) || member.First%cellSize(member.Count) != 0 {
			m.t.Fatalf("member %+v is on unknown accelerators or not aligned", member)
		}
		total += member.Count
		ids[t.ID], racks[string(t.Zone)+"/"+string(t.Rack)], zones[string(t.Zone)] = true, true, true
	}
	apart := map[anvilconfig.Extent]int{anvilconfig.WithinWorker: len(ids), anvilconfig.WithinRack: len(racks), anvilconfig.WithinZone: len(zones)}[shape.Within]
	if total != int(shape.Accelerators) || apart != 1 {
		m.t.Fatalf("gang is placed partially: shape %+v, members %+v", shape, members)
	}
}

// checkVictims fails unless Placement.Waits has exactly the gangs whose accelerators overlap with the
// placement, and Placement.Victims exactly those of them that weren't already ending.
func (m *model) checkVictims(placement Placement) {
	needed := map[accelerator]bool{}
	accelerators(placement.Members, func(a accelerator) { needed[a] = true })
	var waits, victims []anvilid.JobID
	for _, job := range m.jobs {
		g := m.gangs[job]
		overlaps := false
		accelerators(g.members, func(a accelerator) { overlaps = overlaps || needed[a] })
		if !overlaps {
			continue
		}
		waits = append(waits, job)
		if !g.ending {
			victims = append(victims, job)
			if g.guaranteed {
				m.t.Fatalf("guaranteed gang %s is preempted by %s", job, placement.Job)
			}
		}
	}
	sorted := func(jobs []anvilid.JobID) []anvilid.JobID { return slices.Sorted(slices.Values(jobs)) }
	if !slices.Equal(sorted(victims), sorted(placement.Victims)) || !slices.Equal(sorted(waits), sorted(placement.Waits)) {
		m.t.Fatalf("placement %+v overlaps with %v, of which %v ran", placement, waits, victims)
	}
}

func (m *model) release() {
	job := m.pick()
	released, known := m.p.Release(job)
	if _, want := m.gangs[job]; known != want {
		m.t.Fatalf("Release(%s) knows the job: %t, want %t", job, known, want)
	}
	delete(m.gangs, job)
	m.jobs = slices.DeleteFunc(m.jobs, func(j anvilid.JobID) bool { return j == job })
	if known {
		m.setUnmet(released.Unmet)
	}
	for _, j := range released.Ready {
		if m.gangs[j].started || !m.p.Ready(j) {
			m.t.Fatalf("Release(%s) reports %s as ready wrongly", job, j)
		}
		m.gangs[j].started = true
	}
}

func (m *model) remove() {
	id := m.pickTarget()
	loss := m.p.RemoveTarget(id)
	if _, known := m.targets[id]; known {
		m.setUnmet(loss.Unmet)
	}
	delete(m.targets, id)
	delete(m.cordon, id)
	var lost []anvilid.JobID
	for _, job := range m.jobs {
		g := m.gangs[job]
		rest := slices.DeleteFunc(slices.Clone(g.members), func(x Member) bool { return x.Target == id })
		if len(rest) < len(g.members) {
			if !g.ending {
				lost = append(lost, job)
			}
			g.ending, g.members = true, rest
		}
	}
	slices.Sort(loss.Gangs)
	if slices.Sort(lost); !slices.Equal(loss.Gangs, lost) {
		m.t.Fatalf("RemoveTarget(%s) reports the loss of %v, want %v", id, loss.Gangs, lost)
	}
}

// check checks the whole state after a step.
func (m *model) check() {
	running, owned := map[accelerator]anvilid.JobID{}, map[accelerator]anvilid.JobID{}
	for _, job := range m.jobs {
		g := m.gangs[job]
		if m.p.Ready(job) != (g.started && !g.ending) {
			m.t.Fatalf("job %s: ready is %t, started %t, ending %t", job, m.p.Ready(job), g.started, g.ending)
		}
		accelerators(g.members, func(a accelerator) {
			if g.started && running[a] != "" {
				m.t.Fatalf("accelerator %v runs %s and %s", a, running[a], job)
			}
			if !g.ending && owned[a] != "" {
				m.t.Fatalf("accelerator %v is given to %s and %s", a, owned[a], job)
			}
			if g.started {
				running[a] = job
			}
			if !g.ending {
				owned[a] = job
			}
		})
	}
	m.checkReservations(owned)
	free := 0
	for id, t := range m.targets {
		if !m.cordon[id] {
			free += int(t.Accelerators)
		}
	}
	for a := range m.held() {
		if !m.cordon[a.target] {
			free--
		}
	}
	if got := m.p.Largest(testService).Total; got != free {
		m.t.Fatalf("%d accelerators are free, want %d", got, free)
	}
}

// checkReservations fails unless all guaranteed gangs that aren't reported as unmet can be placed
// at the same time by preempting only borrowers.
func (m *model) checkReservations(owned map[accelerator]anvilid.JobID) {
	reserved := map[accelerator]bool{}
	counts := map[Guarantee]int{}
	unmet := 0
	for _, reservation := range m.p.Reservations() {
		counts[Guarantee{reservation.Account, reservation.Service, reservation.Shape, 0}]++
		if len(reservation.Members) == 0 {
			unmet++
			continue
		}
		m.checkShape(reservation.Shape, reservation.Members)
		if reservation.Job != "" && !slices.Equal(reservation.Members, m.gangs[reservation.Job].members) {
			m.t.Fatalf("reservation %+v is in use but is not where its job runs", reservation)
		}
		accelerators(reservation.Members, func(a accelerator) {
			if reserved[a] {
				m.t.Fatalf("accelerator %v is reserved twice", a)
			}
			reserved[a] = true
			if reservation.Job == "" && m.cordon[a.target] {
				m.t.Fatalf("accelerator %v is reserved on a cordoned target", a)
			}
			if job := owned[a]; job != "" && job != reservation.Job && m.gangs[job].guaranteed {
				m.t.Fatalf("guaranteed gang %s runs on the reservation %+v", job, reservation)
			}
		})
	}
	for g, count := range m.quota {
		if counts[g] < count {
			m.t.Fatalf("%d gangs of %+v are reserved or unmet, want %d", counts[g], g, count)
		}
	}
	if unmet > m.unmet {
		m.t.Fatalf("%d guaranteed gangs have no reservation, but only %d were reported as unmet", unmet, m.unmet)
	}
}

// Guards against any sequence of operations that gives an accelerator to two gangs, places a gang
// partially, lends reserved accelerators to a gang that can't be preempted, preempts the wrong gangs,
// or drops a reservation without reporting it.
func TestRandomOperations(t *testing.T) {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") })
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			m.step()
		}
	})
}

// Guards against the same faults as TestRandomOperations, where they need a long sequence of
// operations.
func TestLongWalk(t *testing.T) {
	random := rand.New(rand.NewPCG(*walkSeed, 0))
	m := newModel(t, random.IntN)
	for range *walkSteps {
		m.step()
	}
}
