package anvilcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilrpc"
)

// ErrUnavailable means that no leader accepted the command in time. The command may have been
// committed nevertheless.
var ErrUnavailable = errors.New("control group unavailable")

// retryPause is the pause before the next voter is tried. It is short compared with an election.
const retryPause = 20 * time.Millisecond

// callTimeout limits a call that the leader answers at once. If no answer arrives in this time, the
// next voter is tried. For commands the timeout doubles with each call that got no answer, up to the
// deadline of the command.
const callTimeout = 500 * time.Millisecond

// relayDuration is how long, after a call without an answer, the client asks each voter that is not
// the leader to relay calls to the leader. After that, the client calls the leader directly again.
const relayDuration = 5 * time.Second

// everywhereTimeout limits a call that waits until a change is in force on all instances. The wait
// takes at most the duration of a lease (by default 900 ms) and a margin, so a call that takes longer
// was sent to a leader that is lost. With longer leases the call times out and is repeated; the
// repeated call finds the change in force.
const everywhereTimeout = 1200 * time.Millisecond

// Client sends commands, queries and lease renewals to the leader of the control group, which it
// finds by trying the voters.
type Client struct {
	dial   func(anvilid.Address) anvilrpc.Control
	voters []anvilid.Address

	mu     sync.Mutex
	leader anvilid.Address
	next   int
	// relayUntil is the time until which calls ask voters to relay them to the leader. It is set
	// when a call got no answer: the leader may be unreachable from this instance although other
	// voters can reach it.
	relayUntil time.Time
}

// NewClient returns a Client of the control group with the given voters.
func NewClient(voters []anvilid.Address, dial func(anvilid.Address) anvilrpc.Control) *Client {
	return &Client{voters: voters, dial: dial}
}

// pickVoter returns the address of the supposed leader, or of the next voter in turn if no leader
// is known.
func (c *Client) pickVoter() anvilid.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	address := c.voters[c.next%len(c.voters)]
	c.next++
	return address
}

// recordOutcome updates the supposed leader after a call to an address. It returns whether the caller
// must wait for retryPause before the next call: false if this call succeeded or its error names
// another leader that can be tried at once.
func (c *Client) recordOutcome(address anvilid.Address, err error) (pause bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.leader = address
		return false
	}
	if c.leader == address {
		c.leader = ""
	}
	var failure twirp.Error
	if !errors.As(err, &failure) || failure.Meta(metaReason) == "" {
		// The called voter did not answer. If it is the leader, perhaps only the connection between
		// this instance and the leader is broken, so other voters are asked to relay calls to it.
		c.relayUntil = time.Now().Add(relayDuration)
		return true
	}
	if failure.Meta(metaLeader) != "" && !time.Now().Before(c.relayUntil) {
		c.leader = anvilid.Address(failure.Meta(metaLeader))
		return c.leader == address
	}
	return true
}

// useRelay reports whether calls ask voters that are not the leader to relay them to it.
func (c *Client) useRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.relayUntil)
}

// Renew renews a lease with one long poll to the supposed leader. The leader answers when the
// replicated state changes, but at the latest after the duration hold.
func (c *Client) Renew(ctx context.Context, request *anvilrpc.RenewRequest, hold anvilclock.Millis) (*anvilrpc.RenewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hold.Duration()+callTimeout)
	defer cancel()
	address := c.pickVoter()
	request.Relay = c.useRelay()
	reply, err := c.dial(address).Renew(ctx, request)
	if c.recordOutcome(address, err) {
		sleep(ctx, retryPause)
	}
	return reply, err
}

// Propose commits a command to the replicated log and returns its result. It retries until ctx ends.
// Commands contain ids, so a command that is sent more than once takes effect only once.
func (c *Client) Propose(ctx context.Context, command *anvilstate.Command) (anvilstate.Result, error) {
	result, _, err := c.propose(ctx, command, false)
	return result, err
}

// ProposeEverywhere is like Propose, but also waits until the change is in force on all instances. It
// returns false if that was not confirmed before ctx ended.
func (c *Client) ProposeEverywhere(ctx context.Context, command *anvilstate.Command) (anvilstate.Result, bool, error) {
	return c.propose(ctx, command, true)
}

func (c *Client) propose(ctx context.Context, command *anvilstate.Command, everywhere bool) (anvilstate.Result, bool, error) {
	var result anvilstate.Result
	data, err := anvilstate.Encode(command)
	if err != nil {
		return result, false, err
	}
	request := &anvilrpc.ProposeRequest{Command: data, Everywhere: everywhere}
	timeout := callTimeout
	if everywhere {
		timeout = everywhereTimeout
	}
	var lastErr error
	for ctx.Err() == nil {
		address := c.pickVoter()
		reply, unanswered, err := c.proposeOnce(ctx, address, request, timeout)
		if unanswered {
			// The commit may take longer than the timeout because the voters have slow disks.
			timeout *= 2
		}
		pause := c.recordOutcome(address, err)
		if err == nil {
			err = anvilstate.Decode(reply.Result, &result)
			return result, reply.Everywhere, err
		}
		lastErr = err
		if pause {
			sleep(ctx, retryPause)
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return result, false, fmt.Errorf("%w: %w", ErrUnavailable, lastErr)
}

// proposeOnce makes one Propose call to a voter. unanswered is set if no answer arrived within timeout.
func (c *Client) proposeOnce(ctx context.Context, address anvilid.Address, request *anvilrpc.ProposeRequest, timeout time.Duration) (reply *anvilrpc.ProposeReply, unanswered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request.Relay = c.useRelay()
	reply, err = c.dial(address).Propose(ctx, request)
	return reply, ctx.Err() != nil, err
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
