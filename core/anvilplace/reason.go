package anvilplace

import "anvilshunt/core/anvilwork"

// Reason says why none of the waiting tasks of a step was placed on a target.
type Reason uint8

// Reasons in the order in which they are checked: a target counts for the first one that applies.
const (
	// HasRoom means that nothing speaks against the target, for example because a gang needs more targets.
	HasRoom Reason = iota
	OtherService
	NoLabel
	// TooSmall means that the task doesn't fit even if nothing else runs on the target.
	TooSmall
	Leaving
	Evacuated // its zone is evacuated
	// NotUsable means that Input.Usable excludes the target and Input.WhyNotUsable doesn't say why. The next
	// ones are the causes that it tells apart.
	NotUsable
	NotAnnounced    // it has neither announced itself nor answered a call recently
	CapacityUnknown // its latest announcement is too old to rely on its capacity
	CallUnanswered  // it has not answered the latest call
	StartRefused    // it has refused a start recently
	InUpkeep        // its machine is in maintenance, or is drained for it
	Avoided         // it is slow, or ejected because of failures
	ReservedForUrgent
	ClaimedForOther
	// Isolated means that tasks under which targets have crashed are kept apart from others.
	Isolated
	FailedThere // the step has failed there more often than on other targets
	NoTicket
	AtTargetLimit // Step.MaxPerTarget
	NoFreeCapacity
	TooSlow // the step would end late there and waits for a faster target
	reasons
)

// reasonNames are the names of the reasons in log lines.
var reasonNames = [reasons]string{
	"fits", "service", "label", "small", "leaving", "evacuated", "unusable", "silent", "unknown", "unanswered", "refused", "upkeep",
	"avoided", "reserved", "claimed", "isolated", "failed", "ticket", "limit", "full", "late",
}

func (r Reason) String() string { return reasonNames[r] }

// ReasonCounts has the number of targets for each reason.
type ReasonCounts [reasons]int

// Each calls f for each reason that applies to any target.
func (c *ReasonCounts) Each(f func(Reason, int)) {
	for reason, count := range c {
		if count > 0 {
			f(Reason(reason), count)
		}
	}
}

// Unplaced says why the waiting tasks of a step were not placed.
type Unplaced struct {
	Step anvilwork.StepKey
	// Waiting is the number of waiting tasks, and Together how many of them must be placed at a time.
	Waiting, Together int
	// Throttled means that no target was considered, because as many starts are in flight as may be.
	Throttled bool
	// Considered is the number of targets, and Counts how many of them there are for each reason. Room is the
	// number of tasks for which those with HasRoom have room together.
	Considered int
	Counts     ReasonCounts
	Room       int
	// Claimed is the number of targets that are claimed for the job.
	Claimed int
}

// explain adds an Unplaced for a step that is to be explained, see Input.Explain. It must be called right after
// the attempt to place the step.
func (p *planner) explain(u *waitingStep, throttled bool) {
	step := u.tasks[0].StepKey()
	if !p.Explain[step] {
		return
	}
	unplaced := Unplaced{Step: step, Waiting: len(u.tasks), Together: u.together(), Throttled: throttled}
	if !throttled {
		p.countReasons(u, &unplaced)
	}
	p.decision.Unplaced = append(p.decision.Unplaced, unplaced)
}

func (p *planner) countReasons(u *waitingStep, unplaced *Unplaced) {
	unplaced.Considered = len(p.all.nodes)
	for _, n := range p.all.nodes {
		reason := p.reasonAgainst(u, n)
		unplaced.Counts[reason]++
		if reason == HasRoom {
			unplaced.Room += u.taskCapacity(n, len(u.tasks), n.free)
		}
		if n.claimedBy != "" && n.claimedBy == p.currentJob {
			unplaced.Claimed++
		}
	}
}

// reasonAgainst returns the first reason that keeps the tasks of the current step from a node. It is HasRoom
// exactly if taskCapacity is above 0 for the available resources and the step doesn't wait for a faster target.
func (p *planner) reasonAgainst(u *waitingStep, n *node) Reason {
	switch {
	case n.target.Service != u.info.policy.Service:
		return OtherService
	case !u.hasLabel(n.target):
		return NoLabel
	case n.target.Resources.FitCount(u.need, 1) <= 0:
		return TooSmall
	case n.target.Leaving:
		return Leaving
	case n.evacuated:
		return Evacuated
	case !n.usable:
		return p.whyNotUsable(n)
	case n.avoidedBy(p.currentUsesSlow):
		return Avoided
	case n.keptForUrgent():
		return ReservedForUrgent
	case n.claimedByOther():
		return ClaimedForOther
	case n.excluded():
		return Isolated
	case u.avoids(n.target.ID):
		return FailedThere
	case u.info.policy.Advice.Needed() && !u.hasTicket(n):
		return NoTicket
	case u.step.MaxPerTarget > 0 && n.taskCounts[u.tasks[0].StepKey()] >= u.step.MaxPerTarget:
		return AtTargetLimit
	case n.free.FitCount(u.need, 1) <= 0:
		return NoFreeCapacity
	case n.tier < u.awaitedTier:
		return TooSlow
	}
	return HasRoom
}

func (p *planner) whyNotUsable(n *node) Reason {
	if p.WhyNotUsable == nil {
		return NotUsable
	}
	return p.WhyNotUsable(n.target.ID)
}
