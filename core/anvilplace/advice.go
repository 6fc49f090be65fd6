package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anviladvice"
)

// spareTickets is how many times the room that a unit needs its tickets should
// cover, because targets fill up and fail.
const spareTickets = 2

// ticketed tells whether there is a ticket for a node.
func (u *unit) ticketed(n *node) bool {
	_, ok := n.planner.Ticket(u.tasks[0].StepKey(), n.target)
	return ok
}

// want names the targets for which a unit needs tickets: those with most room
// now, as many as its tasks need and some more.
func (p *planner) want(u *unit) {
	step := u.tasks[0].StepKey()
	var nodes []*node
	for _, n := range p.nodes {
		if n.usable && !n.slow && u.suits(n) && p.Allowed(step, n.target) && whole(n).Holds(need(u.step)) {
			nodes = append(nodes, n)
		}
	}
	room := func(n *node) int { return n.free.FitCount(need(u.step), len(u.tasks)) }
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(room(b), room(a)) })
	want := anviladvice.Candidates{Step: step, Advice: u.terms.Advice}
	covered := 0
	for _, n := range nodes {
		if covered >= spareTickets*len(u.tasks) {
			break
		}
		covered += max(1, room(n))
		want.Targets = append(want.Targets, anviladvice.Target{ID: n.target.ID, Born: n.target.Incarnation})
	}
	p.decision.TicketCandidates = append(p.decision.TicketCandidates, want)
}
