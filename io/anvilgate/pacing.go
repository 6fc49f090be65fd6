package anvilgate

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anviladmit"
	"anvilshunt/core/anvilclock"
	"anvilshunt/io/anvillogs"
)

// pacing sends the calls of callers at the times and in the order that a pacer decides.
type pacing struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger

	mu      sync.Mutex
	pacer   *anviladmit.Pacer
	returns anviladmit.Returns
	turns   map[*anviladmit.Call]chan struct{} // closed when it is the turn of the waiting call
	armed   bool                               // a timer runs that calls advance
	// searchBegan is when a round of attempts first found no leader. Since then, held calls have waited for
	// their turn.
	searchBegan anvilclock.Millis
	held        int
}

func newPacing(clock anvilclock.Clock, log *anvillogs.Logger) *pacing {
	return &pacing{clock: clock, log: log, pacer: anviladmit.NewPacer(), turns: map[*anviladmit.Call]chan struct{}{}}
}

// await waits until it is the turn of a call. It returns false if ctx has ended before, and the call must
// not be sent then. After true, finish must be called.
func (p *pacing) await(ctx context.Context, c *anviladmit.Call) bool {
	turn := p.enqueue(c)
	select {
	case <-turn:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		return true
	}
	p.abandon(c)
	return false
}

func (p *pacing) enqueue(c *anviladmit.Call) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := make(chan struct{})
	p.turns[c] = turn
	p.pacer.Enqueue(c)
	p.advance()
	if p.turns[c] != nil {
		p.held++
	}
	return turn
}

// abandon gives up the turn of a call, or its place in the queue.
func (p *pacing) abandon(c *anviladmit.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turns[c] == nil {
		p.pacer.Finish(p.clock.Now(), c)
		p.advance()
		return
	}
	p.pacer.Remove(c)
	delete(p.turns, c)
}

// finish records that a round of attempts of a call has ended. found means that it got its answer.
func (p *pacing) finish(c *anviladmit.Call, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.pacer.Finish(now, c)
	if !found && p.pacer.NoLeader(now) {
		p.searchBegan, p.held = now, 0
	}
	p.advance()
}

// leaderAnswered ends the search for a leader, and sends the calls that were held.
func (p *pacing) leaderAnswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pacer.LeaderAnswered() {
		return
	}
	p.log.Write(anvillogs.HeldCallsSent, zap.Int("held", p.held), zap.Int("waiting", p.pacer.Waiting()),
		zap.Int64("took", int64(p.clock.Now()-p.searchBegan)))
	p.advance()
}

// advance wakes the calls whose turn it is. p.mu must be held.
func (p *pacing) advance() {
	now := p.clock.Now()
	for c := p.pacer.Next(now); c != nil; c = p.pacer.Next(now) {
		close(p.turns[c])
		delete(p.turns, c)
	}
	delay, waiting := p.pacer.Delay(now)
	if !waiting || p.armed {
		return
	}
	p.armed = true
	time.AfterFunc(delay.Duration(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.armed = false
		p.advance()
	})
}

// retryAfter returns the delay until a refused caller should come back, see anviladmit.Returns.
func (p *pacing) retryAfter(shortest anvilclock.Millis) anvilclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns.Delay(p.clock.Now(), shortest, maxRetryAfter)
}
