package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["evict"] = playEvict }

const (
	// evictWorkers is the number of workers, each of which has room for one task of any of the jobs.
	evictWorkers = 6
	// lastingTasks is the number of tasks of the job that lasts, of which one may be away at a time.
	lastingTasks = 4
	// batchLead is how long the job that doesn't last has worked when the other one begins, and evictLead how
	// long that has worked when the urgent job comes.
	batchLead = 3 * time.Second
	evictLead = 5 * time.Second
	// evictPlay is how long the case is watched after the urgent job was accepted.
	evictPlay = 8 * time.Second
)

// playEvict fills two workers with a job that doesn't last, and four with one that lasts and of which one task may
// be away at a time. Then an urgent job within the guarantee of the tenant needs two workers. The rule can be kept:
// the tasks of the first job may be stopped.
func playEvict(r *rig, trouble bool) (verdict, error) {
	const batch, lasting, urgent = "00000a21d94b36f1", "00000a21d94b36f2", "00000a21d94b36f3"
	behaves := func(_ *worker, task string, _ uint64) behaviour {
		switch {
		case strings.HasPrefix(task, urgent):
			return behaviour{lasts: 2 * time.Second, outcome: "done"}
		case strings.HasPrefix(task, batch):
			return behaviour{lasts: time.Minute, outcome: "done"}
		}
		return behaviour{}
	}
	var workers []*worker
	for i := range evictWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	for _, job := range []struct {
		path, body string
		runs       int
		lead       time.Duration
	}{
		{"/normal/" + batch, `{"task_spec":"merge","steps":[{"count":2,"cpu":4000,"task_memory_mb":8000,"gpu":8,"estimated_ms":60000}]}`, 2, batchLead},
		{"/normal/" + lasting, `{"task_spec":"serve","steps":[{"count":4,"cpu":4000,"task_memory_mb":8000,"gpu":8,"estimated_ms":60000,"long_running":true,"may_miss":1}]}`, 6, evictLead},
	} {
		if err := r.submit(job.path, job.body); err != nil {
			return verdict{}, err
		}
		if err := r.await("the job runs", func() bool { return r.busy() == job.runs }); err != nil {
			return verdict{}, err
		}
		time.Sleep(job.lead)
	}
	if trouble {
		body := `{"task_spec":"rake","steps":[{"count":2,"cpu":4000,"task_memory_mb":8000,"gpu":8,"estimated_ms":2000}]}`
		if err := r.submit("/urgent/"+urgent, body); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(evictPlay)
	return r.checkAway(lasting), nil
}

// checkAway looks for runs of the job that lasts that were stopped while another task of it was away because
// it had been stopped, too.
func (r *rig) checkAway(job string) verdict {
	var v verdict
	var stopped []run
	for i := range lastingTasks {
		for _, one := range r.runs(fmt.Sprintf("%s.0.0.%d", job, i)) {
			if one.outcome == "stopped" {
				stopped = append(stopped, one)
			}
		}
	}
	slices.SortFunc(stopped, func(a, b run) int { return a.ended.Compare(b.ended) })
	for i, one := range stopped {
		for _, earlier := range stopped[:i] {
			if earlier.task != one.task && !r.atWork(earlier.task, one.ended) {
				v.addf("AVAIL: %s was stopped %v after %s was, which wasn't at work again; one task of the step may be away",
					one.task, one.ended.Sub(earlier.ended).Round(time.Millisecond), earlier.task)
			}
		}
	}
	return v
}

// atWork reports whether a task that lasts was at work at a time.
func (r *rig) atWork(task string, at time.Time) bool {
	return slices.ContainsFunc(r.runs(task), func(one run) bool {
		return one.begun.Add(startupTime).Before(at) && (one.ended.IsZero() || one.ended.After(at))
	})
}
