package anvilrelay

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspread"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilrpc"
)

// maxPassing is the number of calls in flight that pass announcements on. Each occupies a connection to the leader, and a
// change waits there for a commit. When thousands of targets announce themselves for the first time, further ones wait and
// are passed on together, so that the leader commits them together.
const maxPassing = 8

// passage is an announcement that waits to be passed on.
type passage struct {
	arrival
	result chan passed // of capacity 1
}

// passed is the answer to an announcement that was passed on.
type passed struct {
	holder anvilid.InstanceID
	err    error
}

// pass passes an announcement on, and returns the instance that holds the target once the leader has acknowledged it.
func (r *Relay) pass(ctx context.Context, target anvilwork.Target) (anvilid.InstanceID, error) {
	waiting := &passage{arrival{target, r.clock.Now()}, make(chan passed, 1)}
	if r.enqueue(waiting) {
		holder, err := r.passAlone(ctx, target)
		if queued := r.dequeue(); len(queued) > 0 {
			go r.passQueued(context.WithoutCancel(ctx), queued)
		}
		return holder, err
	}
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case p := <-waiting.result:
		return p.holder, p.err
	}
}

// enqueue reports whether an announcement can be passed on right now. Otherwise it is queued.
func (r *Relay) enqueue(waiting *passage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.passing < maxPassing {
		r.passing++
		return true
	}
	r.queued = append(r.queued, waiting)
	return false
}

func (r *Relay) passAlone(ctx context.Context, target anvilwork.Target) (anvilid.InstanceID, error) {
	data, err := cbor.Marshal(target)
	if err != nil {
		return "", err
	}
	reply, err := r.send(ctx, func() (*anvilrpc.AnnounceCall, error) { return &anvilrpc.AnnounceCall{Target: data}, nil })
	if err != nil {
		return "", err
	}
	return anvilid.InstanceID(reply.Leader), nil
}

// passQueued passes on what was queued in the place of a call that has ended, until nothing is.
func (r *Relay) passQueued(ctx context.Context, queued []*passage) {
	for ; len(queued) > 0; queued = r.dequeue() {
		batch := make([]arrival, 0, len(queued))
		for _, waiting := range queued {
			batch = append(batch, waiting.arrival)
		}
		reply, err := r.deliver(ctx, batch)
		for _, waiting := range queued {
			waiting.result <- r.resultOf(waiting.target.ID, reply, err)
		}
	}
}

// resultOf returns the answer to one of the announcements that were passed on together.
func (r *Relay) resultOf(target anvilid.TargetID, reply *anvilrpc.AnnounceReply, err error) passed {
	switch {
	case err != nil:
		return passed{err: err}
	case len(reply.Holders) == 0:
		return passed{holder: r.self}
	}
	var holders []anvilid.InstanceID
	for _, holder := range reply.Holders {
		holders = append(holders, anvilid.InstanceID(holder))
	}
	return passed{holder: anvilspread.Among(holders...).Holder(target)}
}

// dequeue takes what is queued, at most maxBatch announcements. If nothing is, the place of the call is free again.
func (r *Relay) dequeue() []*passage {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(len(r.queued), maxBatch)
	queued := r.queued[:count:count]
	r.queued = r.queued[count:]
	if count == 0 {
		r.passing--
	}
	return queued
}
