package anvilvoter

import (
	"context"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

const (
	// maxStepRequests and maxStepBytes bound the number of requests that one step
	// handles and the total size of their commands.
	maxStepRequests = 256
	maxStepBytes    = 1 << 20
	// firstRequestKey is above all log indexes, which are the keys of Compact
	// events. So the keys of requests never equal one of them.
	firstRequestKey = 1 << 63
)

// pendingEntry is an accepted request whose log entry is not committed yet.
type pendingEntry struct {
	term    anvilid.Term
	request *request
}

// stepper is the step loop, which passes events to the anvilraft.Node and
// distributes the resulting work.
type stepper struct {
	*Voter
	ctx     context.Context
	senders senders
	key     uint64
	// unanswered holds the requests for which the node has returned no result
	// yet, by key.
	unanswered map[uint64][]*request
	pending    map[anvilid.Index]pendingEntry
}

func newStepper(ctx context.Context, v *Voter) *stepper {
	return &stepper{
		Voter: v, ctx: ctx, key: firstRequestKey,
		senders:    senders{ctx: ctx, voter: v, queues: map[anvilraft.VoterID]*peerQueue{}},
		unanswered: map[uint64][]*request{},
		pending:    map[anvilid.Index]pendingEntry{},
	}
}

func (s *stepper) loop() {
	defer s.senders.loops.Wait()
	ticker := time.NewTicker(s.tick.Duration())
	defer ticker.Stop()
	for {
		requests := s.requests
		if len(s.saves) > lagLimit || len(s.applyItems) > lagLimit {
			requests = nil // calls stay queued while the disk or the state machine lags behind
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.step(anvilraft.Tick{})
			s.senders.prune(s.clock.Now())
		case message := <-s.inbox:
			s.step(anvilraft.Receive{Message: message})
		case sequence := <-s.persisted:
			s.step(anvilraft.Persisted{Sequence: sequence})
		case compact := <-s.compactions:
			s.step(compact)
		case r := <-requests:
			s.stepRequests(r)
		}
	}
}

// stepRequests passes the queued requests to the node together: all proposals share
// one event, and all barriers share one round of messages.
func (s *stepper) stepRequests(first *request) {
	var proposals, barriers []*request
	var commands [][]byte
	size := 0
	for r, count := first, 0; r != nil; count++ {
		switch {
		case !r.claimed.CompareAndSwap(false, true): // the caller has abandoned it
		case r.change != nil:
			s.change(r)
		case r.barrier:
			barriers = append(barriers, r)
		default:
			proposals, commands = append(proposals, r), append(commands, r.command)
			size += len(r.command)
		}
		r = nil
		if count < maxStepRequests && size < maxStepBytes {
			select {
			case r = <-s.requests:
			default:
			}
		}
	}
	if len(proposals) > 0 {
		s.step(anvilraft.Propose{Key: s.register(proposals), Commands: commands, At: s.wall.Now()})
	}
	if len(barriers) > 0 {
		s.step(anvilraft.ReadBarrier{Key: s.register(barriers)})
	}
}

func (s *stepper) register(requests []*request) uint64 {
	s.key++
	s.unanswered[s.key] = requests
	return s.key
}

func (s *stepper) change(r *request) {
	event := *r.change
	event.Key = s.register([]*request{r})
	s.step(event)
}

func (s *stepper) step(event anvilraft.Event) {
	now := s.clock.Now()
	s.mu.Lock()
	effects := s.node.Step(now, event)
	s.mu.Unlock()
	s.handle(now, effects)
}

func (s *stepper) handle(now anvilclock.Millis, effects anvilraft.Effects) {
	for _, acceptance := range effects.Accepted {
		s.accept(acceptance)
	}
	for _, rejected := range effects.Rejected {
		s.reject(rejected.Key, rejection(rejected))
	}
	if effects.Save != nil {
		select {
		case s.saves <- *effects.Save:
		case <-s.ctx.Done():
			return
		}
	}
	for _, message := range effects.Send {
		s.senders.add(now, message)
	}
	item := applyItem{restore: effects.Restore, entries: effects.Committed}
	if effects.Restore != nil {
		s.failCovered(effects.Restore.Index)
	}
	item.waiters = s.takeCommitted(effects.Committed, effects.Leader)
	for _, barrier := range effects.Barriers {
		item.barriers = append(item.barriers, s.unanswered[barrier.Key]...)
		delete(s.unanswered, barrier.Key)
	}
	if item.restore == nil && len(item.entries) == 0 && len(item.barriers) == 0 {
		return
	}
	select {
	case s.applyItems <- item:
	case <-s.ctx.Done():
	}
}

// reject fails the requests that the node rejected.
func (s *stepper) reject(key uint64, err error) {
	for _, r := range s.unanswered[key] {
		r.finish(0, nil, err)
	}
	delete(s.unanswered, key)
}

func (s *stepper) accept(acceptance anvilraft.Acceptance) {
	for i, r := range s.unanswered[acceptance.Key] {
		index := acceptance.First + anvilid.Index(i)
		if former, ok := s.pending[index]; ok {
			// A leader has every committed entry. So an entry that it lacks was
			// never committed and has no effect.
			former.request.finish(0, nil, &NotLeaderError{})
		}
		s.pending[index] = pendingEntry{acceptance.Term, r}
	}
	delete(s.unanswered, acceptance.Key)
}

// failCovered fails the requests whose entries are replaced by a snapshot up to
// snapshotIndex. The snapshot does not show whether it includes these entries or
// others at the same indexes.
func (s *stepper) failCovered(snapshotIndex anvilid.Index) {
	for index, entry := range s.pending {
		if index <= snapshotIndex {
			entry.request.finish(0, nil, eris.Wrapf(ErrLost, "voter %s received a snapshot that covers the entry", s.instance))
			delete(s.pending, index)
		}
	}
}

// takeCommitted returns the requests whose entries are committed, by index. It
// fails the requests whose entries were replaced by those of another leader.
func (s *stepper) takeCommitted(entries []anvilraft.Entry, leader anvilraft.VoterID) map[anvilid.Index]*request {
	if len(s.pending) == 0 {
		return nil
	}
	waiters := map[anvilid.Index]*request{}
	for i := range entries {
		entry, ok := s.pending[entries[i].Index]
		if !ok {
			continue
		}
		delete(s.pending, entries[i].Index)
		if entry.term == entries[i].Term {
			waiters[entries[i].Index] = entry.request
		} else {
			entry.request.finish(0, nil, &NotLeaderError{Leader: leader})
		}
	}
	return waiters
}
