package anvilmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// LeaderOptions are the options of Leader.
type LeaderOptions struct {
	Trials int
}

// How often the readiness of the survivors is read.
const readyPeriod = 2 * time.Millisecond

// loss is the result of one loss of the leader.
type loss struct {
	accepted time.Duration
	unready  sample // one per surviving instance
}

// Leader measures the time from the loss of the leader until the next change
// is accepted.
func Leader(ctx context.Context, o LeaderOptions) (*Table, error) {
	t := &Table{Name: "leader: loss of the leader until the next accepted change", Columns: []string{
		"loss", "trials", "p50", "max", "not ready p50", "not ready max", "survivors never unready",
	}}
	for _, frozen := range []bool{false, true} {
		s, err := newSystem(deployment(), newFabric(false))
		if err != nil {
			return nil, err
		}
		err = leaderTrials(ctx, s, t, o.Trials, frozen)
		s.close()
		if err != nil {
			return nil, err
		}
	}
	t.note("\"not ready\" is the time for which a surviving instance held no lease, over all survivors and trials.")
	return t, nil
}

func leaderTrials(ctx context.Context, s *system, t *Table, trials int, frozen bool) error {
	var accepted, unready sample
	never := 0
	for range trials {
		result, err := loseLeader(ctx, s, frozen)
		if err != nil {
			return err
		}
		accepted = append(accepted, result.accepted)
		for _, span := range result.unready {
			unready = append(unready, span)
			if span == 0 {
				never++
			}
		}
	}
	name := "process ends"
	if frozen {
		name = "frozen"
	}
	t.row(name, trials, accepted.quantile(0.5), accepted.max(), unready.quantile(0.5), unready.max(),
		fmt.Sprintf("%d of %d", never, len(unready)))
	return nil
}

// loseLeader takes the leader away, measures, and brings it back.
func loseLeader(ctx context.Context, s *system, frozen bool) (result loss, err error) {
	leader, err := s.leader()
	if err != nil {
		return result, err
	}
	at := s.find("trapani-2")
	var config struct{ Revision int }
	if err := s.get(at, "/v1/config", &config); err != nil {
		return result, err
	}
	watchCtx, stop := context.WithCancel(ctx)
	spans := s.watchReady(watchCtx, leader)
	began := time.Now()
	killed := make(chan struct{})
	if frozen {
		s.fabric.freeze(leader.name)
		close(killed)
	} else {
		s.fabric.freeze(leader.name) // no connection may be made while the process ends
		s.fabric.kill(leader.name)
		go func() {
			s.kill(leader)
			close(killed)
		}()
	}
	body := s.changeBody(config.Revision)
	for {
		if _, err = s.post(at, "/v1/config/changes", body); err == nil || time.Since(began) > patience {
			break
		}
	}
	result.accepted = time.Since(began)
	// Leases may lapse after the change was accepted, so the watch goes on.
	wait(ctx, 1500*time.Millisecond)
	stop()
	result.unready = spans()
	<-killed
	s.fabric.hold(nil)
	if err == nil && !frozen {
		err = s.start(leader)
	}
	if err == nil {
		err = s.settle()
	}
	return result, err
}

// watchReady adds up for how long each instance but one isn't ready. The
// result is to be called after ctx has ended.
func (s *system) watchReady(ctx context.Context, except *instance) func() sample {
	var group sync.WaitGroup
	var mu sync.Mutex
	var spans sample
	for _, i := range s.instances {
		if i == except {
			continue
		}
		group.Go(func() {
			var span time.Duration
			for last := time.Now(); ctx.Err() == nil; {
				ready, now := s.ready(i), time.Now()
				if !ready {
					span += now.Sub(last)
				}
				last = now
				time.Sleep(readyPeriod)
			}
			mu.Lock()
			defer mu.Unlock()
			spans = append(spans, span)
		})
	}
	return func() sample {
		group.Wait()
		return spans
	}
}
