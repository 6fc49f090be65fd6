package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["growth"] = playGrowth }

const (
	// growthSteps is the number of times that the configuration grows, by growthRoutes each time.
	growthSteps  = 16
	growthRoutes = 350
	// growthGap is the time between two changes of the configuration, and growthSpan how long changes come.
	growthGap  = 330 * time.Millisecond
	growthSpan = 80 * time.Second
	// growthQuiet is the time without changes before a caller asks for the job.
	growthQuiet = 12 * time.Second
)

// playGrowth accepts a job, lets the configuration grow, and then changes it three times a second. The voters have
// the memory of the site. Without the trouble the configuration grows and isn't changed any more.
func playGrowth(r *rig, trouble bool) (verdict, error) {
	const path = "/normal/5c0e7a21d94b36f8"
	behaves := func(*worker, string, uint64) behaviour { return behaviour{lasts: time.Second, outcome: "done"} }
	if err := r.start(largeConfig(1, 0), r.newWorker(0, behaves)); err != nil {
		return verdict{}, err
	}
	guard := r.guardMemory()
	if err := r.submit(path, `{"task_spec":"rake","steps":[{"count":1,"cpu":1000,"task_memory_mb":1000,"gpu":1,"estimated_ms":1000}]}`); err != nil {
		return verdict{}, err
	}
	version, acked := 1, 1
	change := func(routes int) {
		version++
		if status, _, _ := r.control(version, http.MethodPut, "/anvilshunt/configuration", largeConfig(version, routes)); status == http.StatusOK {
			acked = version
		}
	}
	for n := 1; n <= growthSteps; n++ {
		change(n * growthRoutes)
		time.Sleep(growthGap)
	}
	for until := time.Now().Add(growthSpan); trouble && time.Now().Before(until); {
		next := time.Now().Add(growthGap)
		change(growthSteps * growthRoutes)
		time.Sleep(time.Until(next))
	}
	r.recordf("operator: %d versions were sent, version %d is the last that was acknowledged", version, acked)
	var v verdict
	if hit := guard.often(); 2*hit >= voterCount {
		v.addf("Fault: on %d of %d core machines processes were killed three times or more, as they used more memory than memory_mb; %s",
			hit, voterCount, guard.summary())
	}
	answered := false
	for until := time.Now().Add(growthQuiet); time.Now().Before(until) && !answered; {
		answered = r.state(path) != ""
		time.Sleep(500 * time.Millisecond)
	}
	r.recordf("platform: %s", guard.summary())
	if !answered {
		v.addf("LOST: no answer comes about an accepted job for %v after the last change; %s", growthQuiet, guard.summary())
	}
	return v, nil
}

// largeConfig returns a configuration with some more routes that no caller uses.
func largeConfig(version, routes int) string {
	var more strings.Builder
	for n := range routes {
		fmt.Fprintf(&more, `{"name":"idle-%d","host":"idle%d.example","path_prefix":"/idle%d/","kind":"unsafe","timeout_ms":%d,"target_latency_ms":1200,"priority":1,"service":"huvo11a","max_attempts":3,"stretch":3.0,"public_access":false},`,
			n, n, n, 3000+version%50)
	}
	return strings.Replace(fmt.Sprintf(testConfig, version), `"routes":[`, `"routes":[`+more.String(), 1)
}
