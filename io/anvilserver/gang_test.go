package anvilserver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anviltarget"
)

func (s *system) job(id string) (job anvilstate.Job) {
	s.t.Helper()
	s.eventually("job "+id+" can be read", func() bool {
		for _, name := range s.order {
			status, body := s.call(http.MethodGet, name, "/v1/jobs/"+id)
			if status == http.StatusOK {
				return json.Unmarshal([]byte(body), &job) == nil
			}
		}
		return false
	})
	return job
}

// call makes an HTTP call without a body.
func (s *system) call(method, at, path string) (int, string) {
	request, err := http.NewRequest(method, "http://"+string(s.instances[at].settings.Public)+path, nil)
	assert.NilError(s.t, err)
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var body json.RawMessage
	_ = json.NewDecoder(response.Body).Decode(&body)
	return response.StatusCode, string(body)
}

// startGangSystem starts three voters with one target each, as startThree does, and four more targets
// in one rack. Each target has 8 accelerators.
func startGangSystem(t *testing.T) *system {
	t.Helper()
	s := startThree(t)
	for i := range 4 {
		s.startTarget(fmt.Sprint("g", i), anviltarget.Settings{Region: "west", Zone: "zone-i1", Rack: "r9"})
	}
	s.eventually("targets are adopted", func() bool { return s.adopted(7) })
	return s
}

func (s *system) membersRunning(job string) int {
	running := 0
	for _, target := range s.targets {
		for _, task := range target.Stats().Tasks {
			if string(task.Job) == job && task.Started > 0 && task.Stopped == 0 {
				running++
			}
		}
	}
	return running
}

// Guards against a gang of which only some members run, because one of its targets fails the start.
// The members that were already started must be stopped, and the job must run on other targets.
func TestGangStartFails(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	s.setFaults(s.targets["g0"].Address(), `{"fail": true}`)
	status, body := s.post("i2", "/v1/jobs", `{"id": "storm", "account": "agency", "service": "planner", "shape": "rack", "payload": "x"}`)
	assert.Equal(t, status, http.StatusOK, body)
	s.eventually("a start was rolled back", func() bool {
		job := s.job("storm")
		return job.Placements > 1 || job.State == anvilstate.JobStopping || job.State == anvilstate.JobSubmitted && job.Detail != ""
	})
	s.setFaults(s.targets["g0"].Address(), `{}`)
	s.eventually("the job runs", func() bool { return s.job("storm").State == anvilstate.JobRunning })
	s.eventually("all members run", func() bool { return s.membersRunning("storm") == len(s.job("storm").Members) })
	s.checkStoppedMembers("storm")
}

// checkStoppedMembers checks that no member of an earlier placement is still running: each such
// placement must have stopped the members that it started.
func (s *system) checkStoppedMembers(job string) {
	s.t.Helper()
	current := s.job(job)
	for _, target := range s.targets {
		for _, task := range target.Stats().Tasks {
			if string(task.Job) == job && task.Token != current.Token {
				assert.Assert(s.t, task.Started == 0 || task.Stopped > 0, "a member of placement %d runs under placement %d", task.Token, current.Token)
			}
		}
	}
}

// Guards against members that continue to run after another member of their gang was lost.
func TestGangMemberLost(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	status, body := s.post("i2", "/v1/jobs", `{"id": "storm", "account": "agency", "service": "planner", "shape": "gang", "payload": "x"}`)
	assert.Equal(t, status, http.StatusOK, body)
	s.eventually("the gang runs", func() bool { return s.job("storm").State == anvilstate.JobRunning && s.membersRunning("storm") == 2 })
	first := s.job("storm")
	// Stop the member by a call to its target, without the leader, so that the target reports that it
	// stopped the member, as a failing target would.
	target := s.targets[string(first.Members[0].Target)]
	stop := fmt.Sprintf(`{"epoch": %d, "token": %d}`, target.Stats().Epoch, first.Token)
	response, err := s.client.Post(fmt.Sprintf("http://%s/v1/tasks/storm/0/stop", target.Address()), "application/json", strings.NewReader(stop))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	s.eventually("the gang was stopped and runs again", func() bool {
		job := s.job("storm")
		return job.Token > first.Token && job.State == anvilstate.JobRunning && s.membersRunning("storm") == 2
	})
	s.checkStoppedMembers("storm")
}

// Guards against a gang that stays partly started when the leader is lost during the start.
func TestLeaderDiesDuringGangStart(t *testing.T) {
	t.Parallel()
	s := startGangSystem(t)
	for i := range 3 {
		id := anvilid.JobID(fmt.Sprint("storm-", i))
		status, body := s.post(s.others(s.leader())[0], "/v1/jobs", fmt.Sprintf(`{"id": %q, "account": "agency", "service": "planner", "accelerators": 8, "payload": "x"}`, id))
		assert.Equal(t, status, http.StatusOK, body)
	}
	s.kill(s.leader())
	s.eventually("all jobs run with all members", func() bool {
		for i := range 3 {
			job := s.job(fmt.Sprint("storm-", i))
			if job.State != anvilstate.JobRunning || s.membersRunning(fmt.Sprint("storm-", i)) != len(job.Members) {
				return false
			}
		}
		return true
	})
	for i := range 3 {
		s.checkStoppedMembers(fmt.Sprint("storm-", i))
	}
}
