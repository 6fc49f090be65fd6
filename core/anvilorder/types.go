package anvilorder

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TargetClock is a time on a target's own clock.
type TargetClock = anvilwork.TargetClock

// Announcement is an announcement of a target that changes nothing of its record: it only shows that this
// incarnation of the target is still running.
type Announcement struct {
	Target      anvilid.TargetID
	Incarnation anvilwork.Incarnation
	// Clock is what the target's clock showed when it sent the announcement, or 0.
	Clock TargetClock
	// Received is when it arrived, by the leader's clock.
	Received anvilclock.Millis
}

// Start orders a target to start a run.
type Start struct {
	Target anvilwork.Target
	Task   anvilwork.Task
	Run    anvilwork.Run
	// Text is the opaque payload of the job, which the target receives unchanged.
	Text string
	// Checkpoint is the checkpoint from which the run continues, or empty.
	Checkpoint string
	Ticket     anvilwork.Ticket // empty where none is needed
	Token      anvilid.Token
	Deadline   TargetClock
	Urgent     bool // the job has the highest priority
	// OnlyBound means that the order must not be sent on a new connection, see Answer.Bound. It is set for a further
	// copy of a start if the target has answered nothing since the former one.
	OnlyBound bool
}

// Stop orders a target to stop a run.
type Stop struct {
	Target anvilwork.Target
	Task   anvilwork.Task
	Run    anvilwork.Run
	Token  anvilid.Token
}

// Poll asks a target for its running and ended runs, extends its lease, and acknowledges
// the ends up to Cursor.
type Poll struct {
	Target anvilwork.Target
	Token  anvilid.Token
	Cursor uint64
	// Deadline is the new end of the lease, or 0 to leave the lease unchanged.
	Deadline TargetClock
	// Wait is how long the target may delay the answer while no run ends (long polling).
	Wait anvilclock.Millis
}

// Verdict says what became of a Start at the target, as far as the leader knows.
type Verdict uint8

// Verdicts on a start.
const (
	// StartAccepted means that the target runs the run, or ran it and has already ended it.
	StartAccepted Verdict = iota + 1
	// StartRejected means that this call had no effect at the target. An earlier call that got no
	// answer may still have one.
	StartRejected
	// StartRunEnded means that the run has already ended at the target, or was barred by a
	// stop.
	StartRunEnded
	// StartLeaseExpired means that the deadline in the order had passed when the target
	// received it.
	StartLeaseExpired
	// StartFenced means that the target has seen a higher fencing token.
	StartFenced
	// StartUnanswered means that there was no answer, so the target may still carry the call
	// out later.
	StartUnanswered
	// StartOtherIncarnation means that the answer came from another incarnation than the order
	// was addressed to. The incarnation that answered may have started the run.
	StartOtherIncarnation
	// StartTicketInvalid means that the ticket is missing or no longer valid.
	StartTicketInvalid
	// StartNotSent means that no connection to the target could be opened, so this call certainly
	// has no effect.
	StartNotSent
)

// Answer contains the fields that the answers to all orders have in common.
type Answer struct {
	Target      anvilid.TargetID
	Incarnation anvilwork.Incarnation
	// Sent is when the order was sent, and Received when the answer arrived, by the leader's
	// clock.
	Sent, Received anvilclock.Millis
	// Clock is the target's clock when it answered, or 0 if the answer didn't contain it.
	Clock TargetClock
	// AnsweredBy is the incarnation that answered, or 0 if the answer did not contain it or a target with
	// another id answered.
	AnsweredBy anvilwork.Incarnation
	// NotSent means that there is no answer because the order was certainly not sent.
	NotSent bool
	// Refused means that there is no answer because no process accepts connections at the target's address.
	Refused bool
	// Closed means that there is no answer because the target's machine refused or closed the connection, as
	// it does when the process of the target has ended.
	Closed bool
	// Bound means that the order was sent on a connection that certainly leads to the process of the incarnation that
	// it was sent to, so that no later incarnation can get it.
	Bound bool
	// Withheld means that the order was not sent because this process isn't certainly the leader any more, because
	// the capacity of the target has shrunk or its zone is evacuated, or because of Start.OnlyBound. It says nothing
	// about whether the target can be reached.
	Withheld bool
}

// StartAnswer is the outcome of the call that delivered a Start. If the target didn't answer, Verdict
// is StartUnanswered.
type StartAnswer struct {
	Answer
	Order   Start
	Verdict Verdict
}

// StopAnswer answers a Stop. If Done is false, the target may still carry the call out
// later.
type StopAnswer struct {
	Answer
	Order                Stop
	Done                 bool
	FromOtherIncarnation bool // another incarnation answered
}

// Running is one run in the list of runs that a target reports.
type Running struct {
	Task anvilwork.Task
	Run  anvilwork.Run
	// Checkpoint is the latest checkpoint that the run has written, or empty.
	Checkpoint string
	// Percent is the share of the run's work that is done, in percent.
	Percent int
	// TailLatency is a high percentile of the response times of a serving task. It is undefined
	// for other tasks, whose targets may report another quantity in the same field.
	TailLatency anvilclock.Millis
}

// PollAnswer answers a Poll. Done is false if the call failed.
type PollAnswer struct {
	Answer
	Order                Poll
	Done                 bool
	FromOtherIncarnation bool // another incarnation answered
	Running              []Running
	Ended                []anvilwork.RunEnd
	// Complete means that the lists have all runs of the target and all ends that it keeps. Targets list a
	// limited number of ends at a time, so that without it a run that is in neither list may have ended.
	Complete bool
	// UnusableEnds is the number of listed ends that can't be used and have no number that could be
	// acknowledged. They stay in the target's list.
	UnusableEnds int
}

// Effects are what the caller must do after a call of a Tracker: send the orders and commit
// the commands.
type Effects struct {
	Starts   []Start
	Stops    []Stop
	Polls    []Poll
	Commands []anvilwork.Command
	Findings []Finding
	// Begun has the jobs of the runs that are known to have begun since the effects before.
	Begun []anvilid.JobID
}

// FindingKind says what a Finding is about.
type FindingKind uint8

// Kinds of findings.
const (
	// RunNotAssigned means that a target lists a run that isn't assigned to it.
	RunNotAssigned FindingKind = iota + 1
	// RunMissing means that a target has confirmed a run, and that its lists show neither the run nor its
	// end any more.
	RunMissing
	// RunInherited means that a run was assigned to a former incarnation of the target and is stopped at
	// the present one.
	RunInherited
)

// Finding is a difference between the replicated state and what a target says. It is for the log only.
type Finding struct {
	Kind        FindingKind
	Target      anvilid.TargetID
	Incarnation anvilwork.Incarnation
	Task        anvilwork.Task
	Run         anvilwork.Run
}
