package anvilcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilrpc"
)

// Kinds of queries, which are sent in calls of Query.
const (
	QueryJob     = "job"
	QueryJobs    = "jobs"
	QueryHistory = "history"
	QueryCheck   = "check"
	QueryBurn    = "burn"
	QueryZones   = "zones"
)

// ErrNotFound means that the queried object does not exist.
var ErrNotFound = errors.New("not found")

// Query reads a part of the replicated state that is not in the views (partial copies of the state)
// of the instances. Only a leader with a quorum answers, so the answer contains every change that was
// committed before the call.
func (s *Service) Query(ctx context.Context, request *anvilrpc.QueryRequest) (*anvilrpc.QueryReply, error) {
	if err := s.checkLeading(); err != nil {
		if leader := s.leaderForRelay(request.Relay); leader != nil {
			request.Relay = false
			return leader.Query(ctx, request)
		}
		return nil, err
	}
	var result any
	found := true
	var failure error
	s.replica.Read(func(machine *anvilstate.Machine) {
		result, found, failure = answerQuery(machine, request)
	})
	if job, ok := result.(anvilstate.Job); ok && job.State == anvilstate.JobSubmitted && s.group.WaitReason != nil {
		job.Detail = s.group.WaitReason(job.ID)
		result = job
	}
	if failure != nil {
		return nil, failure
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &anvilrpc.QueryReply{Found: found, Result: data}, nil
}

func answerQuery(machine *anvilstate.Machine, request *anvilrpc.QueryRequest) (result any, found bool, failure error) {
	switch request.Kind {
	case QueryJob:
		job, ok := machine.Job(anvilid.JobID(request.Id))
		return job, ok, nil
	case QueryJobs:
		return machine.Jobs(), true, nil
	case QueryZones:
		return machine.Zones(), true, nil
	case QueryHistory:
		return append([]anvilstate.Published(nil), machine.History()...), true, nil
	case QueryCheck:
		var change anvilconfig.Change
		if err := anvilstate.Decode(request.Body, &change); err != nil {
			return nil, false, twirp.InvalidArgumentError("body", err.Error())
		}
		_, problems := machine.CheckConfig(change)
		return problems, true, nil
	case QueryBurn:
		var now anvilclock.Millis
		if err := anvilstate.Decode(request.Body, &now); err != nil {
			return nil, false, twirp.InvalidArgumentError("body", err.Error())
		}
		return machine.BurnReport(now, anvilid.ServiceName(request.Id)), true, nil
	}
	return nil, false, twirp.InvalidArgumentError("kind", fmt.Sprintf("unknown kind %q", request.Kind))
}

// Query reads state from the leader into result. It retries until ctx ends.
func (c *Client) Query(ctx context.Context, kind, id string, body []byte, result any) error {
	var lastErr error
	for ctx.Err() == nil {
		address := c.pickVoter()
		reply, err := c.queryOnce(ctx, address, &anvilrpc.QueryRequest{Kind: kind, Id: id, Body: body})
		pause := c.recordOutcome(address, err)
		switch {
		case err == nil && !reply.Found:
			return fmt.Errorf("%w: %s %q", ErrNotFound, kind, id)
		case err == nil:
			return json.Unmarshal(reply.Result, result)
		}
		lastErr = err
		if pause {
			sleep(ctx, retryPause)
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, lastErr)
}

func (c *Client) queryOnce(ctx context.Context, address anvilid.Address, request *anvilrpc.QueryRequest) (*anvilrpc.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request.Relay = c.useRelay()
	return c.dial(address).Query(ctx, request)
}
