package anvilproof_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

// prepare registers targets before faults begin.
func (w *world) prepare() {
	w.calm, w.quiet = true, true
	w.runFor(2 * second)
	for i := range targetCount {
		target := anvilstate.Target{
			ID: anvilid.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Service: "planner", Region: "west", Slots: 8,
		}
		w.processes[i%processCount].call(anvilstate.Command{Register: &anvilstate.RegisterTarget{Target: target}}, 5000, func(outcome, bool) {})
	}
	w.runFor(second)
	w.calm, w.quiet = false, false
}

// runSchedule returns a world after its schedule, with the first invariant
// that was broken.
func runSchedule(seed uint64, without mechanism, span int64) *world {
	w := newWorld(seed, without)
	w.prepare()
	w.runFor(span)
	if w.broken == nil {
		w.settle()
		w.runFor(4 * second)
		w.quiet = true
		w.runFor(2 * second)
		w.checkRecovery()
		w.checkHistory()
	}
	return w
}

// checkRecovery checks that everything is there after the faults have ended.
func (w *world) checkRecovery() {
	owned := 0
	for _, p := range w.processes {
		if !p.lease.Valid(p.clock()) {
			w.violate(fullyRecovers, "%s has no lease", p.id)
		}
		for _, target := range p.targets {
			if p.owns(target) {
				owned++
			}
		}
		if p.disk == nil {
			continue
		}
		told := map[anvilid.Revision]anvilid.ChangeID{}
		for _, change := range p.machine.History() {
			told[change.Revision] = change.ID
		}
		for revision, change := range w.accepted {
			if told[revision] != change {
				w.violate(neverLost, "%s has %q as revision %d, the operator was told %q", p.id, told[revision], revision, change)
			}
		}
	}
	if owned != targetCount || w.lost != nil {
		w.violate(fullyRecovers, "%d of %d targets have an owner, lost voter %v", owned, targetCount, w.lost != nil)
	}
}

const (
	seeds        = 20
	scheduleSpan = 20 * second
)

// Guards against every combination of two faults at one time that breaks an
// invariant of leases, views, changes, claims or owners.
func TestInvariantsUnderPairsOfFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := runSchedule(seed, complete, scheduleSpan)
			t.Logf("%+v, %d requests, %d operations on the configuration", w.counts, len(w.requests), len(w.history.config))
			assert.Assert(t, w.broken == nil, "broken: %v", w.broken)
			assert.Assert(t, w.counts.changes > 10 && w.counts.runs > 50, "the faults left no time to work")
		})
	}
}

// Guards against checks that wouldn't notice a missing mechanism: without it,
// one of the schedules breaks the invariant that the mechanism protects.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, c := range []struct {
		without   mechanism
		invariant []string
		// seed is the first one that was found to break an invariant. The next
		// ones are tried too, because every change to the code moves it.
		seed uint64
	}{
		{granterMargin, []string{oneOwner, inForce}, 1002},
		{closeFirst, []string{oneOwner, inForce}, 1000},
		{leaderWait, []string{oneOwner, inForce}, 1000},
		{deltaFirst, []string{inForce}, 1000},
		{staleDelta, []string{neverBack, inForce}, 1004},
		{releaseFirst, []string{oneOwner}, 1000},
		{baseCompared, []string{linearizable}, 1000},
		{syncFirst, []string{neverLost, noPanic, linearizable}, 1100},
		{readBarrier, []string{linearizable}, 1000},
		{lateGrantIgnored, []string{oneRun, trueNotRun}, 1000},
	} {
		t.Run(string(c.without), func(t *testing.T) {
			t.Parallel()
			for seed := c.seed; seed < c.seed+300; seed++ {
				w := runSchedule(seed, c.without, scheduleSpan)
				if w.broken == nil {
					continue
				}
				t.Logf("seed %d: %v", seed, w.broken)
				assert.Assert(t, slices.Contains(c.invariant, w.broken.invariant), "another invariant than %q is broken", c.invariant)
				return
			}
			t.Fatal("no schedule breaks an invariant")
		})
	}
}

// Guards against schedules that depend on anything but their seed.
func TestSameSeedSameSchedule(t *testing.T) {
	a, b := runSchedule(5, complete, 5*second), runSchedule(5, complete, 5*second)
	assert.Equal(t, a.counts, b.counts)
	assert.Equal(t, a.sequence, b.sequence)
}
