package main

import (
	"fmt"
	"time"
)

func init() { cases["wave"] = playWave }

const (
	// waveWorkers is the number of workers at first.
	waveWorkers = 4
	// settleTime is the time between the steps of the operator.
	settleTime = 3 * time.Second
)

// playWave lets one wave complete. Then an empty worker on a new machine is added, and a second wave asks for the
// upkeep of that machine. Without the trouble the worker is there from the beginning.
func playWave(r *rig, trouble bool) (verdict, error) {
	c, err := r.startCloud()
	if err != nil {
		return verdict{}, err
	}
	defer c.server.Close()
	behaves := func(*worker, string, uint64) behaviour { return behaviour{lasts: time.Second, outcome: "done"} }
	var workers []*worker
	for i := range waveWorkers {
		workers = append(workers, r.newWorker(i, behaves))
	}
	added := r.newWorker(waveWorkers, behaves)
	if !trouble {
		workers = append(workers, added)
	}
	if err := r.start(fmt.Sprintf(testConfig, 1), workers...); err != nil {
		return verdict{}, err
	}
	if err := c.runWave(1, machineOf(workers[0])); err != nil {
		return verdict{}, err
	}
	if trouble {
		if err := r.addWorker(added); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(settleTime)
	if err := c.runWave(2, machineOf(added)); err != nil {
		return verdict{}, err
	}
	var v verdict
	if !c.hasBegun(machineOf(added)) {
		v.addf("MIXED: wave 2 is said to be completed, and the upkeep of its machine %s, which is up, hasn't begun", machineOf(added))
	}
	return v, nil
}

// runWave starts a wave and waits until it is said to be completed.
func (c *cloud) runWave(number int, machine string) error {
	if err := c.startWave(number, machine); err != nil {
		return err
	}
	return c.rig.await("the wave is completed", func() bool {
		time.Sleep(300 * time.Millisecond)
		return c.waveState(number) == "completed"
	})
}
