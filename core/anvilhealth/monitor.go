// Package anvilhealth ejects targets whose requests fail, sends them probes, and lets them return
// step by step.
//
// A target is compared with the other targets of its service, so that a fault that they all share
// ejects none.
//
// A Monitor is not safe for concurrent use.
package anvilhealth

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Outcome is how a request to a target ended.
type Outcome int

// Outcomes of a request.
const (
	Success Outcome = iota
	Failure         // the target answered with an error of its own
	Refused         // the connection was refused
	Timeout
	Slow // complete, but much later than usual
)

// State is the state of a target.
type State string

// States of a target.
const (
	Healthy   State = "healthy"
	Ejected   State = "ejected"   // gets only probes
	Returning State = "returning" // gets a limited number of concurrent requests
)

const (
	// consecutiveFailures, or consecutiveRefused refused connections, eject a target early, because
	// a target that fails quickly attracts the most requests.
	consecutiveFailures = 5
	consecutiveRefused  = 2
	// minOutcomes is how many outcomes the window must hold before the share of failures counts.
	minOutcomes = 20
	// ejectFailurePercent is the share of failures that ejects a target.
	ejectFailurePercent = 50
	// minRatioToOthers is how many times the others' share of failures a target must exceed to be
	// ejected for its own.
	minRatioToOthers = 2
	// minOtherOutcomes is how many outcomes of other targets are needed to tell a fault of the
	// target from one of the whole service.
	minOtherOutcomes = 3

	bucketSpan  = anvilclock.Second
	bucketCount = 10

	firstProbeInterval = anvilclock.Second
	maxProbeInterval   = anvilclock.Minute
	probeTimeout       = 30 * anvilclock.Second
	// jitterPercent is the part of a probe interval that is random.
	jitterPercent = 20
	// probeSuccessesToReturn is how many probes in a row must succeed before a target returns.
	probeSuccessesToReturn = 2
	// successesPerStep is how many successes double the limit of a returning target.
	successesPerStep = 5
	// failureWeight is what a failure counts for. The unit is half a failure, because a slow
	// request counts as half a failure.
	failureWeight = 2
)

// Monitor judges the health of the targets that an instance is responsible for.
type Monitor struct {
	random   *rand.Rand
	targets  map[anvilid.TargetID]*target
	services map[anvilid.ServiceName]*service
}

// service is the health of all monitored targets of one service.
type service struct {
	targets     int
	ejected     []*target // the one ejected first comes first
	window      window
	allOutcomes counts // all outcomes since the service was added
}

// target is the health of one target.
type target struct {
	id      anvilid.TargetID
	service *service
	name    anvilid.ServiceName
	slots   anvilid.SlotCount
	state   State
	window  window

	failures int // failures, timeouts and refused connections since the latest success
	refused  int // refused connections since the latest success
	// othersBaseline is the service's allOutcomes at the first of the consecutive failures, plus
	// the target's own outcomes since then. What allOutcomes exceeds it by are the outcomes of the
	// other targets since then.
	othersBaseline counts

	nextProbeInterval anvilclock.Millis
	probeAt           anvilclock.Millis
	probing           bool
	probeSuccesses    int
	limit             anvilid.SlotCount
	successes         int // successes since the limit was last raised
}

// New returns a monitor. The seed determines the jitter of probes.
func New(seed uint64) *Monitor {
	return &Monitor{
		random:   rand.New(rand.NewPCG(seed, seed)),
		targets:  map[anvilid.TargetID]*target{},
		services: map[anvilid.ServiceName]*service{},
	}
}

// Add starts to monitor a target. A target that is known already keeps its state.
func (m *Monitor) Add(id anvilid.TargetID, name anvilid.ServiceName, slots anvilid.SlotCount) {
	if _, ok := m.targets[id]; ok {
		return
	}
	s, ok := m.services[name]
	if !ok {
		s = &service{}
		m.services[name] = s
	}
	s.targets++
	m.targets[id] = &target{id: id, service: s, name: name, slots: slots, state: Healthy, nextProbeInterval: firstProbeInterval}
}

