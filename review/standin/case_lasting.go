package main

import (
	"fmt"
	"time"
)

func init() { cases["lasting"] = playLasting }

const (
	// lastingWorkers is the number of workers, of which one job that lasts needs one.
	lastingWorkers = 6
	// workBeforeFailure is how long a task that lasts works before it fails.
	workBeforeFailure = 3500 * time.Millisecond
	// lastingPlay is how long the case is watched.
	lastingPlay = 60 * time.Second
	// lastingBound is the time after the last run of a task that lasts from which on 3 s without a run break
	// the rule LOST.
	lastingBound = 6*time.Second + 3*time.Second
)

// playLasting submits a job with one task that lasts. The task fails from time to time, as such tasks may,
// and must be started again each time. All workers are sound and all but one are idle.
func playLasting(r *rig, trouble bool) (verdict, error) {
	const path, task = "/normal/5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.0.0"
	behaves := func(*worker, string, uint64) behaviour {
		if !trouble {
			return behaviour{}
		}
		return behaviour{lasts: workBeforeFailure, outcome: "failed"}
	}
	var workers []*worker
	for i := range lastingWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	const body = `{"task_spec":"serve","steps":[{"count":1,"cpu":4000,"task_memory_mb":8000,"gpu":2,"estimated_ms":1000,"long_running":true}]}`
	if err := r.submit(path, body); err != nil {
		return verdict{}, err
	}
	if err := r.await("the task runs", func() bool { return len(r.runs(task)) > 0 }); err != nil {
		return verdict{}, err
	}
	var v verdict
	for until := time.Now().Add(lastingPlay); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		runs := r.runs(task)
		last := runs[len(runs)-1]
		if idle := time.Since(last.ended); !last.ended.IsZero() && idle > lastingBound {
			r.state(path)
			v.addf("LOST: %v after run %d of the task that lasts ended, it has not been started again; %d workers are idle and sound",
				idle.Round(time.Millisecond), last.number, lastingWorkers)
			return v, nil
		}
	}
	return v, nil
}
