package anvilgroup

import (
	"fmt"
	"slices"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

// slowEnrollment is the time after which the leader logs an enrollment that isn't over.
const slowEnrollment = 2 * anvilclock.Second

// step is a step of an enrollment. The mark and the log go on at the same time.
type step int

const (
	stepAnswer step = iota // the voter has told its storage
	stepMark               // the mark of its former storage is committed, if it needs one
	stepLog                // it has caught up with the log
	stepSeat               // the entry with its vote is in the log of the leader
	stepCommit             // that entry is committed
	stepCount
)

var stepNames = [stepCount]string{"answer", "mark", "log", "seat", "commit"}

// enrollment is the progress of a voter that joins, as the leader has seen it.
type enrollment struct {
	id    anvilraft.VoterID
	since anvilclock.Millis
	done  [stepCount]bool
	at    [stepCount]anvilclock.Millis // when each step that is done was first seen so
	// writtenAt is when the latest line was written, or 0 before the first one.
	writtenAt anvilclock.Millis
}

// enrollmentFacts are what the leader sees of an enrollment at one time.
type enrollmentFacts struct {
	latest, committed      anvilraft.Members
	hasAnswered, hasCaught bool
}

// observe notes the steps that are done.
func (e *enrollment) observe(now anvilclock.Millis, facts enrollmentFacts) {
	var done [stepCount]bool
	done[stepCommit] = facts.committed.IsVoter(e.id)
	done[stepSeat] = done[stepCommit] || facts.latest.IsVoter(e.id)
	done[stepLog] = done[stepSeat] || facts.hasCaught
	done[stepAnswer] = done[stepSeat] || facts.hasAnswered
	done[stepMark] = done[stepSeat] || done[stepAnswer] && !needsMark(facts, e.id)
	for s := range stepCount {
		if done[s] && !e.done[s] {
			e.done[s], e.at[s] = true, now
		}
	}
}

// needsMark reports whether a former storage of a voter has to be marked as lost before the next step (nextEnrollment).
func needsMark(facts enrollmentFacts, id anvilraft.VoterID) bool {
	isFormer := isOtherStorageOf(id)
	isOpen := func(voter anvilraft.VoterID) bool { return isFormer(voter) && !facts.committed.IsLost(voter) }
	return len(facts.latest.Voters)%2 == 1 && slices.ContainsFunc(facts.latest.Voters, isOpen)
}

// next returns the first step that isn't done, and when the one before it was.
func (e *enrollment) next() (waits step, since anvilclock.Millis) {
	since = e.since
	for ; waits < stepCount && e.done[waits]; waits++ {
		since = max(since, e.at[waits])
	}
	return waits, since
}

// isOver reports whether the vote is committed.
func (e *enrollment) isOver() bool { return e.done[stepCommit] }

// isDue reports whether a line about an enrollment that isn't over is due.
func (e *enrollment) isDue(now anvilclock.Millis) bool {
	switch {
	case e.writtenAt == 0:
		return now-e.since >= slowEnrollment
	case now-e.since < enrollSpan:
		return now-e.writtenAt >= joinLogInterval
	}
	return now-e.writtenAt >= viewInterval // the voter may be gone
}

// fields returns the fields of the log line. The most telling ones come first, as the users' record cuts lines.
func (e *enrollment) fields(now anvilclock.Millis) []zap.Field {
	var fields, steps []zap.Field
	if waits, since := e.next(); waits < stepCount {
		fields = append(fields, zap.String("waits", stepNames[waits]), zap.Int64("for", int64(now-since)))
	}
	for s := range stepCount {
		if e.done[s] {
			steps = append(steps, zap.Int64(stepNames[s], int64(e.at[s]-e.since)))
		}
	}
	return append(fields, zap.String("voter", shortIDs([]anvilraft.VoterID{e.id})), zap.Dict("steps", steps...), zap.Int64("after", int64(now-e.since)))
}

// trackEnrollments notes how far the voters that join have come, and logs it when an enrollment is over, has taken
// slowEnrollment, or ends with the leadership. It is called before each change, and also while ManageMembers waits for one.
func (g *Group) trackEnrollments(status anvilvoter.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if status.Role != anvilraft.Leader {
		for id, e := range g.enrollments {
			delete(g.enrollments, id)
			if now-e.since >= slowEnrollment {
				g.writeEnrollment(e, now, zap.Bool("ended", true))
			}
		}
		return
	}
	if len(g.joiningSince) == 0 && len(g.enrollments) == 0 {
		return
	}
	facts := enrollmentFacts{latest: status.Members, committed: g.Voter.CommittedMembers()}
	g.addEnrollments(facts.committed)
	for id, e := range g.enrollments {
		facts.hasAnswered, facts.hasCaught = g.introduced[id], g.Voter.HasCaughtUp(id)
		e.observe(now, facts)
		_, joins := g.joiningSince[id]
		switch {
		case e.isOver():
			delete(g.enrollments, id)
			g.writeEnrollment(e, now)
		case !joins && !e.done[stepSeat]: // another storage of its instance has asked
			delete(g.enrollments, id)
		case e.isDue(now):
			g.writeEnrollment(e, now)
		}
	}
}

// addEnrollments adds the voters that join and have no vote. A voter asks again until it knows of its vote. g.mu must be held.
func (g *Group) addEnrollments(committed anvilraft.Members) {
	for id, since := range g.joiningSince {
		if g.enrollments[id] == nil && !committed.IsVoter(id) {
			g.enrollments[id] = &enrollment{id: id, since: since}
		}
	}
}

// writeEnrollment writes a line about an enrollment. g.mu must be held.
func (g *Group) writeEnrollment(e *enrollment, now anvilclock.Millis, more ...zap.Field) {
	e.writtenAt = now
	fields := append(more, e.fields(now)...)
	if behind, known := g.Voter.Behind(e.id); known && !e.isOver() {
		fields = append(fields, zap.Uint64("behind", uint64(behind)))
	}
	g.log.Write(anvillogs.EnrollmentStep, append(fields, zap.Error(g.joinErrors[e.id]))...)
}

// enrollmentReason returns why a voter has no vote yet.
func (g *Group) enrollmentReason(id anvilraft.VoterID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.enrollments[id]
	if e == nil {
		return "enrollment has not begun"
	}
	waits, since := e.next()
	reason := fmt.Sprintf("waits for %s for %d ms", stepNames[waits], g.clock.Now()-since)
	if err := g.joinErrors[id]; err != nil {
		reason += ": " + err.Error()
	}
	return reason
}
