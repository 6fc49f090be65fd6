package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// newNeighbourCluster returns a cluster with a run of queue "advised" on the first target and one of queue "common" on the
// second, both of the same size.
func newNeighbourCluster(t *testing.T, size int) *testCluster {
	w := newTestCluster(t, 1, size, 0)
	w.tickets = map[anvilid.TargetID]anvilwork.Ticket{"r0-00": "t"}
	w.submit("heavy", "advised", "b", anvilwork.Step{Count: 1, Need: gpus(4)})
	assert.Equal(t, len(w.plan().Placements), 1)
	w.slow["r0-00"] = true
	w.submit("light", "common", "b", anvilwork.Step{Count: 1, Need: gpus(4)})
	assert.Equal(t, len(w.plan().Placements), 1)
	delete(w.slow, "r0-00")
	return w
}

func keepsApart(a, b anvilwork.QueueName) bool {
	return a == "common" && b == "advised" || a == "advised" && b == "common"
}

// TestNeighboursApart guards against tasks beside others that slow them down while a target is as good, against empty targets
// that are broken into for the sake of neighbours, and against tasks that wait because of them.
func TestNeighboursApart(t *testing.T) {
	for name, test := range map[string]struct {
		apart    func(a, b anvilwork.QueueName) bool
		size     int
		tasks    int
		assigned []anvilid.TargetID
	}{
		"nothing known":      {nil, 3, 1, []anvilid.TargetID{"r0-00"}},
		"known":              {keepsApart, 3, 1, []anvilid.TargetID{"r0-01"}},
		"empty target stays": {keepsApart, 3, 2, []anvilid.TargetID{"r0-01", "r0-00"}},
		"only disturbed fit": {keepsApart, 2, 2, []anvilid.TargetID{"r0-01", "r0-00"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNeighbourCluster(t, test.size)
			w.submit("new", "common", "b", anvilwork.Step{Count: test.tasks, Need: gpus(4)})
			input := w.input()
			input.Apart = test.apart
			for _, placement := range Plan(input).Placements {
				w.apply(anvilwork.Command{Place: &placement})
			}
			assert.DeepEqual(t, w.assigned("new"), test.assigned)
		})
	}
}
