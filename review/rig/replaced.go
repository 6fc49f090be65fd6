package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	// successor is the number of the voter that takes the place of voter removed.
	successor = 6
	removed   = 2
	// catchUp is more than catch_up_s and contact_ms together.
	catchUp = 12 * time.Second
	// lossDelay is the time from the removal to the loss of two disks, and downSpan how long the two are down.
	lossDelay = 300 * time.Millisecond
	downSpan  = time.Second
	// readSpan is how long the operator asks for the configuration: three times recovery_s.
	readSpan = 45 * time.Second
)

// playReplaced removes a voter, whose successor has had its time, without SIGTERM. Right after that, two others lose their
// disks. It checks that the configuration that was acknowledged can be read afterwards.
func playReplaced(r *rig) error {
	if err := r.configure(1, defaultRoute()); err != nil {
		return err
	}
	r.sleep(2 * time.Second)
	r.write("voter %d starts, which is to take the place of voter %d", successor, removed)
	r.replacing = true
	if _, err := r.startInstance("voter", successor); err != nil {
		return err
	}
	r.sleep(catchUp)
	if err := r.configure(2, defaultRoute()); err != nil {
		return err
	}
	r.sleep(time.Second)
	if r.trouble {
		if err := r.loseThree(); err != nil {
			return err
		}
	}
	for begun := time.Now(); time.Since(begun) < readSpan; r.sleep(time.Second) {
		if version := r.readVersion(); version == 2 {
			r.write("operator: configuration 2 is read")
			return nil
		}
	}
	return fmt.Errorf("CONFIG: the acknowledged configuration 2 doesn't come for %v: %w", readSpan, errBroken)
}

// loseThree removes one voter for good, and two others lose their disks.
func (r *rig) loseThree() error {
	r.write("voter %d is removed without SIGTERM", removed)
	if err := r.voters[removed-1].Process.Kill(); err != nil {
		return err
	}
	r.sleep(lossDelay)
	lost := []int{3, 4}
	for _, number := range lost {
		r.write("voter %d loses its disk", number)
		if err := r.voters[number-1].Process.Kill(); err != nil {
			return err
		}
	}
	r.sleep(downSpan)
	for _, number := range lost {
		if err := os.RemoveAll(filepath.Join(r.dir, fmt.Sprintf("voter-%d.data", number))); err != nil {
			return err
		}
		r.write("voter %d is back with an empty disk", number)
		var cmd *exec.Cmd
		cmd, err := r.startInstance("voter", number)
		if err != nil {
			return err
		}
		r.voters[number-1] = cmd
	}
	return nil
}

// readVersion asks all voters that are there for the configuration and returns its version, or 0.
func (r *rig) readVersion() int {
	for _, number := range []int{1, 3, 4, 5, successor} {
		status, answer, err := r.call(http.MethodGet, "http://"+r.address(number, r.control)+"/anvilshunt/configuration", nil)
		r.write("operator: GET at voter %d: %d %v", number, status, err)
		var document struct {
			Version int `json:"version"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(answer, &document) == nil {
			return document.Version
		}
	}
	return 0
}
