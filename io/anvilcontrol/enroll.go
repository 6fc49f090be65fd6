package anvilcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// A learner gets this long to catch up before the caller has to ask again.
const catchUpTimeout = 10 * time.Second

// catchUpPause is the time between two looks at a learner.
const catchUpPause = 20 * time.Millisecond

// Enroll makes a data directory a voter. The new member learns the log first.
// The directory that it replaces is removed before it gets the vote, because
// an instance has one vote at most; it is lost, so the quorum needs the same
// voters with and without it.
func (s *Service) Enroll(ctx context.Context, request *anvilrpc.EnrollRequest) (*anvilrpc.EnrollReply, error) {
	if status := s.group.Status(); !status.Leading || !status.HasQuorum {
		return nil, s.notLeading(status)
	}
	if !s.enrolling.TryLock() {
		return nil, twirp.NewError(twirp.Unavailable, "another voter is being enrolled").WithMeta(metaReason, reasonOverloaded)
	}
	defer s.enrolling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	id := anvilraft.VoterID{Instance: anvilid.InstanceID(request.Instance), Storage: anvilraft.StorageID(request.Storage)}
	if err := s.enroll(ctx, id); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaReason, reasonLost)
	}
	return &anvilrpc.EnrollReply{}, nil
}

func (s *Service) enroll(ctx context.Context, id anvilraft.VoterID) error {
	for ctx.Err() == nil {
		step, done := enrollStep(s.group.Members(), id)
		if done {
			return nil
		}
		err := s.group.Change(ctx, step)
		switch {
		case err == nil:
			s.logStep(step)
		case errors.Is(err, anvilraft.ErrNotCaughtUp), errors.Is(err, anvilraft.ErrChangePending):
			sleep(ctx, catchUpPause)
		default:
			return err
		}
	}
	return ctx.Err()
}

func (s *Service) logStep(step anvilraft.ChangeVoters) {
	switch {
	case !step.Remove.IsZero():
		s.log.Write(anvillogs.VoterRemoved, zap.Stringer("voter", step.Remove))
	case !step.Add.IsZero():
		s.log.Write(anvillogs.VoterEnrolled, zap.Stringer("voter", step.Add))
	}
}

// enrollStep returns the next change on the way to a vote for id.
func enrollStep(members anvilraft.Members, id anvilraft.VoterID) (step anvilraft.ChangeVoters, done bool) {
	if members.IsVoter(id) {
		return step, true
	}
	if !members.Contains(id) {
		return anvilraft.ChangeVoters{Learn: id}, false
	}
	for _, former := range append(append([]anvilraft.VoterID(nil), members.Voters...), members.Learners...) {
		if former.Instance == id.Instance && former != id {
			return anvilraft.ChangeVoters{Remove: former}, false
		}
	}
	return anvilraft.ChangeVoters{Add: id}, false
}

// Enroll asks the leader to make a data directory a voter.
func (c *Client) Enroll(ctx context.Context, id anvilraft.VoterID) error {
	address := c.pick()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout+callTimeout)
	defer cancel()
	_, err := c.dial(address).Enroll(ctx, &anvilrpc.EnrollRequest{Instance: string(id.Instance), Storage: string(id.Storage)})
	if c.learn(address, err) {
		sleep(ctx, retryPause)
	}
	return err
}
