package anvilproof_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilstate"
)

// mechanism names a part of the protocols that a schedule can run without.
// The names follow the invariant that each of them protects.
type mechanism string

const (
	complete         mechanism = ""
	granterMargin    mechanism = "the granter's margin for clock rates"
	closeFirst       mechanism = "Granter.Close before an expiry is proposed"
	leaderWait       mechanism = "the wait of a new leader for one lease"
	deltaFirst       mechanism = "applying the delta before the lease is extended"
	staleDelta       mechanism = "ignoring a delta that is older than the view"
	releaseFirst     mechanism = "an owner's stop before it releases a target"
	baseCompared     mechanism = "the compare-and-set on the revision"
	syncFirst        mechanism = "the sync of a log entry before it is acknowledged"
	readBarrier      mechanism = "the barrier before a read"
	lateGrantIgnored mechanism = "ignoring a grant that arrives after giving up"
)

// Invariants that a schedule checks.
const (
	inForce       = "a change reported in force is in force wherever requests are admitted"
	neverBack     = "the revision under which an instance admits never goes backwards"
	neverLost     = "an accepted change is never lost"
	oneOwner      = "no two instances with a valid lease own one target"
	oneRun        = "a request that may not be repeated runs at most once"
	trueNotRun    = "a request that is reported as not run has not run"
	linearizable  = "changes and claims are linearizable"
	noPanic       = "no step panics"
	fullyRecovers = "the system recovers when the faults end"
)

// violation is the first broken invariant of a schedule.
type violation struct {
	invariant string
	detail    string
	at        anvilclock.Millis
}

func (v *violation) String() string {
	if v == nil {
		return "none"
	}
	return fmt.Sprintf("%q at %d ms: %s", v.invariant, v.at, v.detail)
}

// Times of the control protocol, as in section 3 of the design page.
const (
	leaseSpan  = 900 * anvilclock.Millisecond
	renewHold  = 300 * anvilclock.Millisecond
	callSpan   = 400 * anvilclock.Millisecond
	expirySpan = 25 * anvilclock.Millisecond
)

const (
	processCount = 4
	voterCount   = 3
	targetCount  = 5
	millisecond  = int64(1000)
	second       = 1000 * millisecond
)

// world holds the processes, the network between them and the clients. Time
// is true time in microseconds; each process sees it through its own clock.
type world struct {
	random    *rand.Rand
	without   mechanism
	now       int64
	processes []*process
	operators []*operator
	network   packets
	sequence  uint64
	cut       map[[2]int]bool // by sender and receiver
	faults    []*fault
	calm      bool     // no faults
	quiet     bool     // no new work
	lost      *process // its disk was lost and it isn't a voter again
	broken    *violation

	everywhere anvilid.Revision // the highest one reported in force everywhere
	admitted   map[anvilid.InstanceID]anvilid.Revision
	published  map[anvilid.Revision]anvilid.ChangeID
	accepted   map[anvilid.Revision]anvilid.ChangeID
	requests   []*caller
	history    history
	counts     counts
}

// counts shows that a schedule was worth running.
type counts struct {
	changes, runs, elections, disks, expiries, restores, undecided int
}

// packet is a message under way. run is the run of the receiver that it is
// meant for, or zero for any.
type packet struct {
	due      int64
	order    uint64
	from, to int
	run      anvilid.Incarnation
	body     any
}

type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	return p[i].due < p[j].due || p[i].due == p[j].due && p[i].order < p[j].order
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}

func newWorld(seed uint64, without mechanism) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)), without: without, cut: map[[2]int]bool{},
		admitted:  map[anvilid.InstanceID]anvilid.Revision{},
		published: map[anvilid.Revision]anvilid.ChangeID{},
		accepted:  map[anvilid.Revision]anvilid.ChangeID{},
	}
	var ids []anvilraft.VoterID
	for i := range processCount {
		p := &process{world: w, number: i, id: anvilid.InstanceID(fmt.Sprint("i", i+1)), seed: seed}
		if i < voterCount {
			p.disk = &anvilraft.PersistentState{Storage: "s"}
			ids = append(ids, anvilraft.VoterID{Instance: p.id, Storage: "s"})
		}
		w.processes = append(w.processes, p)
	}
	for _, p := range w.processes {
		if p.disk != nil {
			p.disk.Apply(anvilraft.Bootstrap(7, ids...))
		}
		p.start()
	}
	for i := range 2 {
		w.operators = append(w.operators, newOperator(w, processCount+i))
	}
	return w
}

