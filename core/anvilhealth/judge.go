// Package anvilhealth ejects targets that fail by the outcomes of their
// requests, probes them, and returns them step by step.
//
// A target is judged against the other targets of its service, so that a
// fault that all of them share ejects none.
//
// A Judge is not safe for concurrent use.
package anvilhealth

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Outcome is how a request on a target ended.
type Outcome int

// Outcomes.
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
	Returning State = "returning" // gets a limited number of requests
)

const (
	// consecutive failures eject a target early, because one that fails fast
	// draws the most work.
	consecutiveFailures = 5
	consecutiveRefused  = 2
	// shareOutcomes is the fewest outcomes in the window for a judgement by
	// share.
	shareOutcomes = 20
	// shareLimit is the share of failures that ejects, in percent.
	shareLimit = 50
	// othersRatio: a target must fail at more than this many times the share
	// of the others.
	othersRatio = 2
	// othersOutcomes is the fewest outcomes of other targets that say
	// something about the service.
	othersOutcomes = 3

	bucketSpan  = anvilclock.Second
	bucketCount = 10

	probeFirst   = anvilclock.Second
	probeLongest = anvilclock.Minute
	probeTimeout = 30 * anvilclock.Second
	// jitter is the part of a probe interval that is random, in percent.
	jitter = 20
	// probesToReturn is how many probes in a row must succeed.
	probesToReturn = 2
	// stepOutcomes is how many successes double the limit of a returning
	// target.
	stepOutcomes = 5
	// failureWeight counts in half failures, because a slow request is only
	// half a failure.
	failureWeight = 2
)

// Monitor judges the targets that an instance is responsible for.
type Monitor struct {
	random   *rand.Rand
	targets  map[anvilid.TargetID]*target
	services map[anvilid.ServiceName]*service
}

type service struct {
	targets int
	ejected []*target // oldest first
	window  window
	seen    counts // since the start
}

type target struct {
	id      anvilid.TargetID
	service *service
	name    anvilid.ServiceName
	slots   anvilid.SlotCount
	state   State
	window  window

	failures int // consecutive
	refused  int // consecutive
	// streak is service.seen at the first of the consecutive failures, less
	// the target's own outcomes since then.
	streak counts

	interval  anvilclock.Millis
	probeAt   anvilclock.Millis
	probing   bool
	probesOK  int
	limit     anvilid.SlotCount
	successes int // since the last step up
}

// New returns a judge. The seed decides the jitter of probes.
func New(seed uint64) *Monitor {
	return &Monitor{
		random:   rand.New(rand.NewPCG(seed, seed)),
		targets:  map[anvilid.TargetID]*target{},
		services: map[anvilid.ServiceName]*service{},
	}
}

// Add starts to judge a target. A known target keeps its state.
func (j *Monitor) Add(id anvilid.TargetID, name anvilid.ServiceName, slots anvilid.SlotCount) {
	if _, ok := j.targets[id]; ok {
		return
	}
	s, ok := j.services[name]
	if !ok {
		s = &service{}
		j.services[name] = s
	}
	s.targets++
	j.targets[id] = &target{id: id, service: s, name: name, slots: slots, state: Healthy, interval: probeFirst}
}

// Remove forgets a target. It returns a target that has to come back early,
// so that no more than half of the rest are ejected.
func (j *Monitor) Remove(id anvilid.TargetID) (returned anvilid.TargetID, changed bool) {
	t, ok := j.targets[id]
	if !ok {
		return "", false
	}
	delete(j.targets, id)
	s := t.service
	s.targets--
	s.unlist(t)
	if s.targets == 0 {
		delete(j.services, t.name)
		return "", false
	}
	if 2*len(s.ejected) <= s.targets {
		return "", false
	}
	oldest := s.ejected[0]
	oldest.comeBack()
	return oldest.id, true
}

// Record takes in an outcome and tells whether the target's limit changed.
// An outcome of a probe is recorded in the same way.
func (j *Monitor) Record(now anvilclock.Millis, id anvilid.TargetID, outcome Outcome) (changed bool) {
	t, ok := j.targets[id]
	if !ok {
		return false
	}
	before := t.Limit()
	if t.failures == 0 {
		t.streak = t.service.seen
	}
	t.window.add(now, outcome)
	t.service.window.add(now, outcome)
	t.service.seen.add(outcome)
	t.streak.add(outcome)
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
			j.eject(now, t)
		}
	case Returning:
		j.ramp(now, t, outcome)
	case Ejected:
		j.probed(now, t, outcome)
	}
	return before != t.Limit()
}

// Limit returns the most concurrent requests that a target may get: 0 for an
// ejected one, and its slots for a healthy or unknown one with the given
// slots.
func (j *Monitor) Limit(id anvilid.TargetID, slots anvilid.SlotCount) anvilid.SlotCount {
	t, ok := j.targets[id]
	if !ok {
		return slots
	}
	return min(slots, t.Limit())
}

// State returns the state of a target.
func (j *Monitor) State(id anvilid.TargetID) State {
	if t, ok := j.targets[id]; ok {
		return t.state
	}
	return Healthy
}

