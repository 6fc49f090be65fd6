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
	// gatherCount and gatherBytes bound the requests of one step.
	gatherCount = 256
	gatherBytes = 1 << 20
	// firstKey keeps the keys of requests apart from log indexes, which are the
	// keys of Compact events.
	firstKey = 1 << 63
)

// pendingEntry is an accepted request whose entry isn't committed yet.
type pendingEntry struct {
	term    anvilid.Term
	request *request
}

// stepper is the state of the step loop.
type stepper struct {
	*Voter
	ctx     context.Context
	senders senders
	key     uint64
	// asked holds the requests that the node hasn't answered, by key.
	asked   map[uint64][]*request
	pending map[anvilid.Index]pendingEntry
}

func newStepper(ctx context.Context, v *Voter) *stepper {
	return &stepper{
		Voter: v, ctx: ctx, key: firstKey,
		senders: senders{ctx: ctx, voter: v, queues: map[anvilraft.VoterID]*peerQueue{}},
		asked:   map[uint64][]*request{},
		pending: map[anvilid.Index]pendingEntry{},
	}
}

func (s *stepper) loop() {
	defer s.senders.duties.Wait()
	ticker := time.NewTicker(s.tick.Duration())
	defer ticker.Stop()
	for {
		requests := s.requests
		if len(s.saves) > lagging || len(s.applies) > lagging {
			requests = nil // calls wait while the disk or the state machine lags behind
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
		case compact := <-s.compacts:
			s.step(compact)
		case r := <-requests:
			s.gather(r)
		}
	}
}

// gather steps the waiting requests together: the proposals share one event
// and the barriers share one round of messages.
func (s *stepper) gather(first *request) {
	var proposals, barriers []*request
	var commands [][]byte
	size := 0
	for r, count := first, 0; r != nil; count++ {
		switch {
		case !r.taken.CompareAndSwap(false, true): // the caller has given up
		case r.change != nil:
			s.change(r)
		case r.barrier:
			barriers = append(barriers, r)
		default:
			proposals, commands = append(proposals, r), append(commands, r.command)
			size += len(r.command)
		}
		r = nil
		if count < gatherCount && size < gatherBytes {
			select {
			case r = <-s.requests:
			default:
			}
		}
	}
	if len(proposals) > 0 {
		s.step(anvilraft.Propose{Key: s.ask(proposals), Commands: commands, At: s.wall.Now()})
	}
	if len(barriers) > 0 {
		s.step(anvilraft.ReadBarrier{Key: s.ask(barriers)})
	}
}

func (s *stepper) ask(requests []*request) uint64 {
	s.key++
	s.asked[s.key] = requests
	return s.key
}

func (s *stepper) change(r *request) {
	event := *r.change
	event.Key = s.ask([]*request{r})
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
		s.answer(rejected.Key, rejection(rejected))
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
		s.lose(effects.Restore.Index)
	}
	item.waiters = s.commit(effects.Committed, effects.Leader)
	for _, barrier := range effects.Barriers {
		item.barriers = append(item.barriers, s.asked[barrier.Key]...)
		delete(s.asked, barrier.Key)
	}
	if item.restore == nil && len(item.entries) == 0 && len(item.barriers) == 0 {
		return
	}
	select {
	case s.applies <- item:
	case <-s.ctx.Done():
	}
}

// answer ends requests that the node rejected.
func (s *stepper) answer(key uint64, err error) {
	for _, r := range s.asked[key] {
		r.finish(0, nil, err)
	}
	delete(s.asked, key)
}

func (s *stepper) accept(acceptance anvilraft.Acceptance) {
	for i, r := range s.asked[acceptance.Key] {
		index := acceptance.First + anvilid.Index(i)
		if former, ok := s.pending[index]; ok {
			// A leader has every committed entry, so one that it lacks is void.
			former.request.finish(0, nil, &NotLeaderError{})
		}
		s.pending[index] = pendingEntry{acceptance.Term, r}
	}
	delete(s.asked, acceptance.Key)
}

// lose ends the requests whose entries a snapshot covers: it doesn't tell
// whether they are part of it.
func (s *stepper) lose(covered anvilid.Index) {
	for index, entry := range s.pending {
		if index <= covered {
			entry.request.finish(0, nil, eris.Wrapf(ErrLost, "voter %s received a snapshot", s.instance))
			delete(s.pending, index)
		}
	}
}

// commit returns the requests that wait for committed entries, and ends those
// whose entries were replaced by other ones.
func (s *stepper) commit(entries []anvilraft.Entry, leader anvilraft.VoterID) map[anvilid.Index]*request {
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
