package anvilorder

import "anvilshunt/core/anvilwork"

// withdrawEvacuatedStarts requests the stop of runs that are still to be started, or to be started again because a
// start got no answer, on a target whose zone is evacuated. A start that is in flight is looked at once it is
// answered. Runs that the target has confirmed go on.
func (target *target) withdrawEvacuatedStarts(state *anvilwork.State) {
	if !state.Evacuated(target.record.Zone) {
		return
	}
	for _, r := range target.runs {
		if r.phase == starting && !r.startInFlight {
			r.stopRequested = true
		}
	}
}
