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

// ErrUnavailable reports that no leader accepted the command in time. The
// command may have been committed all the same.
var ErrUnavailable = errors.New("control group unavailable")

// Pause between two rounds over the voters, short against an election.
const retryPause = 20 * time.Millisecond

// One call that isn't held by the leader takes at most this long before the
// next voter is tried. For commands the time doubles with each call that got
// no answer, up to the end of the command.
const callTimeout = 500 * time.Millisecond

// After a call that no voter answered, other voters are asked to pass calls on
// for this time. Then the direct way is tried again.
const relaySpan = 5 * time.Second

// A change is in force everywhere after one lease of 900 ms and its margin at
// the latest, so a call that waits longer speaks to a lost leader. With longer
// leases the call is made again and finds the change in force later.
const everywhereTimeout = 1200 * time.Millisecond

// Client finds the leader of the control group and talks to it.
type Client struct {
	dial   func(anvilid.Address) anvilrpc.Control
	voters []anvilid.Address

	mu     sync.Mutex
	leader anvilid.Address
	next   int
	// relayUntil is set while the leader can't be reached directly, although
	// other voters name it.
	relayUntil time.Time
}

// NewClient returns a client of the group with the given voters.
func NewClient(voters []anvilid.Address, dial func(anvilid.Address) anvilrpc.Control) *Client {
	return &Client{voters: voters, dial: dial}
}

// pick returns the supposed leader, or the next voter in turn.
func (c *Client) pick() anvilid.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	address := c.voters[c.next%len(c.voters)]
	c.next++
	return address
}

// learn notes the outcome of a call to an address. It returns false when the
// hint names another leader that can be tried at once.
func (c *Client) learn(address anvilid.Address, err error) (pause bool) {
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
		// No voter answered. If it was the leader, only the way to it may
		// be broken.
		c.relayUntil = time.Now().Add(relaySpan)
		return true
	}
	if failure.Meta(metaLeader) != "" && !time.Now().Before(c.relayUntil) {
		c.leader = anvilid.Address(failure.Meta(metaLeader))
		return c.leader == address
	}
	return true
}

// relays tells whether calls should be passed on by voters that don't lead.
func (c *Client) relays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.relayUntil)
}

// Renew renews a lease once, at the supposed leader.
func (c *Client) Renew(ctx context.Context, request *anvilrpc.RenewRequest, hold anvilclock.Millis) (*anvilrpc.RenewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hold.Duration()+callTimeout)
	defer cancel()
	address := c.pick()
	request.Relay = c.relays()
	reply, err := c.dial(address).Renew(ctx, request)
	if c.learn(address, err) {
		sleep(ctx, retryPause)
	}
	return reply, err
}

// Propose commits a command and returns its result. It tries until ctx ends:
// commands carry ids, so that a resent command takes effect once.
func (c *Client) Propose(ctx context.Context, command *anvilstate.Command) (anvilstate.Result, error) {
	result, _, err := c.propose(ctx, command, false)
	return result, err
}

// ProposeEverywhere is like Propose and tells whether the change was in force
// on all instances before ctx ended.
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
	var last error
	for ctx.Err() == nil {
		address := c.pick()
		reply, unanswered, err := c.call(ctx, address, request, timeout)
		if unanswered {
			// The leader may be waiting for its disk.
			timeout *= 2
		}
		pause := c.learn(address, err)
		if err == nil {
			err = anvilstate.Decode(reply.Result, &result)
			return result, reply.Everywhere, err
		}
		last = err
		if pause {
			sleep(ctx, retryPause)
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return result, false, fmt.Errorf("%w: %w", ErrUnavailable, last)
}

// call makes one call and tells whether it ended without an answer in time.
func (c *Client) call(ctx context.Context, address anvilid.Address, request *anvilrpc.ProposeRequest, timeout time.Duration) (reply *anvilrpc.ProposeReply, unanswered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request.Relay = c.relays()
	reply, err = c.dial(address).Propose(ctx, request)
	return reply, ctx.Err() != nil, err
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
