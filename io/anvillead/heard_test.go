package anvillead

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// testSpan is how long a sequence number counts in these tests.
const testSpan = 10 * anvilclock.Second

// TestHeardAnnouncements guards against an old announcement that counts because the later ones changed nothing
// and were not committed: the target would have grown again for the time until its next one.
func TestHeardAnnouncements(t *testing.T) {
	h := heardAnnouncements{}
	hear := func(incarnation anvilwork.Incarnation, sequence uint64) bool {
		return h.record(0, testSpan, anvilwork.Target{ID: "t", Incarnation: incarnation, Sequence: sequence}, nil)
	}
	assert.Assert(t, !hear(1, 3))
	assert.Assert(t, !hear(1, 9))
	assert.Assert(t, hear(1, 5))
	assert.Assert(t, !hear(1, 9), "the target has sent it again, because it got no answer")
	assert.Assert(t, !hear(2, 1), "the next incarnation counts anew")
	assert.Assert(t, hear(1, 10))
	assert.Assert(t, !hear(2, 2))
}

// TestLaterIncarnationFallsSilent guards against a target whose announcements never count again, because one of
// another writer named a later incarnation.
func TestLaterIncarnationFallsSilent(t *testing.T) {
	h := heardAnnouncements{}
	hear := func(now anvilclock.Millis, incarnation anvilwork.Incarnation, sequence uint64) bool {
		return h.record(now, testSpan, anvilwork.Target{ID: "t", Incarnation: incarnation, Sequence: sequence}, nil)
	}
	assert.Assert(t, !hear(0, 1, 3))
	assert.Assert(t, !hear(10, 2, 1))
	assert.Assert(t, hear(10+testSpan, 1, 4))
	assert.Assert(t, !hear(11+testSpan, 1, 5))
	assert.Assert(t, !hear(12+testSpan, 2, 2), "the later incarnation is there after all")
	assert.Assert(t, hear(13+testSpan, 1, 6))
}

// TestUnknownService guards against an announcement of another writer that takes the place of a target, because
// it names a later incarnation beside a service that the configuration doesn't have.
func TestUnknownService(t *testing.T) {
	l := &Leader{shared: anvillock.New(shared{state: anvilwork.New()})}
	target := anvilwork.Target{ID: "t", Incarnation: 1, Service: "removed", Sequence: 7}
	assert.Assert(t, !l.namesUnknownService(target), "there is no configuration yet")
	l.applyNow(1, anvilwork.Command{Announce: &anvilwork.Announce{Target: target}},
		anvilwork.Command{Configure: &anvilwork.Config{Version: 1, Services: []anvilwork.Service{{Name: "s"}}}})
	assert.Assert(t, !l.namesUnknownService(target), "a target goes on with a service that was removed")
	for _, foreign := range []anvilwork.Target{
		{ID: "t", Incarnation: 2, Service: "removed"}, {ID: "t", Incarnation: 1, Service: "odd"}, {ID: "u", Incarnation: 1, Service: "odd"},
	} {
		assert.Assert(t, l.namesUnknownService(foreign), "%v", foreign)
	}
	assert.Assert(t, !l.namesUnknownService(anvilwork.Target{ID: "t", Incarnation: 2, Service: "s"}))
}

// TestHeardAnnouncementsOfGoneTargets guards against a leader whose memory grows with each target that was
// ever there.
func TestHeardAnnouncementsOfGoneTargets(t *testing.T) {
	h, state := heardAnnouncements{}, anvilwork.New()
	state.Apply(1, anvilwork.Batch{Commands: []anvilwork.Command{{Announce: &anvilwork.Announce{Target: anvilwork.Target{ID: "t0", Sequence: 7}}}}})
	for i := range 10_000 {
		h.prune(state)
		h.record(0, testSpan, anvilwork.Target{ID: anvilid.TargetID(fmt.Sprint("t", i)), Sequence: 7}, nil)
	}
	assert.Assert(t, len(h) <= 2*len(state.Targets())+maxForgotten+1, "%d are left", len(h))
	assert.Assert(t, h.record(0, testSpan, anvilwork.Target{ID: "t0", Sequence: 6}, nil), "a known target isn't forgotten")
}

// TestOutdatedKeepalive guards against a foreign capacity with a very high sequence number that counts as fresh
// because the announcements of the target itself, which the state doesn't take, are keepalives.
func TestOutdatedKeepalive(t *testing.T) {
	l := &Leader{shared: anvillock.New(shared{state: anvilwork.New()}), clock: anvilclock.Boot(), keepalives: make(chan []anvilorder.Announcement, 4)}
	own, foreign := anvilwork.Target{ID: "t", Incarnation: 1, Sequence: 7}, anvilwork.Target{ID: "t", Incarnation: 1, Sequence: 1 << 50}
	own.Resources.GPU, foreign.Resources.GPU = 4, 8
	l.applyNow(1, anvilwork.Command{Announce: &anvilwork.Announce{Target: own}})
	l.keepAlive(arrival{target: own})
	assert.Equal(t, len(l.keepalives), 1, "it confirms the record")
	l.applyNow(2, anvilwork.Command{Announce: &anvilwork.Announce{Target: foreign}})
	own.Sequence++
	l.keepAlive(arrival{target: own})
	assert.Equal(t, len(l.keepalives), 1, "the state has 8 accelerators, the target 4")
}

// announcer hands the announcements of a target to a Leader, which applies them at once.
type announcer struct {
	leader *Leader
	clock  anvilclock.Manual
}