func (w *world) violate(invariant, format string, args ...any) {
	if w.broken == nil {
		w.broken = &violation{invariant, fmt.Sprintf(format, args...), anvilclock.Millis(w.now / millisecond)}
	}
}

func (w *world) next() uint64 {
	w.sequence++
	return w.sequence
}

// chance is true as often per second of true time, if asked every millisecond.
func (w *world) chance(perSecond float64) bool { return w.random.Float64() < perSecond/1000 }

// send puts a message on the network, which may lose, delay or double it.
func (w *world) send(from, to int, run anvilid.Incarnation, body any) {
	copies := 1
	if !w.calm {
		switch p := w.random.Float64(); {
		case p < 0.03:
			return
		case p < 0.06:
			copies = 2
		}
	}
	for range copies {
		delay := 200 + w.random.Int64N(4000)
		if !w.calm && w.random.Float64() < 0.04 {
			delay = w.random.Int64N(500_000)
		}
		if from < processCount {
			delay += w.processes[from].slow
		}
		heap.Push(&w.network, packet{w.now + delay, w.next(), from, to, run, body})
	}
}

// deliver hands over what is due.
func (w *world) deliver() {
	for len(w.network) > 0 && w.network[0].due <= w.now {
		p := heap.Pop(&w.network).(packet)
		if p.to >= processCount {
			w.operators[p.to-processCount].receive(p.body)
			continue
		}
		to := w.processes[p.to]
		switch {
		case w.cut[[2]int{p.from, p.to}] || !to.up || p.run != 0 && p.run != to.run:
		case to.frozen:
			to.stalled = append(to.stalled, p)
		default:
			to.receive(p)
		}
	}
}

// run lets time pass, one millisecond after the other.
func (w *world) runFor(span int64) {
	defer func() {
		if r := recover(); r != nil {
			w.violate(noPanic, "%v", r)
		}
	}()
	for until := w.now + span; w.now < until && w.broken == nil; {
		w.now += millisecond
		w.deliver()
		if !w.calm {
			w.disturb()
		}
		for _, p := range w.processes {
			if p.up && !p.frozen {
				p.pass()
			}
		}
		w.repair()
		for _, o := range w.operators {
			o.pass()
		}
		w.call()
		w.check()
	}
}

// check looks at every process as if it admitted a request and dispatched to
// each of its targets now. A frozen process may do so when it wakes.
func (w *world) check() {
	owners := map[anvilid.TargetID]anvilid.InstanceID{}
	for _, p := range w.processes {
		if !p.up || !p.lease.Valid(p.clock()) {
			continue
		}
		revision := p.view.Config.Revision
		if revision < w.everywhere {
			w.violate(inForce, "%s admits under revision %d, but %d was reported in force", p.id, revision, w.everywhere)
		}
		if revision < w.admitted[p.id] {
			w.violate(neverBack, "%s admits under revision %d after %d", p.id, revision, w.admitted[p.id])
		}
		w.admitted[p.id] = max(revision, w.admitted[p.id])
		for _, target := range p.targets {
			if !p.owns(target) {
				continue
			}
			if other, ok := owners[target.ID]; ok {
				w.violate(oneOwner, "%s and %s own %s", other, p.id, target.ID)
			}
			owners[target.ID] = p.id
		}
	}
}

// applied compares a change that a replica has applied with what others
// applied and what operators were told.
func (w *world) applied(p *process, change anvilid.ChangeID, result anvilstate.Result) {
	if result.Code != "" {
		return
	}
	if first, ok := w.published[result.Revision]; ok && first != change {
		w.violate(neverLost, "%s applies %s as revision %d, elsewhere that was %s", p.id, change, result.Revision, first)
	}
	w.published[result.Revision] = change
	if told, ok := w.accepted[result.Revision]; ok && told != change {
		w.violate(neverLost, "%s applies %s as revision %d, the operator was told %s", p.id, change, result.Revision, told)
	}
}

// accept notes a change that an operator was told of.
func (w *world) accept(change anvilid.ChangeID, revision anvilid.Revision) {
	if told, ok := w.accepted[revision]; ok && told != change {
		w.violate(neverLost, "%s and %s were both accepted as revision %d", told, change, revision)
	}
	w.accepted[revision] = change
	w.counts.changes++
}
