package anvilvoter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// changeRetryInterval is the interval at which Enroll retries a membership change
// that was rejected because another change is not committed yet, or because the new
// member has not received the log yet.
const changeRetryInterval = 20 * time.Millisecond

// request is a call of Propose, Barrier or ChangeVoters that is passed to the step
// loop. Exactly one of the fields propose, barrier and change is set; command is set
// together with propose.
type request struct {
	propose bool
	barrier bool
	change  *anvilraft.ChangeVoters
	command []byte
	// claimed decides whether the request is handled or abandoned. The step loop
	// sets it before it handles the request, and the caller before it gives up. If
	// the step loop is first, the caller reports an unknown outcome unless the
	// outcome has arrived; if the caller is first, the step loop ignores the
	// request.
	claimed atomic.Bool
	// answer receives the outcome. It has a capacity of 1, so that sending the
	// outcome never blocks.
	answer chan outcome
}

type outcome struct {
	index  anvilid.Index
	result any
	err    error
}

func (r *request) finish(index anvilid.Index, result any, err error) {
	r.answer <- outcome{index, result, err}
}

// Propose appends a command to the log, waits until this voter has applied it,
// and returns the result of StateMachine.Apply. An error wraps ErrNotLeader,
// ErrOverloaded or ErrStopped if the command has had no effect and never will
// have one, and ErrLost if it may have one. The same is true for the error that is
// returned when ctx is done. The caller must not modify data afterwards.
func (v *Voter) Propose(ctx context.Context, data []byte) (anvilid.Index, any, error) {
	out := v.call(ctx, &request{propose: true, command: data})
	return out.index, out.result, out.err
}

// Barrier waits until this voter, as the leader, has applied every change that
// was committed before the call. It changes nothing. Any error means that the
// local state may lack some of these changes.
func (v *Voter) Barrier(ctx context.Context) error {
	return v.call(ctx, &request{barrier: true}).err
}

// ChangeVoters makes one change to the members of the group and waits until it
// is committed, and until a quorum knows that: for a voter that doesn't, the members before
// the change still count (anvilraft.Members). Its errors are those of Propose, and also the rejection errors of
// anvilraft, such as ErrNotCaughtUp, after which the change has had no effect. The
// field Key of the change is ignored.
func (v *Voter) ChangeVoters(ctx context.Context, change anvilraft.ChangeVoters) error {
	if err := v.call(ctx, &request{change: &change}).err; err != nil {
		return err
	}
	_ = v.Barrier(ctx) // the change is committed also if this voter leads no more
	return nil
}

// Enroll makes the voter with a data directory a voting member. The new member
// receives the log as a learner first. A former voter of the same instance is
// removed before the new one gets its vote, because an instance has at most one
// vote. Removing it does not make the group less fault-tolerant: its data directory
// is lost, so it could not vote any more. After an error, call Enroll again on the
// leader: it continues with the next missing change. The function changed is called
// after each change.
func (v *Voter) Enroll(ctx context.Context, newVoter anvilraft.VoterID, changed func(anvilraft.ChangeVoters)) error {
	retry := time.NewTicker(changeRetryInterval)
	defer retry.Stop()
	for {
		step, done := nextEnrollChange(v.Status().Members, newVoter)
		if done {
			return nil
		}
		err := v.ChangeVoters(ctx, step)
		switch {
		case err == nil:
			changed(step)
		case errors.Is(err, anvilraft.ErrChangePending) || errors.Is(err, anvilraft.ErrNotCaughtUp):
			select {
			case <-retry.C:
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "enroll voter %s: %v", newVoter, err)
			}
		default:
			return eris.Wrapf(err, "enroll voter %s", newVoter)
		}
	}
}

