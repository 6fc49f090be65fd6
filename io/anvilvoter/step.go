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
	// maxStepRequests and maxStepBytes bound the number of requests that one call
	// of stepRequests handles, and the total size of their commands in bytes.
	maxStepRequests = 256
	maxStepBytes    = 1 << 20
	// lateTickFactor is the number of tick intervals from which on the gap between two ticks
	// means that this process was starved or frozen. Smaller gaps are short compared to an
	// election timeout.
	lateTickFactor = 5
	// firstRequestKey is the first key of an event that carries requests to the
	// anvilraft.Node. Compact events use log indexes as keys. All log indexes are
	// below firstRequestKey, so the two kinds of keys never collide.
	firstRequestKey = 1 << 63
)

// pendingEntry is an accepted request whose log entry is not committed yet.
type pendingEntry struct {
	term    anvilid.Term
	request *request
}

// stepper is the state of the step loop. The loop passes events to the
// anvilraft.Node and the resulting work to the disk loop, the apply loop and the
// senders.
type stepper struct {
	*Voter
	ctx     context.Context
	senders senders
	key     uint64 // key of the latest event with requests
	// unanswered contains the requests that the node has neither accepted nor
	// rejected yet, by the key of the event that carried them.
	unanswered map[uint64][]*request
	// pending contains the accepted requests whose entries are not committed yet.
	// The key is the log index of the entry.
	pending map[anvilid.Index]pendingEntry
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
	lastTickAt := s.clock.Now()
	for {
		requests := s.requests
		if len(s.saves) > lagLimit || len(s.applyItems) > lagLimit {
			requests = nil // calls stay queued while the disk or the state machine lags behind
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			now := s.clock.Now()
			s.step(anvilraft.Tick{Late: s.lateness(now - lastTickAt)})
			lastTickAt = now
			s.senders.prune(s.clock.Now())
		case message := <-s.inbox:
			s.step(anvilraft.Receive{Message: message})
		case event := <-s.notices:
			s.step(event)
		case sequence := <-s.persisted:
			s.step(anvilraft.Persisted{Sequence: sequence})
		case compact := <-s.compactions:
			s.step(compact)
		case r := <-requests:
			s.stepRequests(r)
		}
	}
}

// lateness returns how much later than due a tick comes that follows the one before by gap, or 0 if
// that is within the usual delays.
func (s *stepper) lateness(gap anvilclock.Millis) anvilclock.Millis {
	if gap < lateTickFactor*s.tick {
		return 0
	}
	return gap - s.tick
}

// stepRequests passes the queued requests to the node together: all proposals share
// one event, and all barriers share one round of messages.
func (s *stepper) stepRequests(first *request) {
	var proposals, barriers []*request
	var commands [][]byte
	size := 0
	for r, count := first, 0; r != nil; count++ {
		switch {
		case !r.claimed.CompareAndSwap(false, true): // the caller has abandoned the request
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
		s.step(anvilraft.Propose{Key: s.register(proposals), Commands: commands, At: s.LogTime()})
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
	s.copied.note(now, event, s.node.Leader())
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

// reject finishes the requests of the event with a key, which the node rejected,
// with an error.
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
			// Another entry now has the log index of the former request's entry.
			// A leader has every committed entry, and this voter is the leader. So
			// the former entry was never committed and has no effect.
			former.request.finish(0, nil, &NotLeaderError{})
		}
		s.pending[index] = pendingEntry{acceptance.Term, r}
	}
	delete(s.unanswered, acceptance.Key)
}

// failCovered finishes with ErrLost the requests whose entries have an index of at
// most snapshotIndex, because a snapshot up to that index has replaced the log. The
// snapshot does not show whether it includes these entries or those of another
// leader at the same indexes.
func (s *stepper) failCovered(snapshotIndex anvilid.Index) {
	for index, entry := range s.pending {
		if index <= snapshotIndex {
			entry.request.finish(0, nil, eris.Wrapf(ErrLost, "voter %s received a snapshot that covers the entry", s.instance))
			delete(s.pending, index)
		}
	}
}

// takeCommitted removes the requests of the given committed entries from pending.
// It returns those that wait for one of these entries, by its log index. Requests
// whose entries were replaced by entries of another leader are finished with an
// error.
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
