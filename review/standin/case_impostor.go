package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["impostor"] = playImpostor }

const (
	// impostorWorkers is the number of workers, of which one is of the kind that the job needs.
	impostorWorkers = 8
	// impostorWork is the work of the only task of the job.
	impostorWork = 4 * time.Second
	// impostorDelay is the time from the start of the task to the heartbeat of the other writer.
	impostorDelay = time.Second
	// impostorFinish is the time after the last submission from which on no job may be idle for impostorIdle
	// while there is room for it (finish_s, and the 3 s of the rule).
	impostorFinish = 14 * time.Second
	impostorIdle   = 3 * time.Second
)

// playImpostor submits a job that needs a worker of kind b, of which there is one. Another writer sends one
// heartbeat under the id of that worker, which names a service that isn't in the configuration. The worker
// is sound all the while, and its own heartbeats go on.
func playImpostor(r *rig, trouble bool) (verdict, error) {
	const path, task = "/normal/88aa7a21d94b36f8", "88aa7a21d94b36f8.0.0.0"
	behaves := func(*worker, string, uint64) behaviour { return behaviour{lasts: impostorWork, outcome: "done"} }
	var workers []*worker
	for i := range impostorWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	workers[0].labels = []string{"b", "r1-1"}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	const body = `{"task_spec":"rake","steps":[{"count":1,"cpu":4000,"task_memory_mb":8000,"gpu":2,"estimated_ms":4000,"required_label":"b"}]}`
	if err := r.submit(path, body); err != nil {
		return verdict{}, err
	}
	submitted := time.Now()
	if err := r.await("the task runs", func() bool { return len(r.runs(task)) > 0 }); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.Sleep(impostorDelay)
		if err := r.sendOdd(workers[0]); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(submitted.Add(impostorFinish)))
	var v verdict
	for until := time.Now().Add(impostorIdle); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if r.busy() > 0 {
			return v, nil
		}
	}
	if state := r.state(path); state != "completed" {
		last := r.runs(task)[len(r.runs(task))-1]
		v.addf("LOST: the job is shown as %s and nothing of it has run for %v, though the worker that it needs is up, idle and sound",
			state, time.Since(last.ended).Round(time.Millisecond))
	}
	return v, nil
}

// sendOdd sends a heartbeat of another writer, which started later, under the id of a worker.
func (r *rig) sendOdd(w *worker) error {
	var document map[string]any
	if err := json.Unmarshal([]byte(w.announcement()), &document); err != nil {
		return err
	}
	document["service"], document["born"] = "zoku77", time.Now().UnixMilli()
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	status, reply, _ := r.control(0, http.MethodPut, "/anvilshunt/instances/"+w.id, string(body))
	r.recordf("other writer: heartbeat %s answered %d %s", body, status, reply)
	return nil
}
