// Package anvilrelay takes the announcements of targets at an instance that doesn't lead, and passes them on to the
// leader. What may change the replicated state is passed on at once and acknowledged by the leader; what only repeats an
// announcement that the leader has acknowledged is acknowledged at once and passed on in batches.
//
// The load it answers: thousands of targets that announce themselves every one or two seconds, nearly always unchanged.
// One call of the leader for each of them takes the processor time that the replicated log needs.
package anvilrelay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

const (
	// flushInterval is the time between two batches. It is short beside the announce interval, which bounds how late the
	// leader may learn that a target is silent.
	flushInterval = 100 * time.Millisecond
	// deliveryTimeout bounds the delivery of one batch.
	deliveryTimeout = 900 * time.Millisecond
	// maxUndelivered is the age of the oldest keepalive that waits for delivery from which on no more are acknowledged.
	// Announcements then go to the leader one by one, and a target whose announcement fails tries another instance.
	maxUndelivered = anvilclock.Second
	// maxAcknowledged is how long announcements may be acknowledged here after the leader has acknowledged one of the
	// same target. The leader then names the instance for later announcements anew.
	maxAcknowledged = 30 * anvilclock.Second
	// maxBatch is the number of keepalives in one call. It bounds the time that the leader takes for one.
	maxBatch = 1000
)

// Send passes a call on to the leader. The message is called for each attempt, right before it is sent.
type Send func(ctx context.Context, message func() (*anvilrpc.AnnounceCall, error)) (*anvilrpc.AnnounceReply, error)

// Relay passes announcements on. Its methods may be called at the same time.
type Relay struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	self  anvilid.InstanceID
	send  Send
	// leader returns the instance that was last seen to lead. The leader itself relays nothing.
	leader func() anvilid.InstanceID

	// batched counts the announcements that were passed on in batches.
	batched atomic.Uint64

	mu sync.Mutex
	// passing is the number of calls in flight that pass announcements on, and queued has those that wait for one.
	passing int
	queued  []*passage
	// held has the targets that the leader has told to announce themselves here.
	held map[anvilid.TargetID]holding
	// waiting has the latest keepalive of each target that the leader doesn't know yet, and when it arrived.
	waiting map[anvilid.TargetID]arrival
	// undeliveredSince is when the first of the keepalives arrived that wait, or 0 if none does.
	undeliveredSince anvilclock.Millis
}

// holding is the latest announcement of a target that is known to be like the one that the leader has acknowledged.
type holding struct {
	target anvilwork.Target
	// at is when the leader last acknowledged an announcement of the target.
	at anvilclock.Millis
}

type arrival struct {
	target anvilwork.Target
	at     anvilclock.Millis
}

// New returns the relay of an instance. The clock must go on while the process is suspended, as the leader relies on the
// age of what it is sent.
func New(clock anvilclock.Clock, log *anvillogs.Logger, self anvilid.InstanceID, leader func() anvilid.InstanceID, send Send) *Relay {
	return &Relay{
		clock: clock, log: log, self: self, leader: leader, send: send, held: map[anvilid.TargetID]holding{}, waiting: map[anvilid.TargetID]arrival{},
	}
}

// Announce acknowledges an announcement, if need be after the leader has. It returns the instance to which the target
// announces itself from now on.
func (r *Relay) Announce(ctx context.Context, target anvilwork.Target) (anvilid.InstanceID, error) {
	if r.leader() != r.self && r.acknowledge(target) {
		r.batched.Add(1)
		return r.self, nil
	}
	r.drop(target.ID)
	holder, err := r.pass(ctx, target)
	if err != nil {
		return "", err
	}
	r.hold(target, holder == r.self && r.leader() != r.self)
	return holder, nil
}

// Depart passes on that a target has ended.
func (r *Relay) Depart(ctx context.Context, target anvilid.TargetID) error {
	r.drop(target)
	data, err := cbor.Marshal(anvilwork.Target{ID: target})
	if err != nil {
		return err
	}
	_, err = r.send(ctx, func() (*anvilrpc.AnnounceCall, error) {
		return &anvilrpc.AnnounceCall{Target: data, Left: true}, nil
	})
	return err
}

