package anvilplan

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// newSmallPlanner returns a planner with targets of 8 accelerators each, eight to a rack.
func newSmallPlanner(t *testing.T, targets int, guarantees ...Guarantee) *Planner {
	t.Helper()
	p := New()
	addTargets(p, targets)
	unmet, err := p.SetGuarantees(guarantees)
	assert.NilError(t, err)
	assert.Equal(t, len(unmet), 0)
	return p
}

func newRequest(job, account string, shape anvilconfig.Shape) Request {
	return Request{Job: anvilid.JobID(job), Account: anvilid.AccountID(account), Service: testService, Shape: shape, Preemptible: true}
}

func place(t *testing.T, p *Planner, now anvilclock.Millis, r Request) Placement {
	t.Helper()
	placement, err := p.Place(now, r)
	assert.NilError(t, err)
	return placement
}

// Guards against preempting a gang where another one has less work to lose, and against a gang that
// starts while the gang that was preempted for it still runs.
func TestLeastLostWorkIsPreempted(t *testing.T) {
	quad := anvilconfig.Shape{Accelerators: 4, Within: anvilconfig.WithinWorker}
	for _, test := range []struct {
		name       string
		checkpoint string
		want       []anvilid.JobID
	}{
		{"the youngest", "", []anvilid.JobID{"b5"}},
		{"one that saved its work", "b1", []anvilid.JobID{"b1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newSmallPlanner(t, 3, Guarantee{"a", testService, quad, 2})
			for i := range 6 {
				place(t, p, anvilclock.Millis(i), newRequest(fmt.Sprintf("b%d", i), "borrower", quad))
			}
			if test.checkpoint != "" {
				p.Checkpoint(1000, anvilid.JobID(test.checkpoint))
			}
			placement := place(t, p, 1000, newRequest("g", "a", quad))
			assert.DeepEqual(t, placement.Victims, test.want)
			assert.Assert(t, placement.Guaranteed)
			assert.Assert(t, !p.Ready("g"), "the victim still runs")
			released, _ := p.Release(test.want[0])
			assert.DeepEqual(t, released.Ready, []anvilid.JobID{"g"})
			assert.Assert(t, p.Ready("g"))
		})
	}
}

// Guards against accelerators that are assigned to a third gang while a borrower still runs on them:
// the borrower was preempted for a guaranteed gang, which is released before the borrower has ended.
func TestCancelledGangReturnsAccelerators(t *testing.T) {
	p := newSmallPlanner(t, 1, Guarantee{"a", testService, eight, 1})
	place(t, p, 0, newRequest("b", "borrower", eight))
	assert.DeepEqual(t, place(t, p, 1, newRequest("g", "a", eight)).Victims, []anvilid.JobID{"b"})
	p.Release("g")
	assert.Equal(t, p.Largest(testService).Total, 0)
	_, err := p.Place(2, newRequest("c", "borrower", single))
	assert.Assert(t, errors.Is(err, ErrNoCapacity))
	again := place(t, p, 3, newRequest("g2", "a", eight))
	assert.Equal(t, len(again.Victims), 0)
	assert.DeepEqual(t, again.Waits, []anvilid.JobID{"b"})
}

// Guards against preempting borrowers on the reservation of a gang when the reservation can be moved
// to free accelerators.
func TestFreeAcceleratorsAreUsedBeforePreemption(t *testing.T) {
	quad := anvilconfig.Shape{Accelerators: 4, Within: anvilconfig.WithinWorker}
	p := newSmallPlanner(t, 2, Guarantee{"a", testService, eight, 1}, Guarantee{"b", testService, quad, 2})
	// The two borrowers fill one target, which is reserved either for account a or for account b. The
	// other target is free.
	place(t, p, 0, newRequest("j1", "x", quad))
	place(t, p, 0, newRequest("j2", "x", quad))
	placement := place(t, p, 1, newRequest("g", "a", eight))
	assert.Equal(t, len(placement.Victims), 0)
	for i, want := range []int{1, 1} {
		assert.Equal(t, len(place(t, p, 2, newRequest(fmt.Sprintf("h%d", i), "b", quad)).Victims), want)
	}
}

