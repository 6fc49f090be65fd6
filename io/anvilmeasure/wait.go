package anvilmeasure

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilshunt/core/anvilstate"
)

// stateTimeout limits the wait until the system reaches a state that a measurement needs, for example
// that all instances are ready.
const stateTimeout = 30 * time.Second

var errNotReached = errors.New("the system did not reach the state that the measurement needs")

func waitUntil(what string, condition func() bool) error {
	for until := time.Now().Add(stateTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s: not within %s", errNotReached, what, stateTimeout)
}

// waitReady waits until all instances are ready and know each other, and all voters are members of the
// replicated log. It fails early if an instance has ended.
func (s *system) waitReady() error {
	reason := ""
	var failure error
	err := waitUntil("all instances are ready", func() bool {
		reason, failure = s.notReadyReason(), s.endedInstanceError()
		return reason == "" || failure != nil
	})
	if failure != nil {
		return failure
	}
	if err != nil {
		return fmt.Errorf("%w: %s; %s\n%s", err, reason, s.describe(), s.logs())
	}
	return nil
}

// endedInstanceError returns an error if an instance has ended without being stopped.
func (s *system) endedInstanceError() error {
	for _, i := range s.instances {
		if i.cancel == nil {
			continue
		}
		select {
		case <-i.ended:
			return fmt.Errorf("instance %s has ended: %w", i.name, i.err)
		default:
		}
	}
	return nil
}

// notReadyReason describes the first condition of waitReady that isn't met. It returns an empty string
// if all are met.
func (s *system) notReadyReason() string {
	voters := 0
	for _, i := range s.instances {
		if i.voter {
			voters++
		}
	}
	for _, i := range s.instances {
		status, err := s.status(i)
		switch {
		case err != nil:
			return fmt.Sprintf("%s: %v", i.name, err)
		case !status.Ready:
			return i.name + " isn't ready"
		case len(status.Instances) != len(s.instances):
			return fmt.Sprintf("%s knows %d instances; %s", i.name, len(status.Instances), s.describeMissing(status.Instances))
		case i.voter && (status.Voter == nil || len(status.Voter.Voters) != voters):
			return i.name + " doesn't know all voters"
		}
	}
	return ""
}

// describe returns the state that each instance reports, for error messages.
func (s *system) describe() string {
	var list []string
	for _, i := range s.instances {
		status, err := s.status(i)
		if err != nil {
			list = append(list, fmt.Sprintf("%s: %v", i.name, err))
			continue
		}
		text := fmt.Sprintf("%s: leased %t, incarnation %d, index %d", i.name, status.HasLease, status.Incarnation, status.AppliedIndex)
		if v := status.Voter; v != nil {
			text += fmt.Sprintf(", leading %t, quorum %t, term %d, leader %q, commit %d, applied %d, voters %v",
				v.IsLeader, v.HasQuorum, v.Term, v.Leader, v.CommitIndex, v.AppliedIndex, v.Voters)
		}
		list = append(list, text)
	}
	return strings.Join(list, "; ")
}

// logs returns the last log lines of each instance, for error messages.
func (s *system) logs() string {
	var text strings.Builder
	for _, i := range s.instances {
		fmt.Fprintf(&text, "log of %s:\n%s", i.name, i.log)
	}
	return text.String()
}

// describeMissing describes the instances that aren't in the given list.
func (s *system) describeMissing(known []anvilstate.Instance) string {
	var list []string
	for _, i := range s.instances {
		if slices.ContainsFunc(known, func(k anvilstate.Instance) bool { return string(k.ID) == i.name }) {
			continue
		}
		status, err := s.status(i)
		list = append(list, fmt.Sprintf("%s is missing: ready %t, incarnation %d, index %d, error %v",
			i.name, status.Ready, status.Incarnation, status.AppliedIndex, err))
	}
	return strings.Join(list, "; ")
}
