// Package anvilhealth decides, from the outcomes of requests, which targets are healthy. It ejects a
// target whose requests fail, which means that the target gets no requests except probes. When enough
// probes succeed, the target returns: it gets few concurrent requests at first and more with each
// success.
//
// A target is ejected only if it fails more often than the other targets of its service, so that a
// fault that they all share ejects none. At most half of the targets of a service are ejected.
//
// A Monitor is not safe for concurrent use.
package anvilhealth

import (
	"cmp"
	"maps"
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

// State says which requests a target may get.
type State string

// States of a target.
const (
	Healthy   State = "healthy"
	Ejected   State = "ejected"   // gets no requests but probes
	Returning State = "returning" // gets a limited number of concurrent requests
)

const (
	// consecutiveFailures is how many failures without a success in between eject a target, and
	// consecutiveRefused how many refused connections do. They eject a target before minOutcomes are
	// known, because a target that fails quickly attracts the most requests.
	consecutiveFailures = 5
	consecutiveRefused  = 2
	// minOutcomes is how many outcomes the window must contain before a target is ejected for its share
	// of failures.
	minOutcomes = 20
	// ejectFailurePercent is the share of failures in the window from which on a target is ejected.
	ejectFailurePercent = 50
	// minRatioToOthers is a factor: a target is ejected only if its share of failures is more than
	// minRatioToOthers times that of the other targets of its service.
	minRatioToOthers = 2
	// minOtherOutcomes is how many outcomes of other targets of the service are needed before a target
	// is ejected. With fewer, a fault of the target can't be told from one of the whole service.
	minOtherOutcomes = 3

	// A window has bucketCount buckets, each for the outcomes of one bucketSpan.
	bucketSpan  = anvilclock.Second
	bucketCount = 10

	// The interval between probes of an ejected target starts at firstProbeInterval and doubles with
	// each failed probe, up to maxProbeInterval.
	firstProbeInterval = anvilclock.Second
	maxProbeInterval   = anvilclock.Minute
	// probeTimeout is how long the outcome of a probe is waited for before the next probe is due.
	probeTimeout = 30 * anvilclock.Second
	// jitterPercent is the range of the random part of a probe interval: an interval is between 90% and
	// 110% of its nominal length.
	jitterPercent = 20
	// probeSuccessesToReturn is how many probes in a row must succeed before a target returns.
	probeSuccessesToReturn = 2
	// successesPerStep is after how many successes the limit of concurrent requests to a returning
	// target is doubled.
	successesPerStep = 5
	// failureWeight is the weight of a failure in counts.halfFailures, in which a slow request counts
	// as 1, half a failure.
	failureWeight = 2
)

// Monitor keeps the health of the targets that an instance owns, which are those it sends requests to.
type Monitor struct {
	random   *rand.Rand
	targets  map[anvilid.TargetID]*target
	services map[anvilid.ServiceName]*service
	// inherited has the targets for which Inherit was called and that were not ejected since.
	inherited map[anvilid.TargetID]*target
}

// service has the number of targets of one service, and the outcomes of all of them together.
type service struct {
	targets     int       // number of monitored targets
	ejected     []*target // ordered by time of ejection, the oldest first
	window      window    // recent outcomes of all targets
	allOutcomes counts    // outcomes of all targets since the service was added
}

// target has the state of one target and the outcomes of its requests.
type target struct {
	id      anvilid.TargetID
	service *service
	name    anvilid.ServiceName
	slots   anvilid.SlotCount
	state   State
	window  window

	failures int // failures, timeouts and refused connections since the latest success
	refused  int // refused connections since the latest success
	// othersBaseline is the value of service.allOutcomes just before the first of this target's
	// consecutive failures, plus this target's own outcomes since then. So the difference
	// service.allOutcomes - othersBaseline counts the outcomes of the other targets since that failure.
	othersBaseline counts

	nextProbeInterval anvilclock.Millis // time to the first probe after the next ejection or failed probe
	probeAt           anvilclock.Millis // when the next probe is due, or when the present one was sent
	probing           bool              // a probe was sent and has no outcome yet
	probeSuccesses    int               // successful probes in a row
	limit             anvilid.SlotCount // of concurrent requests, if returning
	successes         int               // successes since the limit was last raised
}

// New returns a monitor without targets. The seed determines the jitter of probe intervals.
func New(seed uint64) *Monitor {
	return &Monitor{
		random:   rand.New(rand.NewPCG(seed, seed)),
		targets:  map[anvilid.TargetID]*target{},
		services: map[anvilid.ServiceName]*service{},

		inherited: map[anvilid.TargetID]*target{},
	}
}

// Add starts to monitor a target, which is healthy at first. A target that is already monitored keeps
// its state.
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

// Inherit records that the former owner of a monitored target has ejected it. The target is ejected by the
// next call of EjectInherited that may do so, and may get one request at a time until then.
func (m *Monitor) Inherit(id anvilid.TargetID) {
	if t, ok := m.targets[id]; ok && t.state == Healthy {
		t.startReturning()
		m.inherited[id] = t
	}
}

// EjectInherited ejects the targets for which Inherit was called, unless more than half of the targets of
// their service would then be ejected. An owner learns of its targets one by one, so it is called after each
// of them. It returns the targets that it has ejected, ordered by id.
func (m *Monitor) EjectInherited(now anvilclock.Millis) []anvilid.TargetID {
	var ejected []anvilid.TargetID
	for _, id := range slices.Sorted(maps.Keys(m.inherited)) {
		t := m.inherited[id]
		if t.state == Returning {
			m.eject(now, t)
		}
		if t.state == Ejected {
			ejected = append(ejected, id)
		}
		if t.state != Returning {
			delete(m.inherited, id)
		}
	}
	return ejected
}

// Remove stops monitoring a target. If more than half of the remaining targets of the service would
// then be ejected, it lets the one that was ejected first return and returns its id and true.
func (m *Monitor) Remove(id anvilid.TargetID) (returned anvilid.TargetID, changed bool) {
	t, ok := m.targets[id]
	if !ok {
		return "", false
	}
	delete(m.targets, id)
	delete(m.inherited, id)
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

// Record records the outcome of a request or probe, updates the state of the target and reports whether
// the result of Limit changed.
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

// Limit returns how many concurrent requests a target may get, apart from probes: none if it is ejected,
// a growing number up to slots if it is returning, and slots if it is healthy or unknown. Slots is the
// number of requests that the target can work on at a time.
func (m *Monitor) Limit(id anvilid.TargetID, slots anvilid.SlotCount) anvilid.SlotCount {
	t, ok := m.targets[id]
	if !ok {
		return slots
	}
	return min(slots, t.Limit())
}

// State returns the state of a target, which is Healthy if the target isn't monitored.
func (m *Monitor) State(id anvilid.TargetID) State {
	if t, ok := m.targets[id]; ok {
		return t.state
	}
	return Healthy
}

// View is the health of one target as shown to operators.
type View struct {
	Target   anvilid.TargetID
	Service  anvilid.ServiceName
	State    State
	Limit    anvilid.SlotCount
	Outcomes int               // number of outcomes in the last 10 s
	Failed   int               // percent of these outcomes that are failures; slow ones count half
	ProbeAt  anvilclock.Millis // time of the next probe of an ejected target
}

// Views returns the views of all monitored targets, ordered by id.
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

// Limit returns how many concurrent requests the target may get at most, apart from probes.
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
			// If the outcome of a probe is never recorded, another probe is due after probeTimeout.
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

// ProbeNotSent records that a probe that Probes returned could not be sent. It is due again at once.
func (m *Monitor) ProbeNotSent(id anvilid.TargetID) {
	if t, ok := m.targets[id]; ok {
		t.probing = false
	}
}

// failing reports whether a target should be ejected. It must have failed often enough, by its
// consecutive failures or by its share of failures in the window. Its share must also be more than
// minRatioToOthers times that of the other targets, which shows that the fault isn't one of the whole
// service.
func (t *target) failing(now anvilclock.Millis) bool {
	if t.failures >= consecutiveFailures || t.refused >= consecutiveRefused {
		// Compare only with outcomes of other targets since the consecutive failures began. When a whole
		// service starts to fail, the window still contains earlier successes of the other targets.
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

// eject ejects a target, unless more than half of the targets of the service would then be ejected. If
// the target is already ejected, eject schedules the next probe after a longer interval.
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

// recordProbe handles the outcome of a probe of an ejected target. After probeSuccessesToReturn successes
// in a row the target returns; after any other outcome it stays ejected and is probed less often.
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

// startReturning ends the ejection of a target and limits it to one request at a time.
func (t *target) startReturning() {
	t.state = Returning
	t.limit, t.successes = 1, 0
	t.failures, t.refused = 0, 0
	t.window = window{}
	t.service.removeEjected(t)
}

// updateReturning raises the limit of a returning target after successes. It ejects the target again
// after two failures without a success in between, or if failing reports true.
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

// jittered returns a random time between 90% and 110% of span.
func (m *Monitor) jittered(span anvilclock.Millis) anvilclock.Millis {
	part := span * jitterPercent / 100
	return span - part/2 + anvilclock.Millis(m.random.Int64N(int64(part)+1))
}

// counts has a number of outcomes and the failures among them. In halfFailures a failure counts as 2
// and a slow request as 1.
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

// window counts the outcomes of the last bucketCount seconds, in one bucket for each second. Second s
// (time / bucketSpan) is counted in the bucket at index s%bucketCount, whose field at is then s.
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

// sum returns the outcomes of the last bucketCount seconds, the current one included.
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
