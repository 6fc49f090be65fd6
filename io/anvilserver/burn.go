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

// burnPeriod is the interval at which this instance proposes its request counts of past minutes to
// the control group. Error budget reports are out of date by up to this much.
const burnPeriod = 5 * time.Second

// burnTimeout limits the proposal of one batch, which contains the request counts of one minute.
// After a timeout the batch is kept and proposed again.
const burnTimeout = 2 * time.Second

// burnRecorder counts the requests of this instance that met or missed the service level objectives.
type burnRecorder struct {
	wall anvilclock.Clock

	mu       sync.Mutex
	recorder *anvilburn.Recorder
}

func (r *burnRecorder) record(event anvilburn.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Add(r.wall.Now(), event)
}

// nextBatch returns the oldest batch (the request counts of one minute) that the control group has
// not accepted, or nil. If includeCurrent is set, the current minute gets a batch too, although it has
// not ended.
func (r *burnRecorder) nextBatch(includeCurrent bool) *anvilburn.Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if includeCurrent {
		r.recorder.Flush()
	} else {
		r.recorder.CloseMinute(r.wall.Now())
	}
	return r.recorder.NextBatch()
}

func (r *burnRecorder) acknowledge(sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Acknowledge(sequence)
}

func (r *burnRecorder) droppedRequests() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.DroppedRequests()
}

// reportCounts is the background task that proposes the counts of past minutes to the control
// group.
func (s *Server) reportCounts(ctx context.Context) error {
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
		if total := s.burnRecorder.droppedRequests(); total > dropped {
			dropped = total
			s.log.Write(anvillogs.ProposalFailed, zap.String("command", "burn"), zap.Uint64("dropped", dropped))
		}
	}
}

// proposeCounts proposes batches of request counts, oldest first, until none is left or a proposal
// gets no result. includeCurrent is passed to nextBatch.
func (s *Server) proposeCounts(ctx context.Context, includeCurrent bool) {
	for batch := s.burnRecorder.nextBatch(includeCurrent); batch != nil; batch = s.burnRecorder.nextBatch(includeCurrent) {
		call, cancel := context.WithTimeout(ctx, burnTimeout)
		result, err := s.client.Propose(call, &anvilstate.Command{Burn: batch})
		cancel()
		if err != nil {
			return
		}
		if result.Code != "" {
			// The state machine has refused the batch for good, so it is not proposed again. The
			// replicated history of the counts records it as skipped.
			s.log.Write(anvillogs.ProposalFailed, zap.String("command", "burn"), zap.String("error", result.Detail))
		}
		s.burnRecorder.acknowledge(batch.Sequence)
	}
}

// burn returns the error budget report of one service, or of all services for an empty name.
func (s *Server) burn(ctx context.Context, service anvilid.ServiceName) (anvilburn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var report anvilburn.Report
	if service != "" && s.config().Service(service) == nil {
		return report, fmt.Errorf("%w: service %q isn't configured; list services with `anvilshunt service list`",
			anvilhttp.ErrNotFound, service)
	}
	now, err := anvilstate.Encode(s.wall.Now())
	if err != nil {
		return report, err
	}
	err = s.client.Query(ctx, anvilcontrol.QueryBurn, string(service), now, &report)
	return report, controlError(err)
}