// Remove stops monitoring a target. It returns the id of an ejected target that has to return
// early, if any, so that at most half of the remaining targets are ejected.
func (m *Monitor) Remove(id anvilid.TargetID) (returned anvilid.TargetID, changed bool) {
	t, ok := m.targets[id]
	if !ok {
		return "", false
	}
	delete(m.targets, id)
	s := t.service
	s.targets--
	s.removeEjected(t)
	if s.targets == 0 {
		delete(m.services, t.name)
		return "", false
	}
	if 2*len(s.ejected) <= s.targets {
		return "", false
	}
	oldest := s.ejected[0]
	oldest.startReturning()
	return oldest.id, true
}

// Record records the outcome of a request and reports whether the target's limit changed. The
// outcome of a probe is recorded in the same way.
func (m *Monitor) Record(now anvilclock.Millis, id anvilid.TargetID, outcome Outcome) (changed bool) {
	t, ok := m.targets[id]
	if !ok {
		return false
	}
	before := t.Limit()
	if t.failures == 0 {
		t.othersBaseline = t.service.allOutcomes
	}
	t.window.add(now, outcome)
	t.service.window.add(now, outcome)
	t.service.allOutcomes.add(outcome)
	t.othersBaseline.add(outcome)
	if outcome == Success {
		t.failures, t.refused = 0, 0
	} else if outcome != Slow {
		t.failures++
	}
	if outcome == Refused {
		t.refused++
	}
	switch t.state {
	case Healthy:
		if t.failing(now) {
			m.eject(now, t)
		}
	case Returning:
		m.updateReturning(now, t, outcome)
	case Ejected:
		m.recordProbe(now, t, outcome)
	}
	return before != t.Limit()
}

// Limit returns how many concurrent requests a target may get at most: none if it is ejected, and
// the given number of slots if it is healthy or unknown.
func (m *Monitor) Limit(id anvilid.TargetID, slots anvilid.SlotCount) anvilid.SlotCount {
	t, ok := m.targets[id]
	if !ok {
		return slots
	}
	return min(slots, t.Limit())
}

// State returns the state of a target.
func (m *Monitor) State(id anvilid.TargetID) State {
	if t, ok := m.targets[id]; ok {
		return t.state
	}
	return Healthy
}

// View is the state of one target for display.
type View struct {
	Target   anvilid.TargetID
	Service  anvilid.ServiceName
	State    State
	Limit    anvilid.SlotCount
	Outcomes int               // outcomes in the window
	Failed   int               // percent of the outcomes that are failures
	ProbeAt  anvilclock.Millis // time of the next probe of an ejected target
}

