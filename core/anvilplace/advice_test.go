package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestAdvised covers steps that may run only on targets for which the advice service has given a
// ticket. It guards against starting a task without a ticket, against requesting tickets for targets
// that are full or denied while others are free, and against a job that waits although tickets for
// further targets could be requested.
func TestAdvised(t *testing.T) {
	w := newTestCluster(t, 2, 2, 0)
	w.submit("full", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	full := w.assigned("full")[0]
	w.submit("a", "advised", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	decision := w.plan()
	assert.Equal(t, len(decision.Placements), 0)
	assert.Equal(t, len(decision.TicketCandidates), 1)
	asked := decision.TicketCandidates[0].Targets
	assert.Equal(t, len(asked), ticketSurplus)
	for _, target := range asked {
		assert.Assert(t, target.ID != full)
	}

	w.tickets = map[anvilid.TargetID]anvilwork.Ticket{asked[0].ID: "", asked[1].ID: ""}
	decision = w.plan()
	assert.Equal(t, len(decision.TicketCandidates[0].Targets), 2, "only the targets without an answer are asked about")
	third := decision.TicketCandidates[0].Targets[0].ID
	w.tickets[third] = "x"
	decision = w.plan()
	assert.Equal(t, len(decision.Placements), 1)
	assert.Equal(t, decision.Placements[0].Assignments[0].Target, third)
	assert.Equal(t, decision.Placements[0].Assignments[0].Ticket, anvilwork.Ticket("x"))
}
