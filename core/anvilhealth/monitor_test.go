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

// The seed of the random tests is fixed, so that each run gives the same result. -rapid.seed on the
// command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000")

func name(i int) anvilid.TargetID { return anvilid.TargetID(fmt.Sprintf("t%d", i)) }

func newTestMonitor(targets int) *Monitor {
	m := New(1)
	for i := range targets {
		m.Add(name(i), "s", 8)
	}
	return m
}

// TestEjection guards against a failing target that isn't ejected, which would attract requests because
// it fails quickly, and against ejecting targets because of a fault of the whole service.
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
			m := newTestMonitor(4)
			for round := range c.rounds {
				for i := 3; i > 0; i-- {
					m.Record(anvilclock.Millis(round), name(i), c.others(round))
					assert.Equal(t, m.State(name(i)), Healthy)
				}
				m.Record(anvilclock.Millis(round), name(0), c.first(round))
			}
			assert.Equal(t, m.State(name(0)), c.want)
		})
	}
}

// TestProbesAndReturn guards against flooding a failing target with probes, and against giving a
// returning target its full load at once.
func TestProbesAndReturn(t *testing.T) {
	m := newTestMonitor(2)
	for range 5 {
		m.Record(0, name(1), Success)
		m.Record(0, name(0), Failure)
	}
	assert.Equal(t, m.Limit(name(0), 8), anvilid.SlotCount(0))
	var gaps []anvilclock.Millis
	last, now := anvilclock.Millis(0), anvilclock.Millis(0)
	for ; len(gaps) < 8; now++ {
		if len(m.Probes(now)) > 0 {
			assert.Equal(t, len(m.Probes(now)), 0, "a second probe is sent while one is under way")
			gaps = append(gaps, now-last)
			last = now
			m.Record(now, name(0), Failure)
		}
	}
	t.Log("gaps between probes in ms:", gaps)
	for i, gap := range gaps {
		want := min(maxProbeInterval, firstProbeInterval<<i)
		assert.Assert(t, gap >= want*90/100 && gap <= want*110/100+1, "probe %d was sent after %d ms", i, gap)
	}
	for range probeSuccessesToReturn {
		for len(m.Probes(now)) == 0 {
			now++
		}
		m.Record(now, name(0), Success)
	}
	var limits []anvilid.SlotCount
	for range 4 {
		limits = append(limits, m.Limit(name(0), 8))
		for range successesPerStep {
			m.Record(now, name(0), Success)
		}
	}
	assert.DeepEqual(t, limits, []anvilid.SlotCount{1, 2, 4, 8})
	assert.Equal(t, m.State(name(0)), Healthy)
}

// TestAtMostHalfEjected guards against ejecting more than half of the targets of a service. It records
// random outcomes while targets are added and removed.
func TestAtMostHalfEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(1)
		present := map[int]bool{}
		now := anvilclock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 5).Draw(t, "target")
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				m.Remove(name(i))
				delete(present, i)
			case 1, 2:
				m.Add(name(i), "s", 8)
				present[i] = true
			case 3:
				now += anvilclock.Millis(rapid.IntRange(0, 3000).Draw(t, "advance"))
				m.Probes(now)
			default:
				bad := i >= 2 // four of the six targets always fail, more than may be ejected
				for range 3 {
					m.Record(now, name(i), map[bool]Outcome{true: Refused, false: Success}[bad])
				}
			}
			ejected := 0
			for i := range present {
				if m.Limit(name(i), 8) == 0 {
					ejected++
				}
			}
			assert.Assert(t, 2*ejected <= len(present), "%d of %d targets are ejected", ejected, len(present))
		}
	})
}
