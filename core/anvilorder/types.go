package anvilorder

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TargetClock is an instant of a target's own clock, which starts anew with
// each incarnation.
type TargetClock int64

// Start tells a target to start a run.
type Start struct {
	Target   anvilwork.Target
	Task     anvilwork.Task
	Run      anvilwork.Run
	Text     string
	Saved    string
	Ticket   anvilwork.Ticket // empty where none is needed
	Token    anvilid.Token
	Deadline TargetClock
}

// Stop tells a target to stop a run.
type Stop struct {
	Target anvilwork.Target
	Task   anvilwork.Task
	Run    anvilwork.Run
	Token  anvilid.Token
}

// Poll asks a target for its lists, extends its lease and acknowledges ends.
type Poll struct {
	Target anvilwork.Target
	Token  anvilid.Token
	Cursor uint64
	// Deadline is the end of the lease, or 0 to leave it as it is.
	Deadline TargetClock
	// Wait is how long the target may hold the answer back while nothing ends.
	Wait anvilclock.Millis
}

// Verdict tells what became of a start.
type Verdict uint8

// Verdicts on a start.
const (
	// StartAccepted means that the run is there, or was.
	StartAccepted Verdict = iota + 1
	// StartRejected means that the target did nothing on this call.
	StartRejected
	// StartRunEnded means that the target has ended or barred this run.
	StartRunEnded
	// StartLeaseExpired means that the lease in the order had passed.
	StartLeaseExpired
	// StartFenced means that the target has seen a higher token.
	StartFenced
	// StartUnanswered means that the call may be carried out at any later time.
	StartUnanswered
	// StartOtherIncarnation means that another incarnation answered. It may have
	// started the run.
	StartOtherIncarnation
	// StartTicketInvalid means that the ticket is missing or not valid any more.
	StartTicketInvalid
)

// Answer is what all answers of a target have in common.
type Answer struct {
	Target      anvilid.TargetID
	Incarnation anvilwork.Incarnation
	// Sent and Received are times of the leader's clock.
	Sent, Received anvilclock.Millis
	// Clock is the target's clock, or 0 if the answer didn't tell it.
	Clock TargetClock
	// AnsweredBy is the incarnation that answered, or 0 if the answer didn't tell it.
	AnsweredBy anvilwork.Incarnation
}

// StartAnswer answers a Start.
type StartAnswer struct {
	Answer
	Order   Start
	Verdict Verdict
}

// StopAnswer answers a Stop. Without Done the call may be carried out later.
type StopAnswer struct {
	Answer
	Order Stop
	Done  bool
	Other bool // another incarnation answered
}

// Running is one run in a target's list.
type Running struct {
	Task  anvilwork.Task
	Run   anvilwork.Run
	Saved string
	// Percent is the share of the work that is done.
	Percent int
	// TailLatency is the tail of a serving task's response times. For other tasks the
	// figure means something else.
	TailLatency anvilclock.Millis
}

// PollAnswer answers a Look.
type PollAnswer struct {
	Answer
	Order   Poll
	Done    bool
	Other   bool // another incarnation answered
	Running []Running
	Ended   []anvilwork.RunEnd
}

// Effects are what the caller does after a call: send the orders, commit the
// commands.
type Effects struct {
	Starts   []Start
	Stops    []Stop
	Polls    []Poll
	Commands []anvilwork.Command
}
