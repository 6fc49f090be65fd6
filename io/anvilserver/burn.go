package anvilserver

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcontrol"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
)

// burnPeriod is how often counts of past minutes are proposed. A report lags
// by this much.
const burnPeriod = 5 * time.Second

// burnTimeout bounds the proposal of one batch. The batch stays and is
// proposed again.
const burnTimeout = 2 * time.Second

// tally counts the requests of this instance.
type tally struct {
	wall anvilclock.Clock

	mu       sync.Mutex
	recorder *anvilburn.Recorder
}

func (t *tally) add(event anvilburn.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorder.Add(t.wall.Now(), event)
}

// next returns the oldest batch to propose. With all set it includes the
// minute that isn't over.
func (t *tally) next(all bool) *anvilburn.Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if all {
		t.recorder.Flush()
	} else {
		t.recorder.CloseMinute(t.wall.Now())
	}
	return t.recorder.NextBatch()
}

func (t *tally) accepted(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorder.Acknowledge(sequence)
}

func (t *tally) dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorder.DroppedRequests()
}

// sendCounts is the duty that proposes the counts of past minutes.
func (s *Server) sendCounts(ctx context.Context) error {
	ticker := time.NewTicker(burnPeriod)
	defer ticker.Stop()
	dropped := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.proposeCounts(ctx, false)
		if now := s.tally.dropped(); now > dropped {
			dropped = now
			s.log.Write(anvillogs.ProposalFailed, zap.String("command", "burn"), zap.Uint64("dropped", dropped))
		}
	}
}

// proposeCounts proposes batches until none is left or one isn't accepted.
func (s *Server) proposeCounts(ctx context.Context, all bool) {
	for batch := s.tally.next(all); batch != nil; batch = s.tally.next(all) {
		call, cancel := context.WithTimeout(ctx, burnTimeout)
		result, err := s.client.Propose(call, &anvilstate.Command{Burn: batch})
		cancel()
		if err != nil {
			return
		}
		if result.Code != "" {
			// The refusal is final, and the history counts it.
			s.log.Write(anvillogs.ProposalFailed, zap.String("command", "burn"), zap.String("error", result.Detail))
		}
		s.tally.accepted(batch.Sequence)
	}
}

func (s *Server) burn(ctx context.Context, service anvilid.ServiceName) (anvilburn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var report anvilburn.Report
	if service != "" && s.config().Service(service) == nil {
		return report, fmt.Errorf("%w: service %q isn't configured; list services with `anvilshunt service list`", anvilhttp.ErrNotFound, service)
	}
	now, err := anvilstate.Encode(s.wall.Now())
	if err != nil {
		return report, err
	}
	err = s.client.Query(ctx, anvilcontrol.QueryBurn, string(service), now, &report)
	return report, controlError(err)
}
