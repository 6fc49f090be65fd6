package anvillead

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// maxPendingCrashes bounds the crashes that wait to be logged. On a voter that doesn't lead they are dropped.
const maxPendingCrashes = 1000

// collectCrashes moves the crashes that the replicated state has recorded to pendingCrashes if this voter
// leads.
func (s *shared) collectCrashes() {
	crashes := s.state.TakeCrashes()
	if s.term == 0 {
		s.pendingCrashes = nil
		return
	}
	if len(s.pendingCrashes) < maxPendingCrashes {
		s.pendingCrashes = append(s.pendingCrashes, crashes...)
	}
}

// logCrashes logs the targets that have crashed since the last step, with the runs that were lost.
func (r *leadership) logCrashes(s *shared) {
	for _, crash := range s.pendingCrashes {
		r.summary.crashes++
		r.summary.lostRuns += len(crash.Lost)
		r.log.Write(anvillogs.TargetCrashed, zap.String("target", string(crash.Target)), zap.Int("runs", len(crash.Lost)))
		for _, lost := range crash.Lost {
			r.logLostRun(crash, lost)
		}
	}
	s.pendingCrashes = nil
}

func (r *leadership) logLostRun(crash anvilwork.Crash, lost anvilwork.LostRun) {
	r.log.Write(anvillogs.RunLost, zap.Stringer("task", lost.Task), zap.Uint64("run", uint64(lost.Run)),
		zap.String("target", string(crash.Target)), zap.Int64("placed", int64(lost.Placed)),
		zap.Bool("suspect", lost.Suspect), zap.Int("crashes", lost.Crashes))
	if lost.GivenUp {
		r.log.Write(anvillogs.JobGivenUp, zap.String("job", string(lost.Task.Job)), zap.Stringer("task", lost.Task), zap.Int("crashes", lost.Crashes))
	}
}
