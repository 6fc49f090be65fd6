package anvilserver_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilstate"
)

// runsInZone returns how many short requests the targets of startGangSystem have run in the first zone.
func (s *system) runsInZone() int {
	runs := s.targets["t-i1"].Stats().Runs
	for name, target := range s.targets {
		if strings.HasPrefix(name, "g") {
			runs += target.Stats().Runs
		}
	}
	return runs
}

// TestEvacuatedZone guards against short requests and gangs that are sent to an evacuated zone, also after the leader was
// lost, against stopping what runs there, and against a zone that isn't used again after its return.
func TestEvacuatedZone(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	submit := func(id string) {
		status, body := s.post("i2", "/v1/jobs", `{"id": "`+id+`", "account": "agency", "service": "planner", "shape": "gang", "payload": "{\"run\": 600000}"}`)
		assert.Equal(t, status, http.StatusOK, body)
	}
	submit("before")
	s.eventually("the gang runs", func() bool { return s.job("before").State == anvilstate.JobRunning })
	order := func(method string) {
		for range 2 { // the second one is a resend
			s.eventually("the order is in force everywhere", func() bool {
				status, body := s.call(method, s.running(), "/v1/zones/west/zone-i1/evacuation")
				return status == http.StatusOK && strings.Contains(body, `"everywhere":true`)
			})
		}
	}
	order(http.MethodPost)
	before := s.runsInZone()
	s.kill(s.leader())
	s.eventually("the second gang is accepted", func() bool {
		status, _ := s.post(s.running(), "/v1/jobs", `{"id": "after", "account": "agency", "service": "planner", "shape": "gang", "payload": "{\"run\": 600000}"}`)
		return status == http.StatusOK
	})
	for range 20 {
		s.eventually("a short request is answered", func() bool {
			a, err := s.send(request{at: s.running(), account: "agency", service: "planner", body: "x"})
			return err == nil && a.outcome == "done"
		})
	}
	assert.Equal(t, s.runsInZone(), before)
	assert.Equal(t, s.job("after").State, anvilstate.JobSubmitted)
	assert.Equal(t, s.job("before").State, anvilstate.JobRunning)
	order(http.MethodDelete)
	s.eventually("the second gang runs", func() bool { return s.job("after").State == anvilstate.JobRunning })
	_, zones := s.call(http.MethodGet, s.running(), "/v1/zones")
	assert.Assert(t, strings.Contains(zones, `"jobs":["after","before"]`), zones)
}

// running returns an instance that hasn't been stopped.
func (s *system) running() string {
	for _, name := range s.order {
		if s.instances[name].server != nil {
			return name
		}
	}
	s.t.Fatal("all instances are stopped")
	return ""
}
