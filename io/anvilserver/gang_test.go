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

// call makes a call without a body.
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

// gangSystem has a rack of four targets.
func gangSystem(t *testing.T) *system {
	t.Helper()
	s := three(t)
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

// Guards against a gang that runs in part because one of its targets fails
// the start: the members that were started are stopped, and the job runs
// elsewhere.
func TestGangStartFails(t *testing.T) {
	t.Parallel()
	s := gangSystem(t)
	s.setFaults(s.targets["g0"].Address(), `{"fail": true}`)
	status, body := s.post("i2", "/v1/jobs", `{"id": "storm", "account": "agency", "service": "planner", "shape": "rack", "payload": "x"}`)
	assert.Equal(t, status, http.StatusOK, body)
	s.eventually("a start was undone", func() bool {
		job := s.job("storm")
		return job.Placements > 1 || job.State == anvilstate.JobStopping || job.State == anvilstate.JobSubmitted && job.Detail != ""
	})
	s.setFaults(s.targets["g0"].Address(), `{}`)
	s.eventually("the job runs", func() bool { return s.job("storm").State == anvilstate.JobRunning })
	s.eventually("all members run", func() bool { return s.membersRunning("storm") == len(s.job("storm").Members) })
	s.checkGangs("storm")
}

// checkGangs checks that no member ran under a placement whose other members
// were never started together with it: each placement either started all of
// its members or stopped those that it had started.
func (s *system) checkGangs(job string) {
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

// Guards against members that run on after one of their gang is lost.
func TestGangMemberLost(t *testing.T) {
	t.Parallel()
	s := gangSystem(t)
	status, body := s.post("i2", "/v1/jobs", `{"id": "storm", "account": "agency", "service": "planner", "shape": "gang", "payload": "x"}`)
	assert.Equal(t, status, http.StatusOK, body)
	s.eventually("the gang runs", func() bool { return s.job("storm").State == anvilstate.JobRunning && s.membersRunning("storm") == 2 })
	first := s.job("storm")
	// The target stops the member as it would when it is about to fail.
	target := s.targets[string(first.Members[0].Target)]
	stop := fmt.Sprintf(`{"epoch": %d, "token": %d}`, target.Stats().Epoch, first.Token)
	response, err := s.client.Post(fmt.Sprintf("http://%s/v1/tasks/storm/0/stop", target.Address()), "application/json", strings.NewReader(stop))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	s.eventually("the gang was stopped and runs again", func() bool {
		job := s.job("storm")
		return job.Token > first.Token && job.State == anvilstate.JobRunning && s.membersRunning("storm") == 2
	})
	s.checkGangs("storm")
}

// Guards against a gang that stays half started when the leader that drives
// the start is lost.
func TestLeaderDiesDuringGangStart(t *testing.T) {
	t.Parallel()
	s := gangSystem(t)
	for i := range 3 {
		id := anvilid.JobID(fmt.Sprint("storm-", i))
		status, body := s.post(s.others(s.leader())[0], "/v1/jobs", fmt.Sprintf(`{"id": %q, "account": "agency", "service": "planner", "accelerators": 8, "payload": "x"}`, id))
		assert.Equal(t, status, http.StatusOK, body)
	}
	s.kill(s.leader())
	s.eventually("all jobs run whole", func() bool {
		for i := range 3 {
			job := s.job(fmt.Sprint("storm-", i))
			if job.State != anvilstate.JobRunning || s.membersRunning(fmt.Sprint("storm-", i)) != len(job.Members) {
				return false
			}
		}
		return true
	})
	for i := range 3 {
		s.checkGangs(fmt.Sprint("storm-", i))
	}
}