// Views returns all targets, ordered by id.
func (m *Monitor) Views(now anvilclock.Millis) []View {
	views := make([]View, 0, len(m.targets))
	for id, t := range m.targets {
		view := View{Target: id, Service: t.name, State: t.state, Limit: t.Limit()}
		sum := t.window.sum(now)
		view.Outcomes = sum.total
		if sum.total > 0 {
			view.Failed = 100 * sum.halfFailures / (failureWeight * sum.total)
		}
		if t.state == Ejected {
			view.ProbeAt = t.probeAt
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}

// Limit returns how many concurrent requests the target may get at most.
func (t *target) Limit() anvilid.SlotCount {
	switch t.state {
	case Ejected:
		return 0
	case Returning:
		return min(t.limit, t.slots)
	}
	return t.slots
}

// Probes returns the ejected targets that are due for a single probe request, ordered by id. The
// caller records the outcome of each with Record, or calls ProbeNotSent if no request could be
// sent.
func (m *Monitor) Probes(now anvilclock.Millis) []anvilid.TargetID {
	var due []anvilid.TargetID
	for _, s := range m.services {
		for _, t := range s.ejected {
			// Probing must continue even if the outcome of a probe is never recorded.
			if t.probing && now < t.probeAt+probeTimeout || now < t.probeAt {
				continue
			}
			t.probing, t.probeAt = true, now
			due = append(due, t.id)
		}
	}
	slices.SortFunc(due, cmp.Compare[anvilid.TargetID])
	return due
}

// ProbeNotSent records that a probe could not be sent. The probe is due again.
func (m *Monitor) ProbeNotSent(id anvilid.TargetID) {
	if t, ok := m.targets[id]; ok {
		t.probing = false
	}
}

// failing reports whether a target fails by itself, rather than by a fault of the whole service.
func (t *target) failing(now anvilclock.Millis) bool {
	if t.failures >= consecutiveFailures || t.refused >= consecutiveRefused {
		// Only outcomes of other targets since the failures began count here: when a whole service
		// starts to fail, the window still shows its earlier successes.
		others := t.service.allOutcomes.minus(t.othersBaseline)
		if others.total >= minOtherOutcomes && others.halfFailures*minRatioToOthers < others.total*failureWeight {
			return true
		}
	}
	own := t.window.sum(now)
	if own.total < minOutcomes || own.halfFailures*100 < ejectFailurePercent*own.total*failureWeight {
		return false
	}
	others := t.service.window.sum(now).minus(own)
	return others.total >= minOtherOutcomes && own.halfFailures*others.total > minRatioToOthers*others.halfFailures*own.total
}

func (m *Monitor) eject(now anvilclock.Millis, t *target) {
	s := t.service
	wasEjected := t.state == Ejected
	if !wasEjected && 2*(len(s.ejected)+1) > s.targets {
		return
	}
	t.state = Ejected
	t.probing, t.probeSuccesses = false, 0
	t.probeAt = now + m.jittered(t.nextProbeInterval)
	t.nextProbeInterval = min(2*t.nextProbeInterval, maxProbeInterval)
	if !wasEjected {
		s.ejected = append(s.ejected, t)
	}
}

func (m *Monitor) recordProbe(now anvilclock.Millis, t *target, outcome Outcome) {
	if !t.probing {
		return // the outcome of a request that was sent before the ejection
	}
	t.probing = false
	if outcome != Success {
		m.eject(now, t)
		return
	}
	t.probeSuccesses++
	if t.probeSuccesses >= probeSuccessesToReturn {
		t.startReturning()
		return
	}
	t.probeAt = now + m.jittered(firstProbeInterval)
}

func (t *target) startReturning() {
	t.state = Returning
	t.limit, t.successes = 1, 0
	t.failures, t.refused = 0, 0
	t.window = window{}
	t.service.removeEjected(t)
}

func (m *Monitor) updateReturning(now anvilclock.Millis, t *target, outcome Outcome) {
	if outcome == Success {
		t.successes++
		if t.successes < successesPerStep {
			return
		}
		t.successes = 0
		t.limit *= 2
		if t.limit >= t.slots {
			t.state = Healthy
			t.nextProbeInterval = firstProbeInterval
		}
		return
	}
	t.successes = 0
	if t.failures >= 2 || t.failing(now) {
		m.eject(now, t)
	}
}

func (s *service) removeEjected(t *target) {
	if i := slices.Index(s.ejected, t); i >= 0 {
		s.ejected = slices.Delete(s.ejected, i, i+1)
	}
}

func (m *Monitor) jittered(span anvilclock.Millis) anvilclock.Millis {
	part := span * jitterPercent / 100
	return span - part/2 + anvilclock.Millis(m.random.Int64N(int64(part)+1))
}

// counts is a number of outcomes and the failures among them, in half failures.
type counts struct{ total, halfFailures int }

func (c counts) minus(other counts) counts {
	return counts{total: c.total - other.total, halfFailures: c.halfFailures - other.halfFailures}
}

func (c *counts) add(outcome Outcome) {
	c.total++
	switch outcome {
	case Failure, Refused, Timeout:
		c.halfFailures += failureWeight
	case Slow:
		c.halfFailures++
	}
}

// window counts the outcomes of the last bucketCount seconds.
type window struct {
	buckets [bucketCount]struct {
		at anvilclock.Millis
		counts
	}
}

func (w *window) add(now anvilclock.Millis, outcome Outcome) {
	at := now / bucketSpan
	b := &w.buckets[at%bucketCount]
	if b.at != at {
		b.at, b.counts = at, counts{}
	}
	b.add(outcome)
}

func (w *window) sum(now anvilclock.Millis) counts {
	oldest := now/bucketSpan - bucketCount + 1
	var sum counts
	for i := range w.buckets {
		if w.buckets[i].at >= oldest {
			sum.total += w.buckets[i].total
			sum.halfFailures += w.buckets[i].halfFailures
		}
	}
	return sum
}
