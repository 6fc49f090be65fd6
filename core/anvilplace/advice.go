package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anviladvice"
)

// ticketSurplus is a factor: tickets are requested for so many targets that ticketSurplus*n tasks fit
// on them, where n is the number of waiting tasks of the step. The surplus covers targets that fill up
// or fail before the tasks start.
const ticketSurplus = 2

// hasTicket reports whether the leader has a valid ticket for the node. A ticket is the permission of the
// advice service to run the step there.
func (u *waitingStep) hasTicket(n *node) bool {
	_, ok := n.planner.Ticket(u.tasks[0].StepKey(), n.target)
	return ok
}

// requestTickets adds the targets for which a step needs tickets to Decision.TicketCandidates, those
// with room for the most tasks first. A target that is full at the moment counts as room for one task,
// because runs on it may end. An overdue step needs tickets for slow targets, too.
func (p *planner) requestTickets(u *waitingStep) {
	step := u.tasks[0].StepKey()
	usesSlow := u.usesSlow || p.standsStill(u)
	var nodes []*node
	for _, n := range p.all.nodes {
		if n.usable && (!n.slow || usesSlow) && u.eligible(n) && p.Allowed(step, n.target) && n.target.Resources.Holds(u.need) {
			nodes = append(nodes, n)
		}
	}
	capacity := func(n *node) int { return n.free.FitCount(u.need, len(u.tasks)) }
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(capacity(b), capacity(a)) })
	want := anviladvice.Candidates{Step: step, Advice: u.info.policy.Advice}
	covered := 0
	for _, n := range nodes {
		if covered >= ticketSurplus*len(u.tasks) {
			break
		}
		covered += max(1, capacity(n))
		want.Targets = append(want.Targets, anviladvice.Target{ID: n.target.ID, Incarnation: n.target.Incarnation})
	}
	p.decision.TicketCandidates = append(p.decision.TicketCandidates, want)
}
