package anvilplace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// zones puts the targets of each rack into a zone of the rack's name.
func (w *testCluster) zones() {
	for _, target := range w.state.Targets() {
		target.Zone = anvilid.ZoneName(target.Rack)
	}
}

func (w *testCluster) evacuate(zone anvilid.ZoneName) {
	w.apply(anvilwork.Command{Evacuate: &anvilwork.Evacuate{Zone: zone}})
}

// TestEvacuatedZone guards against a plan that uses an evacuated zone: by a placement, by a claim that other gangs
// then lack, by stopping runs there for an urgent job, or by moving runs away from there. The work that runs there
// goes on, and the zone is used again after its return.
func TestEvacuatedZone(t *testing.T) {
	w := newTestCluster(t, 2, 2, 8)
	w.zones()
	w.submit("before", "common", "b", anvilwork.Step{Count: 4, Need: gpus(8)})
	assert.Equal(t, len(w.plan().Placements), 4)
	w.evacuate("r0")
	w.submit("urgent", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8)})
	decision := w.plan()
	assert.Equal(t, len(decision.Placements), 0)
	assert.Equal(t, len(decision.Evictions), 1)
	assert.Assert(t, strings.HasPrefix(string(decision.Evictions[0].Target), "r1-"))
	for target := range decision.Claims {
		assert.Assert(t, strings.HasPrefix(string(target), "r1-"))
	}

	other := newTestCluster(t, 2, 2, 0)
	other.zones()
	other.evacuate("r0")
	other.submit("gang", "common", "b", anvilwork.Step{Count: 4, Need: gpus(8), Gang: true})
	other.submit("single", "common", "b", anvilwork.Step{Count: 4, Need: gpus(8)})
	for _, placement := range other.plan().Placements {
		assert.Assert(t, strings.HasPrefix(string(placement.Assignments[0].Target), "r1-"))
	}
	unplaced := explained(other, "common", anvilwork.Step{Count: 1, Need: gpus(1)}, nil)
	assert.DeepEqual(t, counts(unplaced[0]), map[string]int{"evacuated": 2, "full": 2})
	other.apply(anvilwork.Command{EndEvacuation: &anvilwork.EndEvacuation{Zone: "r0"}})
	assert.Assert(t, len(other.plan().Placements) > 0)
}

// TestClaimMovesFromEvacuatedZone guards against a gang that waits for targets which were claimed for it in a zone that
// has been evacuated since, while it could have others.
func TestClaimMovesFromEvacuatedZone(t *testing.T) {
	w := newTestCluster(t, 2, 4, 0)
	w.zones()
	w.submit("running", "common", "b", anvilwork.Step{Count: 8, Need: gpus(8), Estimate: 6000})
	w.plan()
	w.submit("gang", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), Gang: true})
	w.now += gangClaimDelay
	w.plan()
	claimed := func() (zones []anvilid.RackName) {
		for id := range w.claimed {
			target, _ := w.state.Target(id)
			zones = append(zones, target.Rack)
		}
		return zones
	}
	before := claimed()
	assert.Equal(t, len(before), 1)
	w.evacuate(anvilid.ZoneName(before[0]))
	w.plan()
	after := claimed()
	assert.Equal(t, len(after), 1)
	assert.Assert(t, after[0] != before[0])
}
