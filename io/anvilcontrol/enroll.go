package anvilcontrol

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// catchUpTimeout limits one Enroll call. A new member first receives the log as a learner (without a
// vote). If it has not caught up with the log in this time, the caller has to call again.
const catchUpTimeout = 10 * time.Second

// Enroll makes an instance with a given data directory a voter. If the instance was a voter with
// another data directory before, the new voter replaces the old one.
func (s *Service) Enroll(ctx context.Context, request *anvilrpc.EnrollRequest) (*anvilrpc.EnrollReply, error) {
	if status := s.group.Status(); !status.Leading || !status.HasQuorum {
		return nil, s.notLeaderError(status)
	}
	if !s.enrolling.TryLock() {
		return nil, twirp.NewError(twirp.Unavailable, "another voter is being enrolled; retry later").
			WithMeta(metaReason, reasonOverloaded)
	}
	defer s.enrolling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	id := anvilraft.VoterID{Instance: anvilid.InstanceID(request.Instance), Storage: anvilraft.StorageID(request.Storage)}
	if err := s.group.Enroll(ctx, id, s.logVoterChange); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaReason, reasonLost)
	}
	return &anvilrpc.EnrollReply{}, nil
}

// logVoterChange logs a change of the voters.
func (s *Service) logVoterChange(step anvilraft.ChangeVoters) {
	switch {
	case !step.Remove.IsZero():
		s.log.Write(anvillogs.VoterRemoved, zap.Stringer("voter", step.Remove))
	case !step.AddVoter.IsZero():
		s.log.Write(anvillogs.VoterEnrolled, zap.Stringer("voter", step.AddVoter))
	}
}

// Enroll asks the leader to make the instance with a data directory, which id identifies, a voter.
func (c *Client) Enroll(ctx context.Context, id anvilraft.VoterID) error {
	address := c.pickVoter()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout+callTimeout)
	defer cancel()
	_, err := c.dial(address).Enroll(ctx, &anvilrpc.EnrollRequest{Instance: string(id.Instance), Storage: string(id.Storage)})
	if c.recordOutcome(address, err) {
		sleep(ctx, retryPause)
	}
	return err
}