// View shows one target.
type View struct {
	Target   anvilid.TargetID
	Service  anvilid.ServiceName
	State    State
	Limit    anvilid.SlotCount
	Outcomes int               // in the window
	Failed   int               // percent of them
	ProbeAt  anvilclock.Millis // of an ejected target
}

// Views returns all targets, ordered by id.
func (j *Monitor) Views(now anvilclock.Millis) []View {
	views := make([]View, 0, len(j.targets))
	for id, t := range j.targets {
		view := View{Target: id, Service: t.name, State: t.state, Limit: t.Limit()}
		sum := t.window.sum(now)
		view.Outcomes = sum.total
		if sum.total > 0 {
			view.Failed = 100 * sum.bad / (failureWeight * sum.total)
		}
		if t.state == Ejected {
			view.ProbeAt = t.probeAt
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}

// Limit returns the most concurrent requests of a target.
func (t *target) Limit() anvilid.SlotCount {
	switch t.state {
	case Ejected:
		return 0
	case Returning:
		return min(t.limit, t.slots)
	}
	return t.slots
}

// Probes returns the ejected targets that are due for a single probe request,
// ordered by id. The daemon records the outcome of each with Record, or
// calls Unprobed when no request could be sent.
func (j *Monitor) Probes(now anvilclock.Millis) []anvilid.TargetID {
	var due []anvilid.TargetID
	for _, s := range j.services {
		for _, t := range s.ejected {
			// A probe whose outcome never came must not end probing.
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

// ProbeNotSent tells that a probe could not be sent. It is due again.
func (j *Monitor) ProbeNotSent(id anvilid.TargetID) {
	if t, ok := j.targets[id]; ok {
		t.probing = false
	}
}

// failing tells whether a target fails on its own.
func (t *target) failing(now anvilclock.Millis) bool {
	if t.failures >= consecutiveFailures || t.refused >= consecutiveRefused {
		// Others are judged by what they did since the failures began: when a
		// whole service starts to fail, the window still shows its successes.
		others := t.service.seen.less(t.streak)
		if others.total >= othersOutcomes && others.bad*othersRatio < others.total*failureWeight {
			return true
		}
	}
	own := t.window.sum(now)
	if own.total < shareOutcomes || own.bad*100 < shareLimit*own.total*failureWeight {
		return false
	}
	others := t.service.window.sum(now).less(own)
	return others.total >= othersOutcomes && own.bad*others.total > othersRatio*others.bad*own.total
}

func (j *Monitor) eject(now anvilclock.Millis, t *target) {
	s := t.service
	listed := t.state == Ejected
	if !listed && 2*(len(s.ejected)+1) > s.targets {
		return
	}
	t.state = Ejected
	t.probing, t.probesOK = false, 0
	t.probeAt = now + j.jittered(t.interval)
	t.interval = min(2*t.interval, probeLongest)
	if !listed {
		s.ejected = append(s.ejected, t)
	}
}

func (j *Monitor) probed(now anvilclock.Millis, t *target, outcome Outcome) {
	if !t.probing {
		return // a request from before the ejection
	}
	t.probing = false
	if outcome != Success {
		j.eject(now, t)
		return
	}
	t.probesOK++
	if t.probesOK >= probesToReturn {
		t.comeBack()
		return
	}
	t.probeAt = now + j.jittered(probeFirst)
}

func (t *target) comeBack() {
	t.state = Returning
	t.limit, t.successes = 1, 0
	t.failures, t.refused = 0, 0
	t.window = window{}
	t.service.unlist(t)
}

func (j *Monitor) ramp(now anvilclock.Millis, t *target, outcome Outcome) {
	if outcome == Success {
		t.successes++
		if t.successes < stepOutcomes {
			return
		}
		t.successes = 0
		t.limit *= 2
		if t.limit >= t.slots {
			t.state = Healthy
			t.interval = probeFirst
		}
		return
	}
	t.successes = 0
	if t.failures >= 2 || t.failing(now) {
		j.eject(now, t)
	}
}

func (s *service) unlist(t *target) {
	if i := slices.Index(s.ejected, t); i >= 0 {
		s.ejected = slices.Delete(s.ejected, i, i+1)
	}
}

func (j *Monitor) jittered(span anvilclock.Millis) anvilclock.Millis {
	part := span * jitter / 100
	return span - part/2 + anvilclock.Millis(j.random.Int64N(int64(part)+1))
}

// counts are weighted outcomes: bad is in half failures.
type counts struct{ total, bad int }

func (c counts) less(other counts) counts {
	return counts{total: c.total - other.total, bad: c.bad - other.bad}
}

func (c *counts) add(outcome Outcome) {
	c.total++
	switch outcome {
	case Failure, Refused, Timeout:
		c.bad += failureWeight
	case Slow:
		c.bad++
	}
}

// window counts outcomes of the last bucketCount seconds.
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
			sum.bad += w.buckets[i].bad
		}
	}
	return sum
}
