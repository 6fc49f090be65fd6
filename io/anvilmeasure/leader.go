package anvilmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// LeaderOptions are the options of Leader, which measures the time from the loss of the leader until the
// next configuration change is accepted.
type LeaderOptions struct {
	Trials int // leader losses by the end of its process, and as many by freezing it
}

// readyPollInterval is how often the readiness of the remaining instances is checked.
const readyPollInterval = 2 * time.Millisecond

// leaderLoss is the result of one trial, in which the leader is lost once.
type leaderLoss struct {
	untilAccepted time.Duration // from the loss until the next configuration change is accepted
	notReady      sample        // for each remaining instance, the total time for which it was not ready
}

// Leader measures the time from the loss of the leader until the next configuration change is accepted,
// and for how long the remaining instances are not ready.
func Leader(ctx context.Context, o LeaderOptions) (*Table, error) {
	t := &Table{Name: "leader: loss of the leader until the next accepted change", Columns: []string{
		"loss", "trials", "p50", "max", "not ready p50", "not ready max", "survivors never unready",
	}}
	for _, frozen := range []bool{false, true} {
		s, err := newSystem(deployment(), newNetSim(false))
		if err != nil {
			return nil, err
		}
		err = leaderTrials(ctx, s, t, o.Trials, frozen)
		s.close()
		if err != nil {
			return nil, err
		}
	}
	t.addNote("\"not ready\" is the time for which a surviving instance was not ready, because it had no valid lease, over all survivors and trials.")
	return t, nil
}

func leaderTrials(ctx context.Context, s *system, t *Table, trials int, frozen bool) error {
	var untilAccepted, notReady sample
	alwaysReady := 0
	for range trials {
		result, err := loseLeader(ctx, s, frozen)
		if err != nil {
			return err
		}
		untilAccepted = append(untilAccepted, result.untilAccepted)
		for _, notReadyTime := range result.notReady {
			notReady = append(notReady, notReadyTime)
			if notReadyTime == 0 {
				alwaysReady++
			}
		}
	}
	name := "process ends"
	if frozen {
		name = "frozen"
	}
	t.addRow(name, trials, untilAccepted.quantile(0.5), untilAccepted.max(), notReady.quantile(0.5), notReady.max(),
		fmt.Sprintf("%d of %d", alwaysReady, len(notReady)))
	return nil
}

// loseLeader is one trial. It isolates the leader as if it were frozen, or ends its process. It measures
// the time until the next configuration change is accepted, and then restores the leader.
func loseLeader(ctx context.Context, s *system, frozen bool) (result leaderLoss, err error) {
	leader, err := s.leader()
	if err != nil {
		return result, err
	}
	at := s.find("trapani-2")
	var config struct{ Revision int }
	if err := s.get(at, "/v1/config", &config); err != nil {
		return result, err
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	notReadyTimes := s.measureNotReady(watchCtx, leader)
	began := time.Now()
	stopped := make(chan struct{})
	if frozen {
		s.netSim.isolate(leader.name)
		close(stopped)
	} else {
		s.netSim.isolate(leader.name) // prevents new connections while the process ends
		s.netSim.breakConnections(leader.name)
		go func() {
			s.kill(leader)
			close(stopped)
		}()
	}
	body := s.changeBody(config.Revision)
	for {
		if _, err = s.post(at, "/v1/config/changes", body); err == nil || time.Since(began) > stateTimeout {
			break
		}
	}
	result.untilAccepted = time.Since(began)
	// Continue to check the readiness of the instances, because their leases may also expire after the
	// change was accepted.
	sleep(ctx, 1500*time.Millisecond)
	stopWatching()
	result.notReady = notReadyTimes()
	<-stopped
	s.netSim.setBlocked(nil)
	if err == nil && !frozen {
		err = s.start(leader)
	}
	if err == nil {
		err = s.waitReady()
	}
	return result, err
}

// measureNotReady begins to measure for how long each instance isn't ready, for all instances but the
// given one. The returned function waits until ctx has ended and returns the total time of each instance.
func (s *system) measureNotReady(ctx context.Context, except *instance) func() sample {
	var group sync.WaitGroup
	var mu sync.Mutex
	var notReadyTimes sample
	for _, i := range s.instances {
		if i == except {
			continue
		}
		group.Go(func() {
			var notReadyTime time.Duration
			for last := time.Now(); ctx.Err() == nil; {
				ready, now := s.ready(i), time.Now()
				if !ready {
					notReadyTime += now.Sub(last)
				}
				last = now
				time.Sleep(readyPollInterval)
			}
			mu.Lock()
			defer mu.Unlock()
			notReadyTimes = append(notReadyTimes, notReadyTime)
		})
	}
	return func() sample {
		group.Wait()
		return notReadyTimes
	}
}