// nextEnrollChange returns the next membership change that is needed to make
// newVoter a voter. done is set if it is a voter already.
func nextEnrollChange(members anvilraft.Members, newVoter anvilraft.VoterID) (step anvilraft.ChangeVoters, done bool) {
	switch {
	case members.IsVoter(newVoter):
		return step, true
	case !members.Contains(newVoter):
		return anvilraft.ChangeVoters{AddLearner: newVoter}, false
	}
	for _, former := range slices.Concat(members.Voters, members.Learners) {
		if former.Instance == newVoter.Instance && former != newVoter {
			return anvilraft.ChangeVoters{Remove: former}, false
		}
	}
	return anvilraft.ChangeVoters{AddVoter: newVoter}, false
}

func (v *Voter) call(ctx context.Context, r *request) outcome {
	r.answer = make(chan outcome, 1)
	select {
	case <-v.stopped:
		return outcome{err: eris.Wrapf(ErrStopped, "voter %s", v.instance)}
	default:
	}
	select {
	case v.requests <- r:
	default:
		return outcome{err: eris.Wrapf(ErrOverloaded, "voter %s", v.instance)}
	}
	var cause error
	select {
	case out := <-r.answer:
		return out
	case <-ctx.Done():
		cause = ctx.Err()
	case <-v.stopped:
		cause = ErrStopped
	}
	if r.claimed.CompareAndSwap(false, true) {
		if !errors.Is(cause, ErrStopped) {
			cause = fmt.Errorf("%w: %w", ErrOverloaded, cause)
		}
		return outcome{err: eris.Wrapf(cause, "voter %s", v.instance)}
	}
	select {
	case out := <-r.answer: // the outcome arrived at the same time
		return out
	default:
	}
	if errors.Is(cause, ErrStopped) {
		// ErrStopped says that a call had no effect, so the error must not match it.
		return outcome{err: eris.Wrapf(ErrLost, "voter %s has stopped", v.instance)}
	}
	return outcome{err: eris.Wrapf(fmt.Errorf("%w: %w", ErrLost, cause), "voter %s", v.instance)}
}

// rejection converts the reason for which the anvilraft.Node rejected a request to
// an error of this package, if there is one for it.
func rejection(r anvilraft.Rejection) error {
	switch {
	case errors.Is(r.Reason, anvilraft.ErrNotLeader):
		return &NotLeaderError{Leader: r.Leader}
	case errors.Is(r.Reason, anvilraft.ErrBackPressure):
		return eris.Wrap(ErrOverloaded, r.Reason.Error())
	}
	return r.Reason
}

// ReportLost tells the voter that the storage of another one is gone for good, and which one its instance has now, see
// anvilraft.StorageLost.
func (v *Voter) ReportLost(id, successor anvilraft.VoterID) {
	v.notify(anvilraft.StorageLost{Voter: id, Successor: successor})
}

// SendLog makes this voter, if it leads, send its log to an instance that joins, see anvilraft.SendLog.
func (v *Voter) SendLog(to anvilraft.VoterID, empty bool) {
	v.notify(anvilraft.SendLog{To: to, Empty: empty})
}

// notify passes an event that has no answer to the node. It never blocks, and drops the event if the queue is full.
func (v *Voter) notify(event anvilraft.Event) {
	select {
	case v.notices <- event:
	default:
		v.dropped.Add(1)
	}
}

// HasCaughtUp reports whether this voter leads and an instance that joins has as much of the log as a voter needs.
func (v *Voter) HasCaughtUp(id anvilraft.VoterID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node != nil && v.node.HasCaughtUp(id)
}

// Behind returns how many entries of the log of this leader an instance lacks, see anvilraft.Node.Behind.
func (v *Voter) Behind(id anvilraft.VoterID) (entries anvilid.Index, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return 0, false
	}
	return v.node.Behind(id)
}

// Deliver accepts encoded messages that other members sent over the network. It
// never blocks. It drops messages that cannot be decoded or do not fit into the
// queue.
func (v *Voter) Deliver(messages [][]byte) {
	for _, data := range messages {
		var message anvilraft.Message
		if err := cbor.Unmarshal(data, &message); err != nil {
			v.dropped.Add(1)
			continue
		}
		select {
		case v.inbox <- message:
		default:
			v.dropped.Add(1)
		}
	}
}