// acknowledge reports whether an announcement can be acknowledged here, and keeps it for the next batch.
func (r *Relay) acknowledge(target anvilwork.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, held := r.clock.Now(), r.held[target.ID]
	switch {
	case held.target.ID == "" || !target.Repeats(&held.target):
		return false
	case now-held.at > maxAcknowledged:
		return false
	case r.undeliveredSince > 0 && now-r.undeliveredSince > maxUndelivered:
		return false
	}
	held.target = target
	r.held[target.ID] = held
	r.waiting[target.ID] = arrival{target, now}
	if r.undeliveredSince == 0 {
		r.undeliveredSince = now
	}
	return true
}

// drop forgets what is known of a target of which something later is passed on.
func (r *Relay) drop(target anvilid.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, target)
	delete(r.waiting, target)
}

// hold remembers an announcement that the leader has acknowledged, if the target announces itself here from now on.
func (r *Relay) hold(target anvilwork.Target, here bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !here || target.Leaving {
		delete(r.held, target.ID)
		return
	}
	if latest, ok := r.held[target.ID]; ok && latest.target.Incarnation == target.Incarnation && latest.target.Sequence > target.Sequence {
		return
	}
	r.held[target.ID] = holding{target, r.clock.Now()}
}

// Run passes on what waits until ctx is done.
func (r *Relay) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.flush(ctx)
		}
	}
}

// flush passes on what waits, in calls of at most maxBatch keepalives, until one fails. The keepalives of that one wait
// further, unless later ones have arrived.
func (r *Relay) flush(ctx context.Context) {
	waiting := r.take()
	for batch := range slices.Chunk(waiting, maxBatch) {
		if _, err := r.deliver(ctx, batch); err != nil {
			r.log.Write(anvillogs.KeepalivesUndelivered, zap.Int("targets", len(waiting)), zap.Error(err))
			r.putBack(waiting)
			return
		}
		waiting = waiting[len(batch):]
	}
	r.delivered()
}

func (r *Relay) take() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var waiting []arrival
	for _, a := range r.waiting {
		waiting = append(waiting, a)
	}
	clear(r.waiting)
	r.forget(r.clock.Now())
	return waiting
}

// forget drops the targets that have not announced themselves here for long. r.mu must be held.
func (r *Relay) forget(now anvilclock.Millis) {
	for id, held := range r.held {
		if now-held.at > 2*maxAcknowledged {
			delete(r.held, id)
		}
	}
}

// deliver passes a batch of announcements on. They have been acknowledged by the leader if there is no error.
func (r *Relay) deliver(parent context.Context, batch []arrival) (*anvilrpc.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(parent, deliveryTimeout)
	defer cancel()
	return r.send(ctx, func() (*anvilrpc.AnnounceCall, error) {
		now := r.clock.Now()
		keepalives := make([]anvilwork.Keepalive, 0, len(batch))
		for _, a := range batch {
			keepalives = append(keepalives, anvilwork.Keepalive{Target: a.target, Age: now - a.at})
		}
		data, err := cbor.Marshal(keepalives)
		return &anvilrpc.AnnounceCall{Target: data}, err
	})
}

// delivered notes that the keepalives that were taken have arrived.
func (r *Relay) delivered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.undeliveredSince = 0
	for _, a := range r.waiting {
		if r.undeliveredSince == 0 || a.at < r.undeliveredSince {
			r.undeliveredSince = a.at
		}
	}
}

// putBack lets keepalives wait further that were not delivered, unless the target has announced itself since.
func (r *Relay) putBack(arrivals []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range arrivals {
		held := r.held[a.target.ID]
		if _, later := r.waiting[a.target.ID]; !later && held.target.Incarnation == a.target.Incarnation {
			r.waiting[a.target.ID] = a
		}
	}
}
