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

// mechanism names a part of the protocols that a schedule can disable.
// TestEachMechanismIsNeeded lists the invariants that each of them protects.
type mechanism string

const (
	noneDisabled       mechanism = ""
	granterMargin      mechanism = "the granter's margin for clock rates"
	refuseBeforeExpiry mechanism = "Granter.RefuseRenewals before an expiry is proposed"
	newLeaderWait      mechanism = "the wait of a new leader for one lease"
	deltaBeforeLease   mechanism = "applying the delta before the lease is extended"
	staleDeltaIgnored  mechanism = "ignoring a delta that is older than the view"
	stopBeforeRelease  mechanism = "an owner's stop before it releases a target"
	compareAndSet      mechanism = "the compare-and-set on the revision"
	syncBeforeAck      mechanism = "the sync of a log entry before it is acknowledged"
	readBarrier        mechanism = "the barrier before a read"
	lateGrantIgnored   mechanism = "ignoring the grant of a claim that arrives after its attempt was abandoned"
)

// Invariants that are checked in every schedule.
const (
	inForceEverywhere      = "a change reported in force is in force wherever requests are admitted"
	revisionNeverDecreases = "the revision under which an instance admits never goes backwards"
	changeNeverLost        = "an accepted change is never lost"
	oneOwnerPerTarget      = "no two instances with a valid lease own one target"
	runsAtMostOnce         = "a request that may not be repeated runs at most once"
	notRunIsTrue           = "a request that is reported as not run has not run"
	linearizable           = "changes and claims are linearizable"
	noPanic                = "no step panics"
	recoversFully          = "the system recovers when the faults end"
)

// violation is the first violated invariant of a schedule.
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

// Times of the control protocol, as in section 3 of the design page (docs/design.md).
const (
	leaseDuration       = 900 * anvilclock.Millisecond
	renewalHold         = 300 * anvilclock.Millisecond // how long the leader delays an answer without changes
	callTimeout         = 400 * anvilclock.Millisecond // how long an instance waits for that answer beyond renewalHold
	expiryCheckInterval = 25 * anvilclock.Millisecond  // between the leader's checks for expired sessions
)

const (
	processCount = 4
	voterCount   = 3
	targetCount  = 5
	millisecond  = int64(1000)
	second       = 1000 * millisecond
)

// world contains the processes, the network between them and the clients. Its times are
// simulated true time in microseconds; each process reads them through its own clock.
type world struct {
	random         *rand.Rand
	disabled       mechanism
	now            int64
	processes      []*process
	operators      []*operator
	network        packets
	lastNumber     uint64
	cut            map[[2]int]bool // dropped links, by sender and receiver
	faults         []*fault
	faultsOff      bool     // no faults are injected
	noNewWork      bool     // clients start no new operations
	lostDisk       *process // a voter that lost its disk and isn't a voter again yet
	firstViolation *violation

	reportedInForce  anvilid.Revision // highest revision reported as in force everywhere
	admittedRevision map[anvilid.InstanceID]anvilid.Revision
	appliedChanges   map[anvilid.Revision]anvilid.ChangeID
	acceptedChanges  map[anvilid.Revision]anvilid.ChangeID
	requests         []*caller
	history          history
	counts           counts
}

// counts counts the events of a schedule, because a schedule in which little happened proves
// little.
type counts struct {
	changes, runs, elections, disks, expiries, restores, undecided int
}

// packet is a message in transit. Only the given run of the receiving process gets it, or any
// run if run is zero.
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

func newWorld(seed uint64, disabled mechanism) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)), disabled: disabled, cut: map[[2]int]bool{},
		admittedRevision: map[anvilid.InstanceID]anvilid.Revision{},
		appliedChanges:   map[anvilid.Revision]anvilid.ChangeID{},
		acceptedChanges:  map[anvilid.Revision]anvilid.ChangeID{},
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
	if w.firstViolation == nil {
		w.firstViolation = &violation{invariant, fmt.Sprintf(format, args...), anvilclock.Millis(w.now / millisecond)}
	}
}

