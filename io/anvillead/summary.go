package anvillead

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

const (
	// summaryInterval is the interval at which a leader logs its summary.
	summaryInterval = 10 * anvilclock.Second
	// maxMeasured is the longest time that the histograms of a summary tell apart.
	maxMeasured = 10 * anvilclock.Minute
)

// stopReason says why the leader stopped a run before its end.
type stopReason int

// Reasons for stopping a run.
const (
	stoppedForUrgent stopReason = iota
	stoppedAsStraggler
	stoppedAsTornGang // the run of another member has ended
	stoppedAsDone     // the job has ended or was cancelled, or an earlier run of the task was done
	stopReasons
)

// summary counts what a leader did since the last summary was logged. Only the goroutine of the term uses
// it.
type summary struct {
	since anvilclock.Millis
	// plan is how long a plan took, commit how long the commit of a step took, and start the time from
	// the acceptance of a job to the first order to start one of its runs, all in milliseconds.
	plan, commit, start, urgentStart *hdrhistogram.Histogram
	// stops counts the runs that were stopped by reason, and lost sums up their work in core-seconds, where
	// an accelerator counts as several cores.
	stops [stopReasons]int
	lost  [stopReasons]float64
	// placed counts the runs that were placed, and waiting is the number of jobs without a run at the
	// latest plan.
	placed, waiting int
	// crashes counts the targets that crashed, and lostRuns the runs that were lost with them.
	crashes, lostRuns int
	// ignoredBefore is Leader.ignoredEntries when the summary was begun.
	ignoredBefore uint64
}

func newSummary(now anvilclock.Millis, ignored uint64) *summary {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxMeasured), 2) }
	return &summary{since: now, ignoredBefore: ignored, plan: histogram(), commit: histogram(), start: histogram(), urgentStart: histogram()}
}

// record adds a duration to a histogram. Longer ones than maxMeasured count as maxMeasured.
func record(histogram *hdrhistogram.Histogram, span anvilclock.Millis) {
	_ = histogram.RecordValue(int64(min(max(span, 0), maxMeasured))) // fails only for larger values
}

// recordStart records how long a job has waited for its first run.
func (s *summary) recordStart(waited anvilclock.Millis, urgent bool) {
	if urgent {
		record(s.urgentStart, waited)
		return
	}
	record(s.start, waited)
}

// recordStop records that a run was stopped, with the work that it had done since it was assigned.
func (s *summary) recordStop(reason stopReason, job *anvilwork.Job, task anvilwork.Task, now anvilclock.Millis) {
	s.stops[reason]++
	s.lost[reason] += anvilplace.RunLoss(job, task, now) / float64(anvilclock.Second)
}

// fields returns the summary as fields of a log line.
func (s *summary) fields() []zap.Field {
	fields := []zap.Field{
		zap.Int("placed", s.placed), zap.Int("waiting", s.waiting),
		zap.Int("urgent", s.stops[stoppedForUrgent]), zap.Int("straggler", s.stops[stoppedAsStraggler]),
		zap.Int("torn", s.stops[stoppedAsTornGang]), zap.Int("ended", s.stops[stoppedAsDone]),
		zap.Int("lostUrgent", int(s.lost[stoppedForUrgent])), zap.Int("lostStraggler", int(s.lost[stoppedAsStraggler])),
		zap.Int("lostTorn", int(s.lost[stoppedAsTornGang])), zap.Int("crashes", s.crashes), zap.Int("lostRuns", s.lostRuns),
	}
	for _, h := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{{"plan", s.plan}, {"commit", s.commit}, {"start", s.start}, {"urgentStart", s.urgentStart}} {
		fields = append(fields, zap.Int64s(h.name, []int64{
			h.histogram.TotalCount(), h.histogram.ValueAtQuantile(50), h.histogram.ValueAtQuantile(99), h.histogram.Max(),
		}))
	}
	return fields
}

// logSummary logs the summary every summaryInterval, and begins a new one.
func (r *leadership) logSummary(now anvilclock.Millis) {
	if now-r.summary.since < summaryInterval {
		return
	}
	ignored := r.ignoredEntries()
	idle, longest := r.idle.takeSummary()
	fields := append(r.summary.fields(), zap.Uint64("ignored", ignored-r.summary.ignoredBefore),
		zap.Int("idle", idle), zap.Int64("longestIdle", int64(longest)))
	r.log.Write(anvillogs.LeaderSummary, append(fields, r.speedFields()...)...)
	r.summary = newSummary(now, ignored)
}
