package anvilorder

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// withdrawSurplusStarts requests the stop of runs that are still to be started on a target, or to be started
// again because a start got no answer, if the target has no room for them any more: its capacity may have
// shrunk since they were placed, or nothing may have been heard of it for too long. Runs that the target may
// already have are the first to keep their room. A start that is in flight is looked at once it is answered.
func (t *Tracker) withdrawSurplusStarts(now anvilclock.Millis, target *target, state *anvilwork.State) {
	reached, unsent := target.pendingStarts()
	if len(reached)+len(unsent) == 0 {
		return
	}
	load, known := target.loadWithout(append(reached, unsent...), state), t.knowsCapacity(now, target)
	for _, task := range reached {
		load = load.Plus(state.NeedOf(task))
		target.runs[task].stopRequested = !known || !target.record.Resources.Holds(load)
	}
	for _, task := range unsent {
		if needed := load.Plus(state.NeedOf(task)); known && target.record.Resources.Holds(needed) {
			load = needed
			continue
		}
		target.runs[task].stopRequested = true
	}
}

// pendingStarts returns the tasks whose starts are to be sent: those that the target may already have from
// earlier starts, and those that it can't have. Both are ordered.
func (target *target) pendingStarts() (reached, unsent []anvilwork.Task) {
	for task, r := range target.runs {
		switch {
		case r.phase != starting || r.startInFlight || r.stopRequested:
		case r.startReached:
			reached = append(reached, task)
		default:
			unsent = append(unsent, task)
		}
	}
	slices.SortFunc(reached, anvilwork.Task.Compare)
	slices.SortFunc(unsent, anvilwork.Task.Compare)
	return reached, unsent
}

// loadWithout returns the resources that the other runs of a target than those of the given tasks occupy there,
// except runs that the target can't have and that are being withdrawn.
func (target *target) loadWithout(tasks []anvilwork.Task, state *anvilwork.State) anvilwork.Resources {
	var load anvilwork.Resources
	for task, r := range target.runs {
		if !slices.Contains(tasks, task) && !(r.stopRequested && r.neverSent()) {
			load = load.Plus(state.NeedOf(task))
		}
	}
	return load
}

// neverSent reports whether the target can't have the run, because no start has left this process.
func (r *run) neverSent() bool { return r.phase == starting && !r.startInFlight && !r.startReached }

// successorOf returns the record of an incarnation of a target that hasn't announced itself yet. It is at the
// same place as the former one, but may be of another service and kind, so that nothing is placed there until
// its first announcement. Any sequence number of that is higher than 0.
func successorOf(former anvilwork.Target, incarnation anvilwork.Incarnation) anvilwork.Target {
	return anvilwork.Target{
		ID: former.ID, Incarnation: incarnation, Address: former.Address,
		Zone: former.Zone, Rack: former.Rack, Machine: former.Machine,
	}
}

// SetStateAge tells the Tracker of a new leader for how long no leader may have heard the announcements of targets.
// What they have announced in that time may have been lost. It must be called before Sync.
func (t *Tracker) SetStateAge(age anvilclock.Millis) { t.stateAge = max(0, age) }

// ageAnnouncements makes the announcements of all targets as old as the state that this leader took over.
func (t *Tracker) ageAnnouncements() {
	for _, target := range t.targets {
		target.lastAnnounced, target.undated = t.electedAt-t.stateAge, nil
	}
}

// knowsCapacity reports whether the latest announcement of a target is recent enough to start runs there.
func (t *Tracker) knowsCapacity(now anvilclock.Millis, target *target) bool {
	return t.timing.MaxAnnouncementAge == 0 || now-target.announcedAt() <= t.timing.MaxAnnouncementAge
}
