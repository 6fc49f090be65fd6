package anvilorder

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// silentAfterCalls is the number of consecutive calls without an answer after which a target is silent.
	silentAfterCalls = 2
	// crashDelay is the longest time from the beginning of a run, which the target confirms, to a crash of the
	// target that the run is suspected of.
	crashDelay = 500 * anvilclock.Millisecond
)

// NoteSilences returns the commands that record which runs had just begun on each target that has fallen
// silent, and which targets answer again. If a target has crashed, a run that had just begun there may be the
// cause. The caller must have called Sync.
func (t *Tracker) NoteSilences(now anvilclock.Millis) []anvilwork.Command {
	var commands []anvilwork.Command
	for _, target := range t.targets {
		note := target.silenceNote()
		if note == nil || now < target.nextSilenceNoteAt {
			continue
		}
		target.nextSilenceNoteAt = now + t.timing.RetryInterval
		for _, r := range target.runs {
			r.silenceNoted = !note.Answers
		}
		commands = append(commands, anvilwork.Command{NoteSilence: note})
	}
	slices.SortFunc(commands, func(a, b anvilwork.Command) int { return cmp.Compare(a.NoteSilence.Target, b.NoteSilence.Target) })
	return commands
}

// silenceNote returns what has to be recorded about the silence of a target, or nil if there is nothing new.
func (target *target) silenceNote() *anvilwork.NoteSilence {
	noted := target.record.Silence != nil
	note := &anvilwork.NoteSilence{Target: target.record.ID, Incarnation: target.record.Incarnation}
	switch {
	case noted && target.unansweredCalls == 0 && target.answeredAt == 0:
		return nil // noted by a former leader, and no call of this one has been answered yet
	case noted && target.unansweredCalls == 0:
		note.Answers = true
		return note
	case target.unansweredCalls < silentAfterCalls || len(target.runs) == 0:
		return nil
	}
	note.Begun, note.Unknown = target.suspects()
	note.Closed = target.closedAt > 0
	if noted && (target.record.Silence.Closed || !note.Closed) && !slices.ContainsFunc(note.Begun, target.isNew) {
		return nil
	}
	return note
}

// isNew reports whether a run has not been part of a note on the present silence of its target.
func (target *target) isNew(run anvilwork.Unassign) bool { return !target.runs[run.Task].silenceNoted }

// recordClosed records when the process of a target has ended, if a call shows that. If calls timed out before,
// or the latest answer isn't recent, the target may have been cut off first and restarted for that reason.
func (target *target) recordClosed(answer Answer) {
	if answer.Closed && target.unansweredCalls == 0 && answer.Received <= target.answeredAt+crashDelay {
		target.closedAt = answer.Received
	}
}

// suspects returns the runs that began shortly before the target fell silent or may have begun since, and
// those of a former leader of which that isn't known. If the connections were closed, it was silent from then
// on, and else since the latest contact.
func (target *target) suspects() (begun, unknown []anvilwork.Unassign) {
	silentSince := target.lastContact
	if target.closedAt > 0 {
		silentSince = target.closedAt
	}
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		r := target.runs[task]
		run := anvilwork.Unassign{Task: task, Run: r.number}
		switch {
		case r.phase == adopting:
			unknown = append(unknown, run)
		case r.phase == starting && (r.startReached || r.startInFlight):
			begun = append(begun, run)
		case r.phase == running && r.confirmedAt+crashDelay >= silentSince:
			begun = append(begun, run)
		}
	}
	return begun, unknown
}

// awaitsAnswer reports whether a start has to wait for an answer of its target to a poll, which it requests if none
// is in flight: a target without runs isn't polled and may have ended since it announced itself, and the next run of
// the task would have to wait for the lease of a start that got no answer. For a suspect the answer has to be newer,
// because only then does a closed connection show that the process of the target ended on this start.
func (t *Tracker) awaitsAnswer(now anvilclock.Millis, target *target, r *run, state *anvilwork.TaskState) bool {
	recent := now <= target.answeredAt+t.answerAge() || r.startReached
	if state.Suspect() && target.closedAt == 0 {
		recent = now <= target.answeredAt+crashDelay/2
	}
	target.pollNow = target.pollNow || !recent && !target.pollInFlight
	return !recent
}

// answerAge is how old the latest answer of a target may be when a run is started there. A target with runs answers
// a poll in less time.
func (t *Tracker) answerAge() anvilclock.Millis { return t.timing.PollWait + t.timing.RetryInterval }
