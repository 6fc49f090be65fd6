package anviladmit

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// sendAll returns the calls that the pacer sends at a time.
func sendAll(p *Pacer, now anvilclock.Millis) []*Call {
	var sent []*Call
	for c := p.Next(now); c != nil; c = p.Next(now) {
		sent = append(sent, c)
	}
	return sent
}

// Load: an ordinary day. Guards against a delay of calls while a leader answers.
func TestQuietDayDelaysNothing(t *testing.T) {
	p := NewPacer()
	for now := anvilclock.Millis(0); now < anvilclock.Second; now += 10 * anvilclock.Millisecond {
		p.Enqueue(&Call{Change: true, Deadline: now + 3*anvilclock.Second})
		sent := sendAll(p, now)
		assert.Equal(t, len(sent), 1)
		p.Finish(now, sent[0])
	}
}

// Load: no leader answers for 3 s, while 100 calls a second come in. Guards against searches of each of them on its
// own, which keep the voters busy when they come back.
func TestSearchesAreSpaced(t *testing.T) {
	p := NewPacer()
	assert.Assert(t, p.NoLeader(0))
	assert.Assert(t, !p.NoLeader(0))
	searches := 0
	for now := anvilclock.Millis(0); now < 3*anvilclock.Second; now += 10 * anvilclock.Millisecond {
		p.Enqueue(&Call{Deadline: now + 3*anvilclock.Second})
		for _, c := range sendAll(p, now) {
			searches++
			p.Finish(now, c)
			p.Enqueue(c)
		}
	}
	assert.Assert(t, searches >= 95 && searches <= 100, "%d", searches)
}

// Load: calls that are sent while the leader is searched for wait for voters that don't answer. Guards against a search that
// stops because all places are taken by such calls.
func TestSearchGoesOnBesideUnansweredCalls(t *testing.T) {
	p := NewPacer(WithLimit(2))
	p.NoLeader(0)
	for range 5 {
		p.Enqueue(&Call{})
	}
	for i := range anvilclock.Millis(5) {
		now := (i + 1) * DefaultSpacing
		assert.Equal(t, len(sendAll(p, now)), 1)
	}
}

// Load: a leader answers, and 500 calls were held. Guards against sending all of them at once, and against reads and patient
// callers that come before changes of callers whose time runs out.
func TestReturnIsBoundedAndUrgentFirst(t *testing.T) {
	p := NewPacer()
	p.NoLeader(0)
	for i := range 500 {
		p.Enqueue(&Call{Change: i%2 == 0, Deadline: anvilclock.Millis(3000 - i)})
	}
	assert.Assert(t, p.LeaderAnswered())
	assert.Assert(t, !p.LeaderAnswered())
	var order []*Call
	for p.Waiting() > 0 {
		sent := sendAll(p, 0)
		assert.Assert(t, len(sent) > 0 && len(sent) <= DefaultLimit)
		assert.Assert(t, len(order) > 0 || len(sent) == returnLimit)
		for _, c := range sent {
			p.Finish(0, c)
		}
		order = append(order, sent...)
	}
	assert.Equal(t, len(order), 500)
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i-1].compare(order[i]) < 0)
	}
	assert.Assert(t, order[249].Change && !order[250].Change)
}

// Load: a leader that takes half a second for each call. Guards against so many calls in progress that they are sent again before
// they are answered, which adds to the load, and against a limit that never grows again.
func TestSlowLeaderIsSentLess(t *testing.T) {
	p := NewPacer()
	now := anvilclock.Millis(0)
	answer := func(took anvilclock.Millis) int {
		for p.Waiting() < DefaultLimit {
			p.Enqueue(&Call{})
		}
		sent := sendAll(p, now)
		now += took
		for _, c := range sent {
			p.Finish(now, c)
		}
		return len(sent)
	}
	assert.Equal(t, answer(500), DefaultLimit)
	assert.Equal(t, answer(30), 1)
	for range 10 {
		answer(30)
	}
	assert.Equal(t, answer(30), DefaultLimit)
}

// Guards against a place that is given to a caller that has left.
func TestRemovedCallIsNotSent(t *testing.T) {
	p := NewPacer()
	p.NoLeader(0)
	gone, stays := &Call{Deadline: 1}, &Call{Deadline: 2}
	p.Enqueue(gone)
	p.Enqueue(stays)
	p.Remove(gone)
	p.Remove(gone)
	p.LeaderAnswered()
	sent := sendAll(p, 0)
	assert.Assert(t, len(sent) == 1 && sent[0] == stays)
}

// Load: refusals of many callers within a second. Guards against telling all of them to come back in the same second, and against
// delays beyond the longest one.
func TestReturnsAreSpread(t *testing.T) {
	var r Returns
	now := 100 * anvilclock.Second
	counts := map[anvilclock.Millis]int{}
	for range 100 {
		counts[r.Delay(now, anvilclock.Second, 4*anvilclock.Second)]++
	}
	assert.DeepEqual(t, counts, map[anvilclock.Millis]int{1000: 20, 2000: 20, 3000: 20, 4000: 40})
	assert.Equal(t, r.Delay(now+10*anvilclock.Second, anvilclock.Second, 4*anvilclock.Second), anvilclock.Second)
}
