package anvilmeasure

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilshunt/core/anvilstate"
)

// patience bounds the wait for a state of the system that a measurement needs.
const patience = 30 * time.Second

var errNotReached = errors.New("the state that the measurement needs was not reached")

func eventually(what string, condition func() bool) error {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s: not after %s", errNotReached, what, patience)
}

// settle waits until all instances hold a lease and know each other, and all
// voters take part.
func (s *system) settle() error {
	reason := ""
	var failure error
	err := eventually("all instances are ready", func() bool {
		reason, failure = s.unsettled(), s.failure()
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

// failure returns the error of an instance that has ended by itself, if any.
func (s *system) failure() error {
	for _, i := range s.instances {
		if i.cancel == nil {
			continue
		}
		select {
		case <-i.ended:
			return fmt.Errorf("%s has ended: %w", i.name, i.err)
		default:
		}
	}
	return nil
}

// unsettled tells what keeps the system from its full size.
func (s *system) unsettled() string {
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
			return fmt.Sprintf("%s knows %d instances; %s", i.name, len(status.Instances), s.absent(status.Instances))
		case i.voter && (status.Voter == nil || len(status.Voter.Voters) != voters):
			return i.name + " doesn't know all voters"
		}
	}
	return ""
}

// describe tells what each instance knows, for reports of failures.
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

// logs returns the last lines of the logs of all instances.
func (s *system) logs() string {
	var text strings.Builder
	for _, i := range s.instances {
		fmt.Fprintf(&text, "log of %s:\n%s", i.name, i.log)
	}
	return text.String()
}

// absent describes the instances that aren't among the known ones.
func (s *system) absent(known []anvilstate.Instance) string {
	var list []string
	for _, i := range s.instances {
		if slices.ContainsFunc(known, func(k anvilstate.Instance) bool { return string(k.ID) == i.name }) {
			continue
		}
		status, err := s.status(i)
		list = append(list, fmt.Sprintf("%s is missing: ready %t, incarnation %d, index %d, error %v", i.name, status.Ready, status.Incarnation, status.AppliedIndex, err))
	}
	return strings.Join(list, "; ")
}
