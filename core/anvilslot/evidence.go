package anvilslot

import (
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// Evidence about foreign usage.
//
// After adoption no other instance can start work on the target, so foreign
// usage only falls, except for own requests whose end is unknown. A report
// whose usage was read at some time between lo and hi therefore bounds it:
//
//	foreign <= running - sure + late
//
// where sure counts the own requests that certainly ran at that time (leased
// startWithin before lo and still held PacketDelay after hi), and late counts
// the unknown ends after lo-PacketDelay, whose requests may have started
// after the reading. Connections are bounded in the same way. A pushed report may have been delayed without bound, so
// its lo comes from the latest call whose answer had a lower sequence.

const (
	pollInterval = anvilclock.Second
	// A paused target gets no new work, so that the next poll tells own
	// requests from foreign ones even if own requests are short and many.
	pauseLongest  = 3 * anvilclock.Second
	pausePatience = anvilclock.Second // after this, requests that still run are long
	pauseRetry    = 100 * anvilclock.Millisecond
	pauseBackoff  = 2 * anvilclock.Second
	pauseMost     = 60 * anvilclock.Second
	// pausedShare is the part (one in so many) of a service's targets that
	// may be paused at the same time.
	pausedShare = 8

	peakSpan    = anvilclock.Second
	peakBuckets = 4
	// clockMargin is the assumed clock rate error, as a divisor.
	clockMargin = 100
)

type evidence struct {
	foreign     anvilid.SlotCount
	foreignOpen anvilid.ConnectionCount

	sequence uint64            // of the latest report
	since    anvilclock.Millis // when the latest answered call was sent

	unknowns []anvilclock.Millis // times of unknown ends, oldest first
	floor    anvilclock.Millis   // readings before it prove nothing
	pending  reading
	peaks    [peakBuckets]peak

	polled     anvilclock.Millis
	paused     bool
	pausedAt   anvilclock.Millis
	nextPause  anvilclock.Millis
	backoff    anvilclock.Millis
	pollsInRow int
}

// reading is the usage read at some time between lo and hi.
type reading struct {
	lo, hi  anvilclock.Millis
	running anvilid.SlotCount
	open    anvilid.ConnectionCount
	valid   bool // false for no reading
}

// peak is the most own leases at one time within a bucket.
type peak struct {
	bucket anvilclock.Millis
	most   anvilid.SlotCount
}

// HandleAdoption ends the wait for adoption. The report is the answer to an adoption
// call that was sent at the given time. For a target without fencing, the
// call must be sent PacketDelay after Own or later, because requests of the
// former owner may still arrive until then; see AdoptFrom.
func (l *Ledger) HandleAdoption(now, sent anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, report *anvilreport.Report) error {
	t, err := l.answered(now, sent, id, epoch, report)
	if err != nil {
		return err
	}
	if t.state != Waiting {
		l.learn(now, t, reading{lo: sent, hi: now, running: report.Running, open: report.Open, valid: true}, report)
		return nil
	}
	if report.Epoch != epoch && sent < t.owned+MaxPacketDelay {
		return fmt.Errorf("%w: target %q has no fencing; adopt it again %d ms after its assignment", ErrEarlyRead, id, MaxPacketDelay)
	}
	t.state = Adopted
	t.foreign, t.foreignOpen = report.Running, report.Open
	t.since, t.floor, t.polled = sent, sent, now
	t.nextPause, t.backoff = now+pauseBackoff, pauseBackoff
	l.refresh(t)
	return nil
}

// EarliestAdoption returns the earliest time to send the adoption call to a target
// that may lack fencing.
func (l *Ledger) EarliestAdoption(id anvilid.TargetID) (anvilclock.Millis, bool) {
	t, ok := l.targets[id]
	if !ok {
		return 0, false
	}
	return t.owned + MaxPacketDelay, true
}

// HandlePoll takes in the answer to a repeated adoption call that was sent at
// the given time. It is the evidence that lowers foreign usage soonest.
func (l *Ledger) HandlePoll(now, sent anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, report *anvilreport.Report) error {
	t, err := l.answered(now, sent, id, epoch, report)
	if err != nil || t.state == Waiting {
		return err
	}
	l.learn(now, t, reading{lo: sent, hi: now, running: report.Running, open: report.Open, valid: true}, report)
	return nil
}

func (l *Ledger) answered(now, sent anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, report *anvilreport.Report) (*target, error) {
	t, err := l.owned(id)
	if err != nil {
		return nil, err
	}
	if t.epoch != epoch {
		return nil, fmt.Errorf("%w: target %q is owned since epoch %d, not %d; drop the answer", ErrStaleEpoch, id, t.epoch, epoch)
	}
	if err := l.check(t, report); err != nil {
		return nil, err
	}
	if report.Age > now-sent {
		return nil, fmt.Errorf("%w: target %q answered with usage read %d ms ago, before the call; repeat the call", ErrEarlyRead, id, report.Age)
	}
	if report.Sequence > t.sequence {
		t.sequence = report.Sequence
		l.hear(now, t, report)
	}
	return t, nil
}

// HandleReport takes in a report that the target pushed. It may be late.
func (l *Ledger) HandleReport(now anvilclock.Millis, report *anvilreport.Report) error {
	t, err := l.owned(report.Target)
	if err != nil {
		return err
	}
	if report.Incarnation < t.limits.Incarnation {
		return nil // of a former run
	}
	if err := l.check(t, report); err != nil {
		return err
	}
	if report.Sequence <= t.sequence {
		return nil
	}
	t.sequence = report.Sequence
	l.hear(now, t, report)
	if t.state == Waiting {
		return nil
	}
	read := reading{hi: now, running: report.Running, open: report.Open, valid: true}
	// The report was made after the answers with lower sequences, and so
	// after their calls were sent.
	read.lo = t.since - report.Age - report.Age/clockMargin - 1
	l.learn(now, t, read, report)
	return nil
}

// check stops dispatch if the target has restarted or has a newer owner.
func (l *Ledger) check(t *target, report *anvilreport.Report) error {
	switch {
	case report.Epoch > t.epoch:
		t.state = Waiting
		l.refresh(t)
		return fmt.Errorf("%w: target %q has accepted epoch %d after %d; wait for the new assignment", ErrStaleEpoch, t.id, report.Epoch, t.epoch)
	case report.Incarnation != t.limits.Incarnation:
		t.state = Waiting
		l.refresh(t)
		return fmt.Errorf("%w: target %q runs as incarnation %d, not %d; wait for the new assignment", ErrStaleEpoch, t.id, report.Incarnation, t.limits.Incarnation)
	}
	return nil
}

func (l *Ledger) learn(now anvilclock.Millis, t *target, read reading, report *anvilreport.Report) {
	t.settle(now)
	t.raise(now, report)
	t.lower(now, read)
	if read.lo > t.since {
		t.since = read.lo
		t.notePolled(now, read.lo)
	}
	if !t.pending.valid || read.hi-read.lo < t.pending.hi-t.pending.lo {
		t.pending = read
	}
	l.refresh(t)
}

// lower lowers foreign usage to the bound that a reading proves.
func (t *target) lower(now anvilclock.Millis, read reading) {
	if read.lo < t.floor {
		return // before adoption, or unknown ends that matter are forgotten
	}
	sure := anvilid.SlotCount(0)
	if now >= read.hi+MaxPacketDelay {
		for i := range t.own {
			if t.own[i].acquired <= read.lo-startWithin {
				sure++
			}
		}
	}
	early := 0
	for early < len(t.unknowns) && t.unknowns[early] <= read.lo-MaxPacketDelay {
		early++
	}
	late := anvilid.SlotCount(len(t.unknowns) - early)
	t.foreign = min(t.foreign, max(0, read.running-sure)+late)
	sureOpen, lateOpen := anvilid.ConnectionCount(sure), anvilid.ConnectionCount(late)
	t.foreignOpen = min(t.foreignOpen, max(0, read.open-sureOpen)+lateOpen)
	if early > 0 {
		t.unknowns = append(t.unknowns[:0], t.unknowns[early:]...)
		t.floor = read.lo
	}
}

// settle evaluates the pending reading once own requests that had ended by
// then have certainly been released.
func (t *target) settle(now anvilclock.Millis) {
	if t.pending.valid && now >= t.pending.hi+MaxPacketDelay {
		t.lower(now, t.pending)
		t.pending.valid = false
	}
}

// raise counts usage that neither own nor known foreign requests explain.
// It is caused by requests that arrive later than assumed. A delayed report
// may raise it without need; the next poll lowers it again.
func (t *target) raise(now anvilclock.Millis, report *anvilreport.Report) {
	from := (now - report.Age - peakSpan) / peakSpan
	if from <= now/peakSpan-peakBuckets {
		return // too long ago to know what was in flight
	}
	own := anvilid.SlotCount(len(t.own))
	for _, p := range t.peaks {
		if p.bucket >= from {
			own = max(own, p.most)
		}
	}
	for excess := report.Running - own - t.foreign; excess > 0; excess-- {
		t.noteUnknown(now)
	}
	t.foreignOpen = max(t.foreignOpen, report.Open-MaxOwnerConnections)
}

func (t *target) noteUnknown(now anvilclock.Millis) {
	t.foreign++
	t.foreignOpen++
	t.unknowns = append(t.unknowns, now)
}

func (t *target) notePeak(now anvilclock.Millis) {
	bucket := now / peakSpan
	p := &t.peaks[bucket%peakBuckets]
	if p.bucket != bucket {
		*p = peak{bucket: bucket}
	}
	p.most = max(p.most, anvilid.SlotCount(len(t.own)))
}

func (t *target) notePolled(now, read anvilclock.Millis) {
	t.polled = now
	t.pollsInRow++
	if t.paused && t.quiet(read) {
		t.resume(now)
	}
	if t.foreign == 0 {
		t.pollsInRow, t.backoff = 0, pauseBackoff
	}
}

func (t *target) resume(now anvilclock.Millis) {
	t.paused = false
	t.nextPause = now + t.backoff
	t.backoff = min(2*t.backoff, pauseMost)
}

// DuePolls returns the targets to poll now with a repeated adoption call, in a
// fixed order. The daemon calls it every 50 to 100 ms. It also pauses targets
// whose own requests are too short for plain polls to prove anything.
func (l *Ledger) DuePolls(now anvilclock.Millis) []anvilid.TargetID {
	l.expire(now)
	var due []anvilid.TargetID
	paused := map[*service]int{}
	for t := l.reported.oldest; t != nil; t = t.newer {
		if t.paused {
			paused[t.service]++
		}
	}
	for t := l.reported.oldest; t != nil; t = t.newer {
		if t.state != Adopted {
			continue
		}
		if t.pending.valid {
			t.settle(now)
			l.refresh(t)
		}
		if l.poll(now, t, paused) {
			t.polled = now
			due = append(due, t.id)
		}
	}
	return due
}

func (l *Ledger) poll(now anvilclock.Millis, t *target, paused map[*service]int) bool {
	if t.paused {
		if t.foreign == 0 || now-t.pausedAt >= pauseLongest {
			t.resume(now)
			l.refresh(t)
			return false
		}
		return t.quiet(now) && now-t.polled >= pauseRetry
	}
	if t.foreign == 0 && (t.foreignOpen == 0 || t.limits.Connections-t.foreignOpen >= MaxOwnerConnections) {
		return false
	}
	if t.foreign > 0 && len(t.own) > 0 && t.pollsInRow >= 2 && now >= t.nextPause &&
		paused[t.service] < max(1, t.service.targets/pausedShare) {
		paused[t.service]++
		t.paused, t.pausedAt = true, now
		l.refresh(t)
		return false
	}
	return now-t.polled >= pollInterval
}

// quiet tells whether a reading taken now would tell own requests from
// foreign ones.
func (t *target) quiet(now anvilclock.Millis) bool {
	for i := range t.own {
		if t.own[i].acquired > now-startWithin {
			return false
		}
	}
	return len(t.own) == 0 || now-t.pausedAt >= pausePatience
}
