package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waiting"] = playWaiting }

const (
	// waitingWorkers is the number of workers, of which one is cut off.
	waitingWorkers = 8
	// waitingJobs is the number of jobs that need the worker that is cut off.
	waitingJobs = 4
	// cutSpan is how long the worker is cut off, and waitingPlay how long the case is watched from then on.
	cutSpan     = 6 * time.Second
	waitingPlay = 6 * time.Second
	// countedAfter is the time from the acceptance of a job that hasn't begun from which on it has to be among
	// the waiting jobs: visible_ms and 2 s, and a margin.
	countedAfter = 3*time.Second + 2*time.Second + 100*time.Millisecond
)

// playWaiting submits jobs that need a worker of kind b, of which there is one, right after this worker was cut
// off. It then asks for the number of the jobs of the queue that wait.
func playWaiting(r *rig, trouble bool) (verdict, error) {
	behaves := func(*worker, string, uint64) behaviour { return behaviour{lasts: time.Second, outcome: "done"} }
	var workers []*worker
	for i := range waitingWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	workers[0].labels = []string{"b", "r1-1"}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	if trouble {
		workers[0].setCut(true)
		time.AfterFunc(cutSpan, func() { workers[0].setCut(false) })
	}
	began := time.Now()
	const body = `{"task_spec":"rake","steps":[{"count":1,"cpu":1000,"task_memory_mb":1000,"gpu":1,"estimated_ms":1000,"required_label":"b"}]}`
	var tasks []string
	for n := range waitingJobs {
		id := fmt.Sprintf("00aa7a21d94b36f%d", n)
		if err := r.submit("/normal/"+id, body); err != nil {
			return verdict{}, err
		}
		tasks = append(tasks, id+".0.0.0")
	}
	accepted := time.Now()
	var v verdict
	for time.Since(began) < cutSpan+waitingPlay {
		time.Sleep(100 * time.Millisecond)
		if time.Since(accepted) < countedAfter {
			continue
		}
		r.checkWaiting(tasks, &v)
	}
	return v, nil
}

// checkWaiting compares the number of waiting jobs that an entry instance gives with the jobs whose only task
// has not begun yet.
func (r *rig) checkWaiting(tasks []string, v *verdict) {
	status, reply := r.client(0, 3*time.Second, http.MethodGet, "/normal/", "")
	notBegun := 0
	for _, task := range tasks {
		if len(r.runs(task)) == 0 {
			notBegun++
		}
	}
	var document struct {
		Waiting *int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(reply), &document) != nil || document.Waiting == nil {
		return
	}
	if 2**document.Waiting < notBegun {
		v.addf("MIXED: entry 0 gives %d waiting jobs, although %d jobs were accepted over 5 s before and haven't begun", *document.Waiting, notBegun)
	}
}