// Guards against refusals without the numbers that an operator needs, and against a text that says to
// wait when the job can never run.
func TestRefusals(t *testing.T) {
	p := newSmallPlanner(t, 2, Guarantee{"a", testService, eight, 1})
	place(t, p, 0, newRequest("j1", "a", eight))
	place(t, p, 0, newRequest("j2", "x", single))
	notPreemptible := newRequest("j3", "a", eight)
	notPreemptible.Preemptible = false
	withoutGuarantee := newRequest("j9", "x", eight)
	withoutGuarantee.Preemptible = false
	for _, test := range []struct {
		request Request
		reason  error
		text    string
	}{
		{notPreemptible, ErrNotPreemptible, "uses 1 of 1 guaranteed gangs of 8 accelerators"},
		{withoutGuarantee, ErrNotPreemptible, "has no guarantee for gangs of 8 accelerators within one worker in service"},
		{newRequest("j4", "x", eight), ErrNoCapacity, "free is 4 within a worker, 7 within a rack and 7 within a zone, of 7 free in all"},
		{newRequest("j5", "x", rackGang), ErrUnsatisfiable, "can hold is 8 within a worker, 16 within a rack and 16 within a zone"},
		{Request{Job: "j6", Service: "other", Shape: single}, ErrUnsatisfiable, "0 within a worker"},
		{newRequest("j1", "x", single), ErrDuplicate, "release it first"},
		{newRequest("j7", "x", anvilconfig.Shape{Accelerators: 65, Within: anvilconfig.WithinZone}), ErrInvalid, "want 1 to 64"},
		{newRequest("j8", "x", anvilconfig.Shape{Accelerators: 1, Within: "galaxy"}), ErrInvalid, "worker, rack or zone"},
	} {
		_, err := p.Place(1, test.request)
		assert.Assert(t, errors.Is(err, test.reason), "%v", err)
		assert.Assert(t, strings.Contains(err.Error(), test.text), "%v", err)
	}
}

// Guards against a lost target whose gangs or guarantees without a reservation aren't reported, and
// against guarantees that remain without a reservation when the target is back.
func TestLossAndRepair(t *testing.T) {
	g := Guarantee{"a", testService, anvilconfig.Shape{Accelerators: 16, Within: anvilconfig.WithinRack}, 1}
	p := newSmallPlanner(t, 3, g)
	place(t, p, 0, newRequest("g", "a", g.Shape))
	loss := p.RemoveTarget("t0")
	assert.DeepEqual(t, loss, Loss{Gangs: []anvilid.JobID{"g"}})
	loss = p.RemoveTarget("t1")
	assert.DeepEqual(t, loss.Unmet, []Unmet{{"a", testService, g.Shape, 1}})
	_, known := p.Release("g")
	assert.Assert(t, known)
	addTarget(p, "t1", 0)
	assert.Equal(t, len(p.Repair()), 0)
	placement := place(t, p, 1, newRequest("g", "a", g.Shape))
	assert.Assert(t, placement.Guaranteed)
}

// Guards against a new leader that, after Restore, lacks gangs or doesn't know which of them are
// guaranteed.
func TestRestore(t *testing.T) {
	guarantees := []Guarantee{{"a", testService, eight, 2}, {"b", testService, rackGang, 1}}
	p := newSmallPlanner(t, 24, guarantees...)
	var requests []Request
	for i := range 40 {
		r := newRequest(fmt.Sprintf("j%d", i), []string{"a", "b", "x"}[i%3], []anvilconfig.Shape{eight, rackGang, single, eight}[i%4])
		if _, err := p.Place(0, r); err == nil {
			requests = append(requests, r)
		}
	}
	next := newSmallPlanner(t, 24, guarantees...)
	for _, r := range requests {
		placement, _ := p.Placement(r.Job)
		assert.NilError(t, next.Restore(0, r, placement.Members, placement.Guaranteed))
		restored, _ := next.Placement(r.Job)
		assert.DeepEqual(t, restored, placement)
	}
	assert.Equal(t, len(next.Repair()), 0)
	assert.Equal(t, next.Largest(testService), p.Largest(testService))
	used := func(p *Planner) int {
		return len(slices.DeleteFunc(p.Reservations(), func(x Reservation) bool { return x.Job == "" }))
	}
	assert.Equal(t, used(next), used(p))
	first, _ := p.Placement(requests[0].Job)
	r := newRequest("other", "x", requests[0].Shape)
	assert.Assert(t, errors.Is(next.Restore(0, r, first.Members, false), ErrNoCapacity))
}
