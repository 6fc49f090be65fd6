package anvilserver_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilstate"
)

func (s *system) submit(at, job string) {
	s.t.Helper()
	status, body := s.post(at, "/v1/jobs", job)
	assert.Equal(s.t, status, http.StatusOK, body)
}

func (s *system) publish(body string) {
	s.t.Helper()
	status, text := s.post("i1", "/v1/config/changes?everywhere=yes", body)
	assert.Equal(s.t, status, http.StatusOK, text)
}

// Guards against a guarantee that is not met because jobs without a guarantee (borrowers) use the
// accelerators. Enough of these jobs must be stopped with all of their members so that the guaranteed
// gang runs. The stopped jobs must then wait, and their status must give a reason.
func TestGuaranteeReclaimsFromBorrowers(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	s.publish(`{"id": "g", "operator": "ada", "base": 1, "set": [
	 {"kind": "account", "name": "borrower", "spec": {"weight": 1}},
	 {"kind": "guarantee", "name": "storm", "spec": {"account": "agency", "service": "planner", "shape": "rack", "count": 1}}]}`)
	// Seven targets have 56 accelerators. The account "borrower" uses all of them without a guarantee.
	for i := range 7 {
		s.submit("i1", fmt.Sprintf(`{"id": "b-%d", "account": "borrower", "service": "planner", "accelerators": 8, "payload": "x"}`, i))
	}
	running := func(prefix string, count int) bool {
		found := 0
		for i := range count {
			if s.job(fmt.Sprint(prefix, i)).State == anvilstate.JobRunning {
				found++
			}
		}
		return found == count
	}
	s.eventually("the borrower uses all accelerators", func() bool { return running("b-", 7) })
	s.submit("i2", `{"id": "storm", "account": "agency", "service": "planner", "shape": "rack", "payload": "x"}`)
	s.eventually("the guaranteed gang runs with all members", func() bool {
		return s.job("storm").State == anvilstate.JobRunning && s.membersRunning("storm") == 4
	})
	assert.Assert(t, s.job("storm").Guaranteed)
	s.eventually("four borrowers wait with a reason", func() bool {
		waiting := 0
		for i := range 7 {
			job := s.job(fmt.Sprint("b-", i))
			if job.State == anvilstate.JobSubmitted && strings.Contains(job.Detail, "8 accelerators") {
				waiting++
			}
		}
		return waiting == 4
	})
	for i := range 7 {
		s.checkStoppedMembers(fmt.Sprint("b-", i))
	}
	for name, target := range s.targets {
		assert.Equal(t, target.Stats().Accelerators.Violations, 0, name)
	}
}

// Guards against a guarantee that is accepted although no placement could meet it together with the
// guarantees in force.
func TestGuaranteeThatCannotBeMetIsRefused(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	s.publish(`{"id": "g1", "operator": "ada", "base": 1, "set": [
	 {"kind": "guarantee", "name": "one", "spec": {"account": "agency", "service": "planner", "shape": "rack", "count": 1}}]}`)
	status, body := s.post("i1", "/v1/config/changes", `{"id": "g2", "operator": "ada", "base": 2, "set": [
	 {"kind": "guarantee", "name": "two", "spec": {"account": "agency", "service": "planner", "shape": "gang", "count": 1}}]}`)
	// 24 accelerators are left, but there are no 16 of them within one rack.
	assert.Equal(t, status, http.StatusUnprocessableEntity, body)
	assert.Assert(t, strings.Contains(body, "guarantee_unplaced"), body)
}

// Guards against short requests that wait because jobs occupy all targets. Gangs must not use the
// targets that the setting "short" of a service sets aside for short requests.
func TestGangsAvoidShortOnlyTargets(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	s.publish(`{"id": "lane", "operator": "ada", "base": 1, "set": [
	 {"kind": "service", "name": "planner", "spec": {"timeout": 20000, "body": 1000, "repeatable": true, "short": 2}}]}`)
	for i := range 7 {
		s.submit("i1", fmt.Sprintf(`{"id": "b-%d", "account": "agency", "service": "planner", "accelerators": 8, "payload": "x"}`, i))
	}
	s.eventually("five jobs run", func() bool {
		running := 0
		for i := range 7 {
			if s.job(fmt.Sprint("b-", i)).State == anvilstate.JobRunning {
				running++
			}
		}
		return running == 5
	})
	for i := range 16 {
		a, err := s.send(request{at: "i3", account: "agency", service: "planner", id: fmt.Sprint("dawn-", i), body: "x"})
		assert.NilError(t, err)
		assert.Equal(t, a.outcome, "done", a.code)
	}
	for name, target := range s.targets {
		assert.Equal(t, target.Stats().Slots.Violations, 0, name)
	}
}

// Guards against a configuration that sets aside targets for short requests (setting "short" of a
// service) although a guarantee needs them. It must be refused whether the setting and the guarantee
// are in the same change or in different ones.
func TestShortOnlyTargetsAndGuaranteeAreCheckedTogether(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t) // seven targets, four of them in one rack
	service := func(short int) string {
		return fmt.Sprintf(`{"kind": "service", "name": "planner", "spec": {"timeout": 20000, "body": 1000, "repeatable": true, "short": %d}}`, short)
	}
	guarantee := `{"kind": "guarantee", "name": "rack", "spec": {"account": "agency", "service": "planner", "shape": "rack", "count": 1}}`
	refused := func(id string, base int, set string) {
		t.Helper()
		status, body := s.post("i1", "/v1/config/changes", fmt.Sprintf(`{"id": %q, "operator": "ada", "base": %d, "set": [%s]}`, id, base, set))
		assert.Equal(t, status, http.StatusUnprocessableEntity, body)
	}
	refused("both", 1, service(6)+","+guarantee)
	refused("negative", 1, service(-5))
	s.publish(`{"id": "g", "operator": "ada", "base": 1, "set": [` + guarantee + `]}`)
	refused("later", 2, service(6))
}
