package anvilcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilrpc"
)

// slowLeader answers each command after the time that its commit takes.
type slowLeader struct {
	anvilrpc.Control
	commit time.Duration
	calls  int
}

func (l *slowLeader) Propose(ctx context.Context, _ *anvilrpc.ProposeRequest) (*anvilrpc.ProposeReply, error) {
	l.calls++
	select {
	case <-time.After(l.commit):
		result, err := anvilstate.Encode(&anvilstate.Result{})
		return &anvilrpc.ProposeReply{Result: result}, err
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, ctx.Err().Error())
	}
}

// Guards against a client that never gets a result while each commit takes longer than the timeout
// of one call, because the voters have slow disks. Such a client would send the command again and
// again, each time as a new log entry.
func TestSlowCommitsAreAnswered(t *testing.T) {
	t.Parallel()
	leader := &slowLeader{commit: 3 * callTimeout}
	client := NewClient([]anvilid.Address{"leader"}, func(anvilid.Address) anvilrpc.Control { return leader })
	ctx, cancel := context.WithTimeout(context.Background(), 20*callTimeout)
	defer cancel()
	_, err := client.Propose(ctx, &anvilstate.Command{})
	assert.NilError(t, err)
	assert.Equal(t, leader.calls, 3)
}
