package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// commonWorkers have no special label. Worker number commonWorkers alone has the label "b".
	commonWorkers = 7
	// urgentJobs come within urgentSpan, each of two tasks of 2.1 s.
	urgentJobs = 12
	urgentSpan = 6 * time.Second
	// finish is finish_s, and stand the time for which nothing of the job may stand still from then on.
	finish = 14 * time.Second
	stand  = 3 * time.Second
	// plainJob needs one accelerator of the worker with the label.
	plainJob = "00000000000000a1"
)

// playDeferred lets urgent jobs come at once, and then a plain job for a worker that is idle. It checks that the job
// doesn't stand still from finish on, while all workers are idle.
func playDeferred(r *rig) error {
	for i := range commonWorkers {
		if _, err := r.startWorker(i, fmt.Sprintf("a,r1-%d", i/4)); err != nil {
			return err
		}
	}
	if _, err := r.startWorker(commonWorkers, "b,r1-9"); err != nil {
		return err
	}
	urgent := defaultRoute()
	urgent.Name, urgent.Prefix, urgent.Priority, urgent.Latency, urgent.Stretch = "r0", prefix+"urgent/", 0, 400, 1.5
	if err := r.configure(1, defaultRoute(), urgent); err != nil {
		return err
	}
	r.sleep(5 * time.Second)
	for i := 0; r.trouble && i < urgentJobs; i++ {
		step := map[string]any{"count": 2, "cpu": 3700, "task_memory_mb": 9800, "gpu": 8, "estimated_ms": 2100}
		id := fmt.Sprintf("urgent/%016x", 0xb0+i)
		if err := r.submit(id, map[string]any{"task_spec": "work 2100", "steps": []any{step}}); err != nil {
			return err
		}
		r.sleep(urgentSpan / urgentJobs)
	}
	step := map[string]any{"count": 1, "cpu": 2800, "task_memory_mb": 5700, "gpu": 1, "estimated_ms": 20000, "required_label": "b"}
	if err := r.submit(plainJob, map[string]any{"task_spec": "work 5000", "steps": []any{step}}); err != nil {
		return err
	}
	accepted := time.Now()
	r.sleep(finish + stand)
	shown := r.state(plainJob)
	begun := r.startedAt(plainJob)
	used := r.lastEndBefore(accepted.Add(finish).UnixMilli())
	r.write("the last run of another job had ended %.3f s after the end of the traffic", float64(used-accepted.UnixMilli())/1000)
	switch {
	case shown == "":
		return fmt.Errorf("the state of the job can't be read")
	case begun > 0:
		return nil
	}
	for range 30 {
		if begun = r.startedAt(plainJob); begun > 0 {
			break
		}
		r.sleep(time.Second)
	}
	r.write("the job began %.3f s after its acceptance (less than 0: not at all)", float64(begun-accepted.UnixMilli())/1000)
	return fmt.Errorf("LOST: job %s, shown as %s, has nothing running from %v to %v after the end of the traffic, and all workers are idle: %w",
		plainJob, shown, finish, finish+stand, errBroken)
}

// startedAt returns when a run of a job began first, or 0.
func (r *rig) startedAt(job string) int64 {
	events := r.events()
	i := slices.IndexFunc(events, func(e event) bool { return e.Event == "start" && strings.HasPrefix(e.Task, job) })
	if i < 0 {
		return 0
	}
	return events[i].At
}

// lastEndBefore returns when the last run ended before a time.
func (r *rig) lastEndBefore(at int64) int64 {
	var last int64
	for _, e := range r.events() {
		if e.Event == "end" && e.At <= at {
			last = e.At
		}
	}
	return last
}
