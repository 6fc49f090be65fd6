package anvilspeed

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// mixQueues runs jobs of three queues for a time: wide steps of "wide" and "heavy", and gangs of "gang".
func (w *workload) mixQueues(span anvilclock.Millis) {
	for end := w.now + span; w.now < end; {
		w.queue = "wide"
		w.start(w.machines, false, w.unevenWork(6000))
		w.queue = "heavy"
		w.start(w.machines/4, false, w.unevenWork(6000))
		w.queue = "gang"
		for range max(1, w.machines/20) {
			w.start(5, true, w.evenWork(4000))
		}
		w.advance(4 * anvilclock.Second)
	}
}

// heavySlows slows the runs of "wide" down beside those of "heavy".
func heavySlows(queue anvilwork.QueueName, beside []anvilwork.QueueName) float64 {
	if queue == "wide" && slices.Contains(beside, "heavy") {
		return 0.6
	}
	return 1
}

func (w *workload) slowPairs() []string {
	var pairs []string
	for _, e := range w.estimator.Effects() {
		if e.Slows {
			pairs = append(pairs, string(e.Victim)+" beside "+string(e.Beside))
		}
	}
	return pairs
}

// TestFindsNeighbours guards against missing a queue that slows another one down, and against blaming other queues, or slow
// machines, for it.
func TestFindsNeighbours(t *testing.T) {
	w := newWorkload(20, 60, threeSpeeds)
	w.slowdown = heavySlows
	w.mixQueues(40 * anvilclock.Second)
	assert.DeepEqual(t, w.slowPairs(), []string{"wide beside heavy"})
	assert.Assert(t, w.estimator.Slows("wide", "heavy") && !w.estimator.Slows("heavy", "wide"))
	wrong := 0
	for i := range w.machines {
		if speed := float64(w.estimator.Speed(machineName(i))); speed/threeSpeeds(i) < 0.7 || speed/threeSpeeds(i) > 1.4 {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 3, "%d speeds of %d are wrong", wrong, w.machines)
}

// TestNoNeighbours guards against pairs of queues that are found although none slows another one down, with machines of
// three speeds and tasks of which three in a hundred take seven times as long.
func TestNoNeighbours(t *testing.T) {
	found, looks := 0, 0
	for seed := range uint64(20) {
		w := newWorkload(seed, 60, threeSpeeds)
		for range 5 {
			w.mixQueues(8 * anvilclock.Second)
			found += len(w.slowPairs())
			looks++
		}
	}
	t.Logf("%d pairs found in %d looks at 9", found, looks)
	assert.Assert(t, float64(found) <= falseEffects*float64(looks))
}

// TestNeighbourChanges guards against blaming a queue for more than half a minute after its runs have changed.
func TestNeighbourChanges(t *testing.T) {
	w := newWorkload(21, 60, func(int) float64 { return 1 })
	w.slowdown = heavySlows
	w.mixQueues(60 * anvilclock.Second)
	assert.Assert(t, w.estimator.Slows("wide", "heavy"))
	w.slowdown = nil
	w.mixQueues(28 * anvilclock.Second)
	assert.Assert(t, !w.estimator.Slows("wide", "heavy"))
}

// TestManyQueues guards against a table that grows with each queue that was ever configured, and against one that is full of
// queues that are gone.
func TestManyQueues(t *testing.T) {
	var n neighbours
	for i := range maxQueues + 5 {
		at := n.positionOf(anvilclock.Millis(i), anvilwork.QueueName(machineName(i)))
		assert.Equal(t, at < 0, i >= maxQueues)
	}
	at := n.positionOf(evidenceHalfLife+10, "new")
	assert.Equal(t, at, 0)
	assert.Equal(t, n.positionOf(evidenceHalfLife+10, anvilwork.QueueName(machineName(1))), 1)
}
