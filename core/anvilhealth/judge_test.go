package anvilhealth

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// The seed of the property tests is fixed; the command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000")

func name(i int) anvilid.TargetID { return anvilid.TargetID(fmt.Sprintf("t%d", i)) }

func judge(targets int) *Monitor {
	j := New(1)
	for i := range targets {
		j.Add(name(i), "s", 8)
	}
	return j
}

// TestEjection guards against targets that fail and keep drawing work, and
// against ejections that a fault of the whole service causes.
func TestEjection(t *testing.T) {
	alternate := func(bad Outcome) func(int) Outcome {
		return func(i int) Outcome { return []Outcome{bad, Success}[i%2] }
	}
	always := func(o Outcome) func(int) Outcome { return func(int) Outcome { return o } }
	after := func(calm int, o Outcome) func(int) Outcome {
		return func(i int) Outcome { return map[bool]Outcome{true: Success, false: o}[i < calm] }
	}
	for _, c := range []struct {
		name          string
		first, others func(round int) Outcome
		rounds        int
		want          State
	}{
		{"fails everything", always(Failure), always(Success), 5, Ejected},
		{"refuses connections", always(Refused), always(Success), 2, Ejected},
		{"times out", always(Timeout), always(Success), 5, Ejected},
		{"fails half", alternate(Failure), always(Success), 21, Ejected},
		{"always slow", always(Slow), always(Success), 21, Ejected},
		{"all start to fail", after(500, Failure), after(500, Failure), 600, Healthy},
		{"all start to refuse", after(500, Refused), after(500, Refused), 600, Healthy},
		{"starts to fail", after(500, Failure), always(Success), 505, Ejected},
		{"few failures", always(Failure), always(Success), 4, Healthy},
		{"all fail", always(Failure), always(Failure), 100, Healthy},
		{"all fail half", alternate(Failure), alternate(Failure), 100, Healthy},
		{"all are slow", always(Slow), always(Slow), 100, Healthy},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := judge(4)
			for round := range c.rounds {
				for i := 3; i > 0; i-- {
					j.Record(anvilclock.Millis(round), name(i), c.others(round))
					assert.Equal(t, j.State(name(i)), Healthy)
				}
				j.Record(anvilclock.Millis(round), name(0), c.first(round))
			}
			assert.Equal(t, j.State(name(0)), c.want)
		})
	}
}

// TestProbesAndReturn guards against probes that flood a failing target and
// against a returning target that gets full load at once.
func TestProbesAndReturn(t *testing.T) {
	j := judge(2)
	for range 5 {
		j.Record(0, name(1), Success)
		j.Record(0, name(0), Failure)
	}
	assert.Equal(t, j.Limit(name(0), 8), anvilid.SlotCount(0))
	var gaps []anvilclock.Millis
	last, now := anvilclock.Millis(0), anvilclock.Millis(0)
	for ; len(gaps) < 8; now++ {
		if len(j.Probes(now)) > 0 {
			assert.Equal(t, len(j.Probes(now)), 0, "a second probe at the same time")
			gaps = append(gaps, now-last)
			last = now
			j.Record(now, name(0), Failure)
		}
	}
	t.Log("gaps between probes in ms:", gaps)
	for i, gap := range gaps {
		want := min(probeLongest, probeFirst<<i)
		assert.Assert(t, gap >= want*90/100 && gap <= want*110/100+1, "probe %d after %d ms", i, gap)
	}
	for range probesToReturn {
		for len(j.Probes(now)) == 0 {
			now++
		}
		j.Record(now, name(0), Success)
	}
	var limits []anvilid.SlotCount
	for range 4 {
		limits = append(limits, j.Limit(name(0), 8))
		for range stepOutcomes {
			j.Record(now, name(0), Success)
		}
	}
	assert.DeepEqual(t, limits, []anvilid.SlotCount{1, 2, 4, 8})
	assert.Equal(t, j.State(name(0)), Healthy)
}

// TestHalfStays guards against ejections that leave too few targets,
// whatever the outcomes and however many targets come and go.
func TestHalfStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(1)
		present := map[int]bool{}
		now := anvilclock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 5).Draw(t, "target")
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				j.Remove(name(i))
				delete(present, i)
			case 1, 2:
				j.Add(name(i), "s", 8)
				present[i] = true
			case 3:
				now += anvilclock.Millis(rapid.IntRange(0, 3000).Draw(t, "advance"))
				j.Probes(now)
			default:
				bad := i >= 2 // most fail, so that as many as possible are ejected
				for range 3 {
					j.Record(now, name(i), map[bool]Outcome{true: Refused, false: Success}[bad])
				}
			}
			ejected := 0
			for i := range present {
				if j.Limit(name(i), 8) == 0 {
					ejected++
				}
			}
			assert.Assert(t, 2*ejected <= len(present), "%d of %d are ejected", ejected, len(present))
		}
	})
}
