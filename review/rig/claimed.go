package main

import (
	"fmt"
	"time"
)

const (
	// rackLabel is the label of the two workers from idleWorkers on.
	rackLabel   = "r1-9"
	idleWorkers = 6
	longJob     = "00000000000000c1"
	gangJob     = "00000000000000c2"
	// claimDelay is how long the gang has waited when the plain job comes.
	claimDelay = 3 * time.Second
)

// playClaimed has a long task on one of two workers of a rack and a gang that waits for both of them. A plain job comes for
// the other worker, which is idle, and must not stand still from finish on.
func playClaimed(r *rig) error {
	for i := range idleWorkers {
		if _, err := r.startWorker(i, fmt.Sprintf("a,r1-%d", i/3)); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := r.startWorker(idleWorkers+i, "a,"+rackLabel); err != nil {
			return err
		}
	}
	if err := r.configure(1, defaultRoute()); err != nil {
		return err
	}
	r.sleep(5 * time.Second)
	step := func(count, gpu, estimate int, gang bool) map[string]any {
		fields := map[string]any{"count": count, "cpu": 2800, "task_memory_mb": 5700, "gpu": gpu, "estimated_ms": estimate, "required_label": rackLabel}
		if gang {
			fields["gang"] = true
		}
		return fields
	}
	if err := r.submit(longJob, map[string]any{"task_spec": "work 50000", "steps": []any{step(1, 1, 7200, false)}}); err != nil {
		return err
	}
	r.sleep(2 * time.Second)
	if r.trouble {
		if err := r.submit(gangJob, map[string]any{"task_spec": "work 7200", "steps": []any{step(2, 8, 7200, true)}}); err != nil {
			return err
		}
	}
	r.sleep(claimDelay)
	if err := r.submit(plainJob, map[string]any{"task_spec": "work 2000", "steps": []any{step(1, 1, 2000, false)}}); err != nil {
		return err
	}
	accepted := time.Now()
	r.sleep(finish + stand)
	shown := r.state(plainJob)
	begun := r.startedAt(plainJob)
	switch {
	case shown == "":
		return fmt.Errorf("the state of the job can't be read")
	case begun > 0:
		return nil
	}
	for range 40 {
		if begun = r.startedAt(plainJob); begun > 0 {
			break
		}
		r.sleep(time.Second)
	}
	r.write("the job began %.3f s after its acceptance (less than 0: not at all)", float64(begun-accepted.UnixMilli())/1000)
	return fmt.Errorf("LOST: job %s, shown as %s, has nothing running from %v to %v after the end of the traffic, while one of its two workers is idle: %w",
		plainJob, shown, finish, finish+stand, errBroken)
}
