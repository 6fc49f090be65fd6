package anvilvoter

import (
	"context"
	"sync"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxSendMessages and maxSendBytes bound the number and the total size of the
	// messages in one call of Send.
	maxSendMessages = 64
	maxSendBytes    = 256 << 10
	// peerIdleTimeout is the time without a message to a peer after which the
	// goroutine that sends to it is stopped, because the peer has left the group.
	// Members of the group get heartbeats much more often.
	peerIdleTimeout = anvilclock.Minute
)

// peerQueue is the queue of messages to one peer. Only the step loop adds messages.
type peerQueue struct {
	messages chan anvilraft.Message
	lastUsed anvilclock.Millis
}

// senders sends messages to the peers. It starts one goroutine for each peer at
// the first message to it.
type senders struct {
	ctx    context.Context
	voter  *Voter
	queues map[anvilraft.VoterID]*peerQueue
	loops  sync.WaitGroup
}

// add queues a message. If the queue is full, it drops the oldest message,
// because newer messages supersede older ones.
func (s *senders) add(now anvilclock.Millis, message anvilraft.Message) {
	queue := s.queues[message.To]
	if queue == nil {
		queue = &peerQueue{messages: make(chan anvilraft.Message, peerQueueSize)}
		s.queues[message.To] = queue
		s.loops.Go(func() { s.voter.sendLoop(s.ctx, message.To, queue.messages) })
	}
	queue.lastUsed = now
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

// prune stops the sending goroutines of peers that were sent no message for
// peerIdleTimeout. These peers have left the group.
func (s *senders) prune(now anvilclock.Millis) {
	for peer, queue := range s.queues {
		if now-queue.lastUsed > peerIdleTimeout {
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
			v.sendQueued(ctx, peer, message, messages)
		}
	}
}

// sendQueued sends a message together with the messages that are queued after it.
func (v *Voter) sendQueued(parent context.Context, peer anvilraft.VoterID, message anvilraft.Message, messages <-chan anvilraft.Message) {
	var encoded [][]byte
	size := 0
	for more := true; more; {
		data, err := cbor.Marshal(message)
		if err != nil {
			v.dropped.Add(1)
		} else {
			encoded = append(encoded, data)
			size += len(data)
		}
		more = false
		if len(encoded) < maxSendMessages && size < maxSendBytes {
			select {
			case message, more = <-messages:
			default:
			}
		}
	}
	ctx, cancel := context.WithTimeout(parent, sendTimeout)
	defer cancel()
	if err := v.send(ctx, peer, encoded); err != nil {
		v.sendErrors.Add(1)
	}
}
