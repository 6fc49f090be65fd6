package anvilvoter

import (
	"context"
	"sync"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"

	"github.com/fxamacker/cbor/v2"
)

const (
	// sendBatch and sendBytes bound one call of Send.
	sendBatch = 64
	sendBytes = 256 << 10
	// peerIdle is how long a peer without messages keeps its sender. Members
	// get heartbeats much more often.
	peerIdle = anvilclock.Minute
)

// peerQueue holds the messages for one peer. Only the step loop adds to it.
type peerQueue struct {
	messages chan anvilraft.Message
	usedAt   anvilclock.Millis
}

// senders starts a goroutine per peer when it is first needed.
type senders struct {
	ctx    context.Context
	voter  *Voter
	queues map[anvilraft.VoterID]*peerQueue
	duties sync.WaitGroup
}

// add queues a message. It drops the oldest one if the queue is full, because
// newer messages make older ones superfluous.
func (s *senders) add(now anvilclock.Millis, message anvilraft.Message) {
	queue := s.queues[message.To]
	if queue == nil {
		queue = &peerQueue{messages: make(chan anvilraft.Message, peerSize)}
		s.queues[message.To] = queue
		s.duties.Go(func() { s.voter.sendLoop(s.ctx, message.To, queue.messages) })
	}
	queue.usedAt = now
	for {
		select {
		case queue.messages <- message:
			return
		default:
		}
		select {
		case <-queue.messages:
			s.voter.dropped.Add(1)
		default:
		}
	}
}

// prune ends the senders of peers that have left.
func (s *senders) prune(now anvilclock.Millis) {
	for peer, queue := range s.queues {
		if now-queue.usedAt > peerIdle {
			close(queue.messages)
			delete(s.queues, peer)
		}
	}
}

func (v *Voter) sendLoop(ctx context.Context, peer anvilraft.VoterID, messages <-chan anvilraft.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case message, open := <-messages:
			if !open {
				return
			}
			v.sendGroup(ctx, peer, message, messages)
		}
	}
}

// sendGroup sends a message together with those that wait behind it.
func (v *Voter) sendGroup(parent context.Context, peer anvilraft.VoterID, message anvilraft.Message, messages <-chan anvilraft.Message) {
	var group [][]byte
	size := 0
	for more := true; more; {
		data, err := cbor.Marshal(message)
		if err != nil {
			v.dropped.Add(1)
		} else {
			group = append(group, data)
			size += len(data)
		}
		more = false
		if len(group) < sendBatch && size < sendBytes {
			select {
			case message, more = <-messages:
			default:
			}
		}
	}
	ctx, cancel := context.WithTimeout(parent, sendTimeout)
	defer cancel()
	if err := v.send(ctx, peer, group); err != nil {
		v.sendErrors.Add(1)
	}
}
