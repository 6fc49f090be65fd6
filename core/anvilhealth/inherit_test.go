package anvilhealth

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestInherit guards against an ejected target that its next owner takes for healthy, and against an owner
// whose targets are all ejected: it would have no request that could be a probe.
func TestInherit(t *testing.T) {
	m := New(1)
	m.Add(name(0), "s", 8)
	m.Inherit(name(0))
	assert.Equal(t, len(m.EjectInherited(0)), 0)
	assert.Equal(t, m.Limit(name(0), 8), anvilid.SlotCount(1))
	m.Add(name(1), "s", 8)
	assert.DeepEqual(t, m.EjectInherited(0), []anvilid.TargetID{name(0)})
	assert.Equal(t, m.State(name(0)), Ejected)
	assert.Equal(t, len(m.EjectInherited(0)), 0)

	// It returns like any ejected target, and is not ejected again for what its former owner saw.
	now := anvilclock.Millis(0)
	for range probeSuccessesToReturn {
		now += 2 * firstProbeInterval
		assert.DeepEqual(t, m.Probes(now), []anvilid.TargetID{name(0)})
		m.Record(now, name(0), Success)
	}
	assert.Equal(t, m.State(name(0)), Returning)
	assert.Equal(t, len(m.EjectInherited(now)), 0)
	for range 3 * successesPerStep {
		m.Record(now, name(0), Success)
	}
	assert.Equal(t, m.State(name(0)), Healthy)

	m.Inherit(name(1))
	m.Remove(name(1))
	m.Add(name(1), "s", 8)
	assert.Equal(t, len(m.EjectInherited(now)), 0)
	assert.Equal(t, m.State(name(1)), Healthy)
}