func newAnnouncer(t *testing.T) *announcer {
	log, err := anvillogs.New(io.Discard, "error")
	assert.NilError(t, err)
	a := &announcer{}
	a.leader = &Leader{
		shared: anvillock.New(shared{state: anvilwork.New(), heard: heardAnnouncements{}}), clock: a.clock.Clock(), log: log,
		keepalives: make(chan []anvilorder.Announcement, resultQueueSize),
		bounds:     Bounds{AnnounceInterval: 1000, Orders: anvilorder.Timing{MaxAnnouncementAge: testSpan - sequenceIntervals*1000}},
	}
	return a
}

func (a *announcer) announce(sequence uint64, gpu anvilid.AcceleratorCount) {
	l := a.leader
	ordered, outdated := l.hear(l.clock.Now(), anvilwork.Target{ID: "t", Incarnation: 1, Service: "s", Sequence: sequence, Resources: anvilwork.Resources{GPU: gpu}})
	change, ok := l.changeBy(ordered)
	switch {
	case outdated:
	case ok:
		l.applyNow(1, change.command)
	default:
		l.keepAlive(arrival{ordered, l.clock.Now()})
	}
}

// applyNow applies commands without the replicated log.
func (l *Leader) applyNow(at anvilclock.Millis, commands ...anvilwork.Command) {
	l.shared.With(func(s *shared) { s.state.Apply(at, anvilwork.Batch{Commands: commands}) })
}

// record returns the replicated record of the target.
func (a *announcer) record() (target anvilwork.Target) {
	a.leader.shared.With(func(s *shared) {
		known, _ := s.state.Target("t")
		target = *known
	})
	return target
}

func (a *announcer) capacity() anvilid.AcceleratorCount { return a.record().Resources.GPU }

// forget makes the leader one that has heard no announcement.
func (a *announcer) forget() {
	a.leader.shared.With(func(s *shared) { s.heard = heardAnnouncements{} })
}

// TestHighestSequence guards against one announcement of another writer with a very high sequence number that
// makes all later ones of the target count as outdated: it would get no starts for as long as it lives, and
// after a change of leader starts by the capacity of the other writer.
func TestHighestSequence(t *testing.T) {
	for _, foreign := range []anvilid.AcceleratorCount{8, 4} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("foreign %d, new leader %t", foreign, newLeader), func(t *testing.T) {
				a := newAnnouncer(t)
				a.announce(7, 4)
				a.announce(1<<50, foreign)
				if newLeader {
					a.forget()
				}
				sequence := uint64(8)
				for ; a.clock.Now() <= testSpan; sequence++ {
					a.announce(sequence, 4)
					a.clock.Advance(1000)
				}
				a.announce(sequence, 4)
				assert.Equal(t, a.capacity(), anvilid.AcceleratorCount(4))
				before := len(a.leader.keepalives)
				a.announce(sequence+1, 4)
				assert.Equal(t, len(a.leader.keepalives), before+1, "its announcements keep its capacity fresh")
				a.announce(sequence+3, 2)
				a.announce(sequence+2, 4)
				assert.Equal(t, a.capacity(), anvilid.AcceleratorCount(2), "delayed ones are outdated again")
				known := a.record()
				if foreign == 8 { // the foreign number was replicated and overruled
					a.announce(sequence+4, 3)
					known = a.record()
				}
				assert.Assert(t, known.Sequence == sequence+3 || known.Sequence == sequence+4, "a new leader knows the order again: %d", known.Sequence)
				a.announce(1<<50, 8)
				a.announce(sequence+5, 2)
				assert.Equal(t, a.capacity(), anvilid.AcceleratorCount(8), "the other writer is heard again")
				a.clock.Advance(testSpan + 1)
				a.announce(sequence+6, 2)
				assert.Equal(t, a.capacity(), anvilid.AcceleratorCount(2))
			})
		}
	}
}

// TestDelayedAnnouncementAtNewLeader guards against a new leader that takes a delayed announcement for the
// latest one before a sequence number stops to count.
func TestDelayedAnnouncementAtNewLeader(t *testing.T) {
	a := newAnnouncer(t)
	a.announce(3, 8)
	a.announce(5, 2)
	a.forget()
	a.announce(4, 8)
	a.clock.Advance(testSpan)
	a.announce(4, 8)
	assert.Equal(t, a.capacity(), anvilid.AcceleratorCount(2))
	assert.Equal(t, len(a.leader.keepalives), 0)
}

// TestKeepaliveAfterChange guards against announcements that arrive over two ways: one that another voter has acknowledged
// and passes on late must not bring back the capacity that the target had before, keep a target that leaves, or count as
// heard when it is passed on.
func TestKeepaliveAfterChange(t *testing.T) {
	a := newAnnouncer(t)
	a.announce(3, 8)
	a.clock.Advance(1000)
	a.announce(5, 2)
	late := anvilwork.Target{ID: "t", Incarnation: 1, Service: "s", Sequence: 4, Resources: anvilwork.Resources{GPU: 8}}
	_, usable := a.leader.order(a.clock.Now()-500, late)
	assert.Assert(t, !usable)
	assert.Equal(t, a.capacity(), anvilid.AcceleratorCount(2))

	same := late
	same.Sequence, same.Resources.GPU = 5, 2
	a.clock.Advance(2000)
	ordered, usable := a.leader.order(a.clock.Now()-2000, same)
	assert.Assert(t, usable, "the same one over the other way")
	_, changes := a.leader.changeBy(ordered)
	assert.Assert(t, !changes)
	a.leader.shared.With(func(s *shared) { assert.Equal(t, s.heard["t"].at, anvilclock.Millis(1000)) })
}
