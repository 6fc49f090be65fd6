// Command standin plays one case of the review: it starts the programs of the deploy file as
// processes on loopback addresses, beside stand-ins for workers, callers, the operator and the
// platform, and checks one rule with what the stand-ins saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of the command.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not be played
)

// maxPlayTime is the time after which a case is given up.
const maxPlayTime = 110 * time.Second

// errCase reports that a case could not be played as intended.
var errCase = errors.New("the case could not be played")

// verdict is the result of one case: broken has one line for each time that the rule was broken.
type verdict struct {
	broken []string
}

func (v *verdict) addf(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// cases has the function that plays each case. The argument trouble is false if the case is to be
// played without its disruption.
var cases = map[string]func(r *rig, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes what was seen to the record file, and returns the exit code.
func play(name, recordPath string) int {
	r, err := newRig(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer r.close()
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[name](r, os.Getenv("TROUBLE") != "0")
		done <- outcome{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case result := <-done:
		return r.report(result.verdict, result.err)
	case <-interrupted:
		return r.report(verdict{}, fmt.Errorf("%w: it was interrupted", errCase))
	case <-time.After(maxPlayTime):
		return r.report(verdict{}, fmt.Errorf("%w: it took longer than %v", errCase, maxPlayTime))
	}
}

// report writes the verdict to the record and returns the exit code.
func (r *rig) report(v verdict, err error) int {
	switch {
	case err != nil:
		r.recordf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	case len(v.broken) > 0:
		for _, line := range v.broken {
			r.recordf("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	}
	r.recordf("held")
	fmt.Println("held")
	return exitHeld
}
