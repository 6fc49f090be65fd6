package anvillead

import (
	"context"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// departurePatience is how long the end of a target isn't acknowledged while runs are assigned to it. They are
// stopped meanwhile. A target that gets no acknowledgement ends by itself after some seconds.
const departurePatience = 2 * anvilclock.Second

// depart handles a target's statement that it ends, and reports whether it may end now. The target goes on
// until it receives the acknowledgement, which may be lost. Its runs therefore stay assigned until they have
// ended, or can't be running any more.
func (l *Leader) depart(ctx context.Context, id anvilid.TargetID) bool {
	var target anvilwork.Target
	var runs int
	l.shared.With(func(s *shared) {
		if known, ok := s.state.Target(id); ok {
			target = *known
		}
		runs = len(s.state.Runs(id))
	})
	switch {
	case !target.Leaving:
		// The target is unknown, or this is a late call of an earlier incarnation, which must not end the
		// runs of the present one.
		return true
	case target.Departed():
		// Only a target with runs stays in the state after its departure.
		return l.logTime()-target.DepartedAt >= departurePatience
	}
	leave := &anvilwork.Leave{Target: id, Incarnation: target.Incarnation, Final: true}
	change := changedTarget{target: target, runs: runs, command: anvilwork.Command{Leave: leave}}
	return l.commitTargets(ctx, []changedTarget{change}) && runs == 0
}
