package anvilslot

import (
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// Estimation of foreign usage.
//
// Foreign usage is the usage of a target that the own requests, which this instance sent under its
// leases, do not explain. Once this instance has adopted a target, no other instance can start work
// on it. Foreign usage can therefore only fall, except when an own request ends without a known
// result (an unknown end). The target measures its usage (takes a reading) and reports it. A reading
// that was taken at some time between earliest and latest gives an upper bound:
//
//	foreign <= running - certainOwn + endedAfter
//
// certainOwn counts the own requests that were certainly running at the time of the reading: their
// lease was acquired at least maxStartDelay before earliest and is not yet released MaxPacketDelay
// after latest. Until that time certainOwn is taken as 0. Therefore a reading is evaluated at once and
// can be evaluated again MaxPacketDelay after latest (see pendingReading). endedAfter counts the
// unknown ends recorded after earliest-MaxPacketDelay, because their requests may have started after
// the reading. The bound on connections is computed in the same way.
//
// The answer to an adoption call contains a reading that was taken between the call and its answer. A
// report that the target pushes can be delayed by any amount of time, so its earliest time is derived
// from the latest call whose answer had a lower sequence number.
//
// While a target has foreign usage, it is polled: its owner repeats the adoption call. While own
// requests are so short that no reading can tell them from foreign ones, the target is paused for
// some time: it gets no new requests.

const (
	// pollInterval is the time between polls (repeated adoption calls) of a target with foreign usage.
	pollInterval = anvilclock.Second
	// maxPause is the longest time for which a target is paused. A paused target gets no new
	// requests, so that the next poll can distinguish own requests from foreign ones even if own
	// requests are short and numerous.
	maxPause = 3 * anvilclock.Second
	// longRequestAfter is the time after which a pause no longer waits for own requests to end: those
	// that still run are long enough for a reading to distinguish them from foreign ones.
	longRequestAfter = anvilclock.Second
	// pausedPollInterval is the time between polls of a paused target.
	pausedPollInterval = 100 * anvilclock.Millisecond
	// The minimum time from the end of a pause of a target until its next pause doubles from
	// initialPauseBackoff to maxPauseBackoff. It returns to initialPauseBackoff when a poll shows that
	// foreign usage is 0.
	initialPauseBackoff = 2 * anvilclock.Second
	maxPauseBackoff     = 60 * anvilclock.Second
	// pausedTargetsDivisor limits how many targets of a service may be paused at the same time: one
	// in pausedTargetsDivisor, but at least one.
	pausedTargetsDivisor = 8

	// peakBucketSpan and peakBucketCount are the length and the number of the time buckets for which
	// the largest number of own leases is recorded; see peak and addUnexplained.
	peakBucketSpan  = anvilclock.Second
	peakBucketCount = 4
	// clockRateErrorDivisor is the assumed relative error of the target's clock rate, as a divisor:
	// 100 stands for 1%. The age of a pushed reading, which the target measures with its own clock, is
	// increased by this error.
	clockRateErrorDivisor = 100
)

// foreignEstimate is the estimated foreign usage of a target, together with the state that is needed
// to lower the estimate and to schedule polls.
type foreignEstimate struct {
	foreign            anvilid.SlotCount
	foreignConnections anvilid.ConnectionCount

	lastSequence uint64            // sequence number of the latest report
	lastCallSent anvilclock.Millis // send time of the latest call that was answered

	// unknownEnds has, oldest first, the times at which leases were released with an unknown result, and
	// the times of reports with unexplained usage, once for each unexplained slot; see addUnexplained.
	// lowerForeign removes the times that lie at least MaxPacketDelay before the earliest time of a reading.
	unknownEnds []anvilclock.Millis
	validFrom   anvilclock.Millis // readings whose earliest time is before this time are ignored
	// pendingReading is a reading that was used to lower the estimate on arrival and that is used a second
	// time at pendingReading.latest + MaxPacketDelay. By then the leases of all own requests that ended
	// before the reading have been released, so each lease that is left and is old enough belongs to a
	// request that the reading includes. Until then, a reading with a shorter time from earliest to latest
	// replaces it. See evaluatePending.
	pendingReading reading
	leasePeaks     [peakBucketCount]peak // largest numbers of own leases in the latest time buckets

	lastPolled       anvilclock.Millis // when DuePolls last listed the target, or the latest answer to a call arrived
	paused           bool
	pausedAt         anvilclock.Millis
	pauseNotBefore   anvilclock.Millis // earliest start of the next pause
	backoff          anvilclock.Millis // minimum time from the end of the next pause to the one after; doubled with each pause
	consecutivePolls int               // answered polls since foreign usage was last 0
}

// reading is the usage that a target measured at some time between earliest and latest.
type reading struct {
	earliest, latest anvilclock.Millis
	running          anvilid.SlotCount
	connections      anvilid.ConnectionCount
	valid            bool // false if there is no reading
}

// peak is the largest number of own leases that existed at the same time within one time bucket.
type peak struct {
	bucket    anvilclock.Millis // start time divided by peakBucketSpan
	maxLeases anvilid.SlotCount
}

// HandleAdoption processes the answer to an adoption call that was sent at the given time. The
// first such answer makes the target available for dispatch. If the target has no fencing (does not
// refuse requests of earlier epochs), the call must be sent at least MaxPacketDelay after Own, because
// requests of the previous owner can still arrive until then; see EarliestAdoption.
func (l *Ledger) HandleAdoption(now, sent anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, report *anvilreport.Report) error {
	t, err := l.acceptAnswer(now, sent, id, epoch, report)
	if err != nil {
		return err
	}
	if t.state != Waiting {
		l.applyReading(now, t, reading{earliest: sent, latest: now, running: report.UsedSlots, connections: report.OpenConnections, valid: true}, report)
		return nil
	}
	if report.Epoch != epoch && sent < t.ownedSince+MaxPacketDelay {
		return fmt.Errorf("%w: target %q has no fencing; adopt it again %d ms after its assignment", ErrEarlyRead, id, MaxPacketDelay)
	}
	t.state = Adopted
	t.foreign, t.foreignConnections = report.UsedSlots, report.OpenConnections
	t.lastCallSent, t.validFrom, t.lastPolled = sent, sent, now
	t.pauseNotBefore, t.backoff = now+initialPauseBackoff, initialPauseBackoff
	l.updateFreeSlots(t)
	return nil
}

// EarliestAdoption returns the earliest time at which the adoption call may be sent to a target
// that might not support fencing. It returns false if the target is not owned.
func (l *Ledger) EarliestAdoption(id anvilid.TargetID) (anvilclock.Millis, bool) {
	t, ok := l.targets[id]
	if !ok {
		return 0, false
	}
	return t.ownedSince + MaxPacketDelay, true
}

// HandlePoll processes the answer to a repeated adoption call that was sent at the given time. Such
// an answer lowers the estimate of foreign usage sooner than a pushed report does, because it
// bounds the time of the reading tightly.
func (l *Ledger) HandlePoll(now, sent anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, report *anvilreport.Report) error {
	t, err := l.acceptAnswer(now, sent, id, epoch, report)
	if err != nil || t.state == Waiting {
		return err
	}
	l.applyReading(now, t, reading{earliest: sent, latest: now, running: report.UsedSlots, connections: report.OpenConnections, valid: true}, report)
	return nil
}

func (l *Ledger) acceptAnswer(now, sent anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, report *anvilreport.Report) (*target, error) {
	t, err := l.ownedTarget(id)
	if err != nil {
		return nil, err
	}
	if t.epoch != epoch {
		return nil, fmt.Errorf("%w: target %q is owned since epoch %d, not %d; discard the answer", ErrStaleEpoch, id, t.epoch, epoch)
	}
	if err := l.checkOwnership(t, report); err != nil {
		return nil, err
	}
	if report.UsageAge > now-sent {
		return nil, fmt.Errorf("%w: target %q answered with usage read %d ms ago, before the call; repeat the call", ErrEarlyRead, id, report.UsageAge)
	}
	if report.Sequence > t.lastSequence {
		t.lastSequence = report.Sequence
		l.recordReport(now, t, report)
	}
	return t, nil
}

// HandleReport processes a report that the target pushed. The report may have been delayed.
func (l *Ledger) HandleReport(now anvilclock.Millis, report *anvilreport.Report) error {
	t, err := l.ownedTarget(report.Target)
	if err != nil {
		return err
	}
	if report.Incarnation < t.limits.Incarnation {
		return nil // from a previous run of the target
	}
	if err := l.checkOwnership(t, report); err != nil {
		return err
	}
	if report.Sequence <= t.lastSequence {
		return nil
	}
	t.lastSequence = report.Sequence
	l.recordReport(now, t, report)
	if t.state == Waiting {
		return nil
	}
	read := reading{latest: now, running: report.UsedSlots, connections: report.OpenConnections, valid: true}
	// The target made the report after it had answered the calls with lower sequence numbers, and
	// therefore after those calls were sent.
	read.earliest = t.lastCallSent - report.UsageAge - report.UsageAge/clockRateErrorDivisor - 1
	l.applyReading(now, t, read, report)
	return nil
}

// checkOwnership stops dispatch to the target and returns an error if the report shows that the
// target has restarted or has accepted a newer owner.
func (l *Ledger) checkOwnership(t *target, report *anvilreport.Report) error {
	switch {
	case report.Epoch > t.epoch:
		t.state = Waiting
		l.updateFreeSlots(t)
		return fmt.Errorf("%w: target %q has accepted epoch %d, which is newer than %d; wait for the new assignment", ErrStaleEpoch, t.id, report.Epoch, t.epoch)
	case report.Incarnation != t.limits.Incarnation:
		t.state = Waiting
		l.updateFreeSlots(t)
		return fmt.Errorf("%w: target %q runs as incarnation %d, not %d; wait for the new assignment", ErrStaleEpoch, t.id, report.Incarnation, t.limits.Incarnation)
	}
	return nil
}

func (l *Ledger) applyReading(now anvilclock.Millis, t *target, read reading, report *anvilreport.Report) {
	t.evaluatePending(now)
	t.addUnexplained(now, report)
	t.lowerForeign(now, read)
	if read.earliest > t.lastCallSent {
		t.lastCallSent = read.earliest
		t.recordPoll(now, read.earliest)
	}
	if !t.pendingReading.valid || read.latest-read.earliest < t.pendingReading.latest-t.pendingReading.earliest {
		t.pendingReading = read
	}
	l.updateFreeSlots(t)
}

// lowerForeign lowers the estimate of foreign usage to the upper bound that a reading gives.
func (t *target) lowerForeign(now anvilclock.Millis, read reading) {
	if read.earliest < t.validFrom {
		return // taken before the adoption, or before unknown ends that were removed from unknownEnds
	}
	certainOwn := anvilid.SlotCount(0)
	if now >= read.latest+MaxPacketDelay {
		for i := range t.ownLeases {
			if !t.ownLeases[i].connecting && t.ownLeases[i].acquired <= read.earliest-maxStartDelay {
				certainOwn++
			}
		}
	}
	endedBefore := 0
	for endedBefore < len(t.unknownEnds) && t.unknownEnds[endedBefore] <= read.earliest-MaxPacketDelay {
		endedBefore++
	}
	endedAfter := anvilid.SlotCount(len(t.unknownEnds) - endedBefore)
	t.foreign = min(t.foreign, max(0, read.running-certainOwn)+endedAfter)
	certainOwnConnections, endedAfterConnections := anvilid.ConnectionCount(certainOwn), anvilid.ConnectionCount(endedAfter)
	t.foreignConnections = min(t.foreignConnections, max(0, read.connections-certainOwnConnections)+endedAfterConnections)
	if endedBefore > 0 {
		t.unknownEnds = append(t.unknownEnds[:0], t.unknownEnds[endedBefore:]...)
		t.validFrom = read.earliest
	}
}

// evaluatePending lowers the estimate a second time with the pending reading, once MaxPacketDelay has
// passed since the latest time at which the reading can have been taken. By then the leases of all own
// requests that had ended before the reading have been released, so lowerForeign can subtract the
// remaining leases that are old enough from the usage.
func (t *target) evaluatePending(now anvilclock.Millis) {
	if t.pendingReading.valid && now >= t.pendingReading.latest+MaxPacketDelay {
		t.lowerForeign(now, t.pendingReading)
		t.pendingReading.valid = false
	}
}

// addUnexplained raises the estimate of foreign usage if a report shows more usage than the current
// estimate plus the largest number of own leases since shortly before the usage was measured. Such
// usage comes from requests that reached the target later than MaxPacketDelay allows. A delayed report
// can raise the estimate without need; the next poll lowers it again.
func (t *target) addUnexplained(now anvilclock.Millis, report *anvilreport.Report) {
	firstBucket := (now - report.UsageAge - peakBucketSpan) / peakBucketSpan
	if firstBucket <= now/peakBucketSpan-peakBucketCount {
		return // the usage was measured so long ago that leasePeaks no longer covers that time
	}
	own := anvilid.SlotCount(len(t.ownLeases))
	for _, p := range t.leasePeaks {
		if p.bucket >= firstBucket {
			own = max(own, p.maxLeases)
		}
	}
	for excess := report.UsedSlots - own - t.foreign; excess > 0; excess-- {
		t.addUnknownEnd(now)
	}
	t.foreignConnections = max(t.foreignConnections, report.OpenConnections-MaxOwnerConnections)
}

func (t *target) addUnknownEnd(now anvilclock.Millis) {
	t.foreign++
	t.foreignConnections++
	t.unknownEnds = append(t.unknownEnds, now)
}

func (t *target) recordLeasePeak(now anvilclock.Millis) {
	bucket := now / peakBucketSpan
	p := &t.leasePeaks[bucket%peakBucketCount]
	if p.bucket != bucket {
		*p = peak{bucket: bucket}
	}
	p.maxLeases = max(p.maxLeases, anvilid.SlotCount(len(t.ownLeases)))
}

func (t *target) recordPoll(now, read anvilclock.Millis) {
	t.lastPolled = now
	t.consecutivePolls++
	if t.paused && t.readingConclusive(read) {
		t.endPause(now)
	}
	if t.foreign == 0 {
		t.consecutivePolls, t.backoff = 0, initialPauseBackoff
	}
}

func (t *target) endPause(now anvilclock.Millis) {
	t.paused = false
	t.pauseNotBefore = now + t.backoff
	t.backoff = min(2*t.backoff, maxPauseBackoff)
}

// DuePolls returns the targets that must be polled now with a repeated adoption call, in a fixed
// order. Package anvilfleet calls it every 50 to 100 ms. DuePolls also pauses targets
// whose own requests are so short that a poll alone cannot distinguish them from foreign ones.
func (l *Ledger) DuePolls(now anvilclock.Millis) []anvilid.TargetID {
	l.expireTargetLeases(now)
	var due []anvilid.TargetID
	pausedCounts := map[*service]int{}
	for t := l.byReportTime.oldest; t != nil; t = t.newer {
		if t.paused {
			pausedCounts[t.service]++
		}
	}
	for t := l.byReportTime.oldest; t != nil; t = t.newer {
		if t.state != Adopted {
			continue
		}
		if t.pendingReading.valid {
			t.evaluatePending(now)
			l.updateFreeSlots(t)
		}
		if l.pollOrPause(now, t, pausedCounts) {
			t.lastPolled = now
			due = append(due, t.id)
		}
	}
	return due
}

func (l *Ledger) pollOrPause(now anvilclock.Millis, t *target, pausedCounts map[*service]int) bool {
	if t.paused {
		if t.foreign == 0 || now-t.pausedAt >= maxPause {
			t.endPause(now)
			l.updateFreeSlots(t)
			return false
		}
		return t.readingConclusive(now) && now-t.lastPolled >= pausedPollInterval
	}
	if t.foreign == 0 && (t.foreignConnections == 0 || t.limits.Connections-t.foreignConnections >= MaxOwnerConnections) {
		return false
	}
	if t.foreign > 0 && len(t.ownLeases) > 0 && t.consecutivePolls >= 2 && now >= t.pauseNotBefore &&
		pausedCounts[t.service] < max(1, t.service.targets/pausedTargetsDivisor) {
		pausedCounts[t.service]++
		t.paused, t.pausedAt = true, now
		l.updateFreeSlots(t)
		return false
	}
	return now-t.lastPolled >= pollInterval
}

// readingConclusive reports whether a reading that is taken at the given time during a pause can
// distinguish own requests from foreign ones: all own requests must have started by then, and those
// that still run must be long (see longRequestAfter).
func (t *target) readingConclusive(now anvilclock.Millis) bool {
	for i := range t.ownLeases {
		if t.ownLeases[i].connecting || t.ownLeases[i].acquired > now-maxStartDelay {
			return false
		}
	}
	return len(t.ownLeases) == 0 || now-t.pausedAt >= longRequestAfter
}
