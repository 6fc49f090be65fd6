package main

import (
	"fmt"
	"time"
)

func init() { cases["ends"] = playEnds }

const (
	// endsWorkers is the number of workers. All tasks fit on one of them.
	endsWorkers = 8
	// endsTasks is the number of tasks of the job, and endsWork the work of each.
	endsTasks = 1500
	endsWork  = 6 * time.Second
	// endsCutBefore is the time from the beginning of the cut to the end of the first task, and endsCut how long
	// the cut lasts. All tasks end in that time, and the lease of the worker doesn't expire.
	endsCutBefore = time.Second
	endsCut       = 3500 * time.Millisecond
	// endsSettle is how long the case is watched after the job was completed.
	endsSettle = 2 * time.Second
)

// playEnds submits a job of many small tasks, which run on one worker. The worker is cut off while they end, so
// that the leader then finds more ends there than two lists have.
func playEnds(r *rig, trouble bool) (verdict, error) {
	const path, job = "/normal/12aa7a21d94b36f8", "12aa7a21d94b36f8"
	behaves := func(*worker, string, uint64) behaviour { return behaviour{lasts: endsWork, outcome: "done"} }
	var workers []*worker
	for i := range endsWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	body := fmt.Sprintf(`{"task_spec":"merge","steps":[{"count":%d,"cpu":20,"task_memory_mb":40,"estimated_ms":%d}]}`, endsTasks, endsWork.Milliseconds())
	if err := r.submit(path, body); err != nil {
		return verdict{}, err
	}
	if err := r.await("all tasks run", func() bool { return r.busy() == endsTasks }); err != nil {
		return verdict{}, err
	}
	if trouble {
		cut := r.busiest()
		time.Sleep(time.Until(r.firstBegun().Add(endsWork - endsCutBefore)))
		cut.setCut(true)
		time.AfterFunc(endsCut, func() { cut.setCut(false) })
	}
	if err := r.await("the job is completed", func() bool {
		time.Sleep(300 * time.Millisecond)
		return r.state(path) == "completed"
	}); err != nil {
		return verdict{}, err
	}
	time.Sleep(endsSettle)
	return r.checkTwice(job, endsTasks), nil
}

// busiest returns the worker with the most runs.
func (r *rig) busiest() *worker {
	workers, most := r.allWorkers(), 0
	found := workers[0]
	for _, w := range workers {
		w.mu.Lock()
		if len(w.running) > most {
			found, most = w, len(w.running)
		}
		w.mu.Unlock()
	}
	return found
}

// firstBegun returns when the first run of all began.
func (r *rig) firstBegun() time.Time {
	var first time.Time
	for _, w := range r.allWorkers() {
		w.mu.Lock()
		for _, one := range w.history {
			if first.IsZero() || one.begun.Before(first) {
				first = one.begun
			}
		}
		w.mu.Unlock()
	}
	return first
}

// checkTwice looks for runs of the tasks of a job that began after an earlier run of the task had ended done,
// where that end was taken note of. No lease has lapsed in the cases that use it.
func (r *rig) checkTwice(job string, tasks int) verdict {
	var v verdict
	twice, example := 0, ""
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", job, i)
		runs := r.runs(task)
		for n := 1; n < len(runs); n++ {
			if before := runs[n-1]; before.outcome == "done" && before.noted && runs[n].begun.After(before.ended) {
				twice++
				example = fmt.Sprintf("run %d of %s began %v after run %d had ended done", runs[n].number, task,
					runs[n].begun.Sub(before.ended).Round(time.Millisecond), before.number)
			}
		}
	}
	if twice > 0 {
		v.addf("TWICE: %d of %d tasks were run again after a run had ended done and its end was taken note of, such as: %s", twice, tasks, example)
	}
	return v
}
