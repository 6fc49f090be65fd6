package anvilserver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilburn"
)

// Guards against a request that is counted twice in the error budget report, because the peer that ran
// it or a resend counts it again, and against counts that are lost when an instance is drained.
func TestBurnCountsOnce(t *testing.T) {
	s := startThree(t)
	status, body := s.post("i1", "/v1/config/changes?everywhere=yes", `{"id": "goals", "operator": "ada", "base": 1, "set": [
		{"kind": "service", "name": "planner", "spec": {"timeout": 20000, "body": 1000, "repeatable": true,
		 "objectives": {"wait": {"limit": 15000, "percent": 90}, "service": {"percent": 99}}}}]}`)
	assert.Equal(t, status, http.StatusOK, body)
	// A target has 8 slots, so most of the requests run at peers.
	const requests = 20
	answers := make(chan error, requests)
	for n := range requests {
		go func() {
			r := request{at: "i2", id: fmt.Sprint("q", n), account: "agency", service: "planner", work: "300"}
			a, err := s.send(r)
			if err == nil && a.outcome == "done" {
				r.at = []string{"i1", "i2", "i3"}[n%3] // a resend
				a, err = s.send(r)
			}
			if err == nil && a.outcome != "done" {
				err = fmt.Errorf("request %d: %s %s", n, a.outcome, a.code)
			}
			answers <- err
		}()
	}
	for range requests {
		assert.NilError(t, <-answers)
	}
	// These requests fail the admission checks and are never counted.
	for _, r := range []request{
		{at: "i2", account: "nobody", service: "planner"},
		{at: "i2", account: "clubs", service: "planner"},
		{at: "i2", id: "q0", account: "agency", service: "planner", body: "other"},
	} {
		a, err := s.send(r)
		assert.NilError(t, err)
		assert.Equal(t, a.outcome, "not-run")
	}
	assert.NilError(t, s.drain("i3"))
	assert.NilError(t, s.drain("i2"))
	// Two of three voters have stopped without being removed. One is started again, because reading
	// the report needs a quorum.
	s.start("i3")
	var report anvilburn.Report
	s.eventually("a report", func() bool {
		response, err := s.client.Get("http://" + string(s.instances["i1"].settings.Public) + "/v1/burn?service=planner")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&report) == nil
	})
	assert.Equal(t, len(report.Objectives), 2)
	for _, o := range report.Objectives {
		assert.Equal(t, o.Total, uint64(requests), o.Name)
		assert.Equal(t, o.Spent, uint64(0), o.Name)
	}
	assert.Equal(t, report.Skipped, anvilburn.Skipped{})
}
