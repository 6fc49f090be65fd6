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

// changeRetry is the interval at which Enroll tries a change that has to
// wait for the log.
const changeRetry = 20 * time.Millisecond

// request is a call that waits for the step loop. Exactly one of the first
// three fields is set.
type request struct {
	propose bool
	barrier bool
	change  *anvilraft.ChangeVoters
	command []byte
	// taken is set by the step loop when it handles the request, or by the
	// caller when it gives up first. Only the first of them succeeds.
	taken atomic.Bool
	// answer has room for the only outcome, so that giving it never blocks.
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

// Propose appends a command to the log and returns when this voter has applied
// it, with the result of Machine.Apply. An error wraps ErrNotLeader,
// ErrOverloaded or ErrStopped if the command has had and will have no effect,
// and ErrLost if it may have one, also when ctx is done. The caller must not
// change data afterwards.
func (v *Voter) Propose(ctx context.Context, data []byte) (anvilid.Index, any, error) {
	out := v.call(ctx, &request{propose: true, command: data})
	return out.index, out.result, out.err
}

// Barrier returns when this voter, as the leader, has applied every change
// that was committed before the call. It changes nothing: all its errors mean
// that the state may be older than that.
func (v *Voter) Barrier(ctx context.Context) error {
	return v.call(ctx, &request{barrier: true}).err
}

// ChangeVoters makes one change of the members and returns when it is
// committed. An error may also wrap one of the reasons in anvilraft, such as
// ErrNotCaughtUp; the change has had no effect then. The field Key is ignored.
func (v *Voter) ChangeVoters(ctx context.Context, change anvilraft.ChangeVoters) error {
	return v.call(ctx, &request{change: &change}).err
}

// Enroll gives a data directory a vote. The new member learns the log first.
// The directory that it replaces is removed before it gets the vote, because
// an instance has one vote at most; it is lost, so the quorum needs the same
// voters with and without it. After an error, call it again at the leader: it
// continues with the step that is missing. Stepped is called after each change.
func (v *Voter) Enroll(ctx context.Context, fresh anvilraft.VoterID, stepped func(anvilraft.ChangeVoters)) error {
	retry := time.NewTicker(changeRetry)
	defer retry.Stop()
	for {
		step, done := enrollStep(v.Status().Members, fresh)
		if done {
			return nil
		}
		err := v.ChangeVoters(ctx, step)
		switch {
		case err == nil:
			stepped(step)
		case errors.Is(err, anvilraft.ErrChangePending) || errors.Is(err, anvilraft.ErrNotCaughtUp):
			select {
			case <-retry.C:
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "enroll voter %s: %v", fresh, err)
			}
		default:
			return eris.Wrapf(err, "enroll voter %s", fresh)
		}
	}
}

// enrollStep returns the next change on the way to a vote.
func enrollStep(members anvilraft.Members, fresh anvilraft.VoterID) (step anvilraft.ChangeVoters, done bool) {
	switch {
	case members.IsVoter(fresh):
		return step, true
	case !members.Contains(fresh):
		return anvilraft.ChangeVoters{AddLearner: fresh}, false
	}
	for _, former := range slices.Concat(members.Voters, members.Learners) {
		if former.Instance == fresh.Instance && former != fresh {
			return anvilraft.ChangeVoters{Remove: former}, false
		}
	}
	return anvilraft.ChangeVoters{AddVoter: fresh}, false
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
	var why error
	select {
	case out := <-r.answer:
		return out
	case <-ctx.Done():
		why = ctx.Err()
	case <-v.stopped:
		why = ErrStopped
	}
	if r.taken.CompareAndSwap(false, true) {
		if !errors.Is(why, ErrStopped) {
			why = fmt.Errorf("%w: %w", ErrOverloaded, why)
		}
		return outcome{err: eris.Wrapf(why, "voter %s", v.instance)}
	}
	select {
	case out := <-r.answer: // it came at the same time
		return out
	default:
		return outcome{err: eris.Wrapf(fmt.Errorf("%w: %w", ErrLost, why), "voter %s", v.instance)}
	}
}

// rejection translates the reason why the node refused a request.
func rejection(r anvilraft.Rejection) error {
	switch {
	case errors.Is(r.Reason, anvilraft.ErrNotLeader):
		return &NotLeaderError{Leader: r.Leader}
	case errors.Is(r.Reason, anvilraft.ErrBackPressure):
		return eris.Wrap(ErrOverloaded, r.Reason.Error())
	}
	return r.Reason
}

// Deliver takes encoded messages of other members from the network. It never
// blocks; messages that don't fit the queue or can't be read are dropped.
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
