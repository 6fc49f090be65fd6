package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anviladvice"
)

// ticketSurplus is how many times the tasks of a step the targets with tickets should be able to
// hold, because targets fill up and fail.
const ticketSurplus = 2

// hasTicket reports whether a valid ticket for a node is known.
func (u *waitingStep) hasTicket(n *node) bool {
	_, ok := n.planner.Ticket(u.tasks[0].StepKey(), n.target)
	return ok
}

// requestTickets lists the targets for which a step needs tickets. Those with the most free
// resources come first, as many as its tasks need and some more.
func (p *planner) requestTickets(u *waitingStep) {
	step := u.tasks[0].StepKey()
	var nodes []*node
	for _, n := range p.nodes {
		if n.usable && !n.slow && u.eligible(n) && p.Allowed(step, n.target) && totalResources(n).Holds(need(u.step)) {
			nodes = append(nodes, n)
		}
	}
	room := func(n *node) int { return n.free.FitCount(need(u.step), len(u.tasks)) }
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(room(b), room(a)) })
	want := anviladvice.Candidates{Step: step, Advice: u.policy.Advice}
	covered := 0
	for _, n := range nodes {
		if covered >= ticketSurplus*len(u.tasks) {
			break
		}
		covered += max(1, room(n))
		want.Targets = append(want.Targets, anviladvice.Target{ID: n.target.ID, Incarnation: n.target.Incarnation})
	}
	p.decision.TicketCandidates = append(p.decision.TicketCandidates, want)
}