func (w *world) nextNumber() uint64 {
	w.lastNumber++
	return w.lastNumber
}

// chance returns true at random, on average perSecond times per second of simulated time if it
// is called every millisecond.
func (w *world) chance(perSecond float64) bool { return w.random.Float64() < perSecond/1000 }

// send puts a message on the network, which may lose, delay or duplicate it.
func (w *world) send(from, to int, run anvilid.Incarnation, body any) {
	copies := 1
	if !w.faultsOff {
		switch p := w.random.Float64(); {
		case p < 0.03:
			return
		case p < 0.06:
			copies = 2
		}
	}
	for range copies {
		delay := 200 + w.random.Int64N(4000)
		if !w.faultsOff && w.random.Float64() < 0.04 {
			delay = w.random.Int64N(500_000)
		}
		if from < processCount {
			delay += w.processes[from].sendDelay
		}
		heap.Push(&w.network, packet{w.now + delay, w.nextNumber(), from, to, run, body})
	}
}

// deliver delivers the messages that are due.
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
			to.undelivered = append(to.undelivered, p)
		default:
			to.receive(p)
		}
	}
}

// runFor advances the time by span, in steps of one millisecond, until an invariant is
// violated.
func (w *world) runFor(span int64) {
	defer func() {
		if r := recover(); r != nil {
			w.violate(noPanic, "%v", r)
		}
	}()
	for until := w.now + span; w.now < until && w.firstViolation == nil; {
		w.now += millisecond
		w.deliver()
		if !w.faultsOff {
			w.injectFaults()
		}
		for _, p := range w.processes {
			if p.up && !p.frozen {
				p.advance()
			}
		}
		w.replaceLostVoter()
		for _, o := range w.operators {
			o.advance()
		}
		w.sendRequests()
		w.check()
	}
}

// check treats every process as if it admitted a request and dispatched to each of its
// targets now. That includes a frozen process, which may do so as soon as it continues.
func (w *world) check() {
	owners := map[anvilid.TargetID]anvilid.InstanceID{}
	for _, p := range w.processes {
		if !p.up || !p.lease.Valid(p.clock()) {
			continue
		}
		revision := p.view.Config.Revision
		if revision < w.reportedInForce {
			w.violate(inForceEverywhere, "%s admits under revision %d, but %d was reported in force",
				p.id, revision, w.reportedInForce)
		}
		if revision < w.admittedRevision[p.id] {
			w.violate(revisionNeverDecreases, "%s admits under revision %d after %d", p.id, revision, w.admittedRevision[p.id])
		}
		w.admittedRevision[p.id] = max(revision, w.admittedRevision[p.id])
		for _, target := range p.targets {
			if !p.owns(target) {
				continue
			}
			if other, ok := owners[target.ID]; ok {
				w.violate(oneOwnerPerTarget, "%s and %s own %s", other, p.id, target.ID)
			}
			owners[target.ID] = p.id
		}
	}
}

// checkApplied compares a change that a replica has applied with what other replicas have
// applied and with what operators were told.
func (w *world) checkApplied(p *process, change anvilid.ChangeID, result anvilstate.Result) {
	if result.Code != "" {
		return
	}
	if first, ok := w.appliedChanges[result.Revision]; ok && first != change {
		w.violate(changeNeverLost, "%s applies %s as revision %d, elsewhere that was %s", p.id, change, result.Revision, first)
	}
	w.appliedChanges[result.Revision] = change
	if told, ok := w.acceptedChanges[result.Revision]; ok && told != change {
		w.violate(changeNeverLost, "%s applies %s as revision %d, the operator was told %s", p.id, change, result.Revision, told)
	}
}

// recordAccepted records a change that an operator was told is accepted.
func (w *world) recordAccepted(change anvilid.ChangeID, revision anvilid.Revision) {
	if told, ok := w.acceptedChanges[revision]; ok && told != change {
		w.violate(changeNeverLost, "%s and %s were both accepted as revision %d", told, change, revision)
	}
	w.acceptedChanges[revision] = change
	w.counts.changes++
}
