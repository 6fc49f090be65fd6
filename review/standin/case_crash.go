package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	// crashWorkers is the number of workers, of which one crashes.
	crashWorkers = 8
	// crashCount is how often it crashes, crashAfter how long it has worked on a run each time, and crashDown
	// how long it is down.
	crashCount = 2
	crashAfter = 300 * time.Millisecond
	crashDown  = time.Second
	// crashWork is the work of the only task of the job.
	crashWork = 2500 * time.Millisecond
)

// playCrash submits a job that needs a worker of kind b, of which there is one. That worker crashes twice
// shortly after it has begun the task, as a machine with a weak power supply does under load, and is sound
// from then on.
func playCrash(r *rig, trouble bool) (verdict, error) {
	const path, task = "/normal/77aa7a21d94b36f8", "77aa7a21d94b36f8.0.0.0"
	behaves := func(*worker, string, uint64) behaviour { return behaviour{lasts: crashWork, outcome: "done"} }
	var workers []*worker
	for i := range crashWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	crashing := workers[0]
	crashing.labels = []string{"b", "r1-1"}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	const body = `{"task_spec":"rake","steps":[{"count":1,"cpu":4000,"task_memory_mb":8000,"gpu":2,"estimated_ms":2500,"required_label":"b"}]}`
	if err := r.submit(path, body); err != nil {
		return verdict{}, err
	}
	for n := 1; trouble && n <= crashCount; n++ {
		if err := r.await("the task runs again", func() bool { return len(r.runs(task)) >= n }); err != nil {
			return verdict{}, err
		}
		time.Sleep(crashAfter)
		crashing.stopServer()
		time.Sleep(crashDown)
		if err := crashing.startServer(); err != nil {
			return verdict{}, err
		}
	}
	state := ""
	if err := r.await("the job has ended", func() bool {
		state = r.state(path)
		time.Sleep(300 * time.Millisecond)
		return slices.Contains([]string{"completed", "failed", "cancelled"}, state)
	}); err != nil {
		return verdict{}, err
	}
	var v verdict
	if state != "completed" {
		v.addf("LOST: the job is shown as %s, although nobody has cancelled it and none of its runs ended failed: %s",
			state, outcomes(r.runs(task)))
	}
	return v, nil
}

// outcomes lists how runs ended.
func outcomes(runs []run) string {
	var names []string
	for _, one := range runs {
		names = append(names, one.outcome)
	}
	return strings.Join(names, ", ")
}
