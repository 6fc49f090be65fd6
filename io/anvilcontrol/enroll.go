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

// Enroll makes a data directory a voter. The new voter learns the log first
// and is added before the directory that it replaces is removed, so that the
// quorum never depends on a voter that lacks the log.
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
	if members := s.group.Members(); !members.Contains(id) {
		if err := s.group.Change(ctx, anvilraft.ChangeVoters{Learn: id}); err != nil {
			return err
		}
	}
	for !s.group.Members().IsVoter(id) {
		err := s.group.Change(ctx, anvilraft.ChangeVoters{Add: id})
		if err != nil && !errors.Is(err, anvilraft.ErrNotCaughtUp) {
			return err
		}
		sleep(ctx, catchUpPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	s.log.Write(anvillogs.VoterEnrolled, zap.Stringer("voter", id))
	return s.removeFormer(ctx, id)
}

// removeFormer removes the directories that the instance had before.
func (s *Service) removeFormer(ctx context.Context, id anvilraft.VoterID) error {
	members := s.group.Members()
	for _, list := range [][]anvilraft.VoterID{members.Voters, members.Learners} {
		for _, former := range list {
			if former.Instance != id.Instance || former == id {
				continue
			}
			if err := s.group.Change(ctx, anvilraft.ChangeVoters{Remove: former}); err != nil {
				return err
			}
			s.log.Write(anvillogs.VoterRemoved, zap.Stringer("voter", former))
		}
	}
	return nil
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
