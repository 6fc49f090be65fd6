package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// A step avoids the targets on which its tasks have failed, and those that are slow or fail other tasks, for as long
// as there are others. If there are none it must not wait: tasks that last may fail any number of times, and a
// label may leave a step fewer targets than it has attempts.

// failurePatience is how long a step waits for room on the targets where it has failed least often, before it is
// placed on others that have room now. Runs there may last, so the room may never come.
const failurePatience = anvilclock.Second

// tolerate determines on which of the targets that a step avoids it may be placed all the same.
func (p *planner) tolerate(u *waitingStep) {
	u.usesSlow = p.slowNodes > 0 && !p.hasRoomWithoutSlow(u)
	if len(u.failures) > 0 {
		u.tolerated = p.toleratedFailures(u)
	}
}

// hasRoomWithoutSlow reports whether the usable targets that aren't slow could take the tasks that a step must place
// together if nothing else ran there.
func (p *planner) hasRoomWithoutSlow(u *waitingStep) bool {
	needed := u.together()
	for _, n := range p.all.nodes {
		if n.usable && !n.slow && p.suits(u, n) {
			needed -= u.roomWithin(n.target.Resources, needed)
		}
		if needed <= 0 {
			return true
		}
	}
	return false
}

// toleratedFailures returns the smallest number of failures of a step on a target such that the targets with at most
// that many have room for it: if nothing else ran there or, once the step has waited for failurePatience, now.
func (p *planner) toleratedFailures(u *waitingStep) int {
	var nodes []*node
	for _, n := range p.all.nodes {
		if !n.unavailableTo(u.usesSlow) && p.suits(u, n) {
			nodes = append(nodes, n)
		}
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(u.failures[a.target.ID], u.failures[b.target.ID]) })
	patient := p.Now-u.waitingSince() < failurePatience
	needed, tolerated := u.together(), 0
	for _, n := range nodes {
		resources := n.free
		if patient {
			resources = n.target.Resources
		}
		if room := u.roomWithin(resources, needed); room > 0 {
			needed, tolerated = needed-room, max(tolerated, u.failures[n.target.ID])
		}
		if needed <= 0 {
			break
		}
	}
	return tolerated
}

// suits reports whether a step may run on a node, apart from its resources and from failures.
func (p *planner) suits(u *waitingStep, n *node) bool {
	if n.target.Service != u.info.policy.Service || !u.hasLabel(n.target) {
		return false
	}
	return !u.info.policy.Advice.Needed() || p.Allowed(u.tasks[0].StepKey(), n.target)
}

// together returns how many tasks of the step must be placed at a time.
func (u *waitingStep) together() int {
	if u.step.Gang {
		return len(u.tasks)
	}
	return 1
}

// roomWithin returns how many tasks of the step fit in the resources of a node, at most limit.
func (u *waitingStep) roomWithin(resources anvilwork.Resources, limit int) int {
	if u.step.MaxPerTarget > 0 {
		limit = min(limit, u.step.MaxPerTarget)
	}
	return resources.FitCount(u.need, limit)
}

// waitingSince returns when the latest of the waiting tasks began to wait.
func (u *waitingStep) waitingSince() anvilclock.Millis {
	var since anvilclock.Millis
	for _, task := range u.tasks {
		since = max(since, u.info.job.State(task).PhaseSince)
	}
	return since
}

// firstWaitingSince returns when the first of the waiting tasks began to wait.
func (u *waitingStep) firstWaitingSince() anvilclock.Millis {
	first := u.info.job.State(u.tasks[0]).PhaseSince
	for _, task := range u.tasks[1:] {
		first = min(first, u.info.job.State(task).PhaseSince)
	}
	return first
}

// avoids reports whether the step has failed more often on a target than is tolerated.
func (u *waitingStep) avoids(id anvilid.TargetID) bool { return u.failures[id] > u.tolerated }
