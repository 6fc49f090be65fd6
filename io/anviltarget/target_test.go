package anviltarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

func start(t *testing.T, settings Settings) *Target {
	t.Helper()
	settings.Target, settings.Service = "t1", "planner"
	target, err := Start(settings)
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	return target
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(target *Target, method, path, body string, headers ...string) reply {
	request, _ := http.NewRequest(method, "http://"+string(target.Address())+path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.Close = request.Header.Get("Connection") == "close" // net/http closes the connection only if this field is set
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text), err}
}

func run(target *Target, id, epoch, token string, headers ...string) reply {
	return call(target, http.MethodPost, "/v1/run", "hello", append([]string{
		HeaderAccount, "a", HeaderRequestID, id, HeaderEpoch, epoch, HeaderToken, token,
	}, headers...)...)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("still waiting for: %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// Guards against a stand-in target that runs requests with an outdated epoch or token. Tests
// of at-most-once execution would then blame the scheduler for repeated runs, or pass
// although fencing doesn't work.
func TestFencing(t *testing.T) {
	for _, test := range []struct {
		name               string
		noFencing          bool
		epoch, token, code string
	}{
		{"current epoch and first token", false, "7", "5", ""},
		{"older epoch", false, "6", "9", CodeStaleEpoch},
		{"same token again", false, "7", "5", CodeStaleToken},
		{"older token", false, "7", "4", CodeStaleToken},
		{"later token", false, "7", "6", ""},
		{"older epoch and token without fencing", true, "1", "1", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := start(t, Settings{NoFencing: test.noFencing})
			assert.Equal(t, call(target, http.MethodPost, "/v1/adopt", `{"epoch": 7, "owner": "i1"}`).status, http.StatusOK)
			first := 0
			if test.name != "current epoch and first token" {
				assert.Equal(t, run(target, "r1", "7", "5").status, http.StatusOK)
				first = 1
			}
			r := run(target, "r1", test.epoch, test.token)
			assert.Equal(t, r.header.Get(HeaderCode), test.code)
			want := first
			if test.code == "" {
				want++
				assert.Equal(t, r.body, "hello")
				assert.Equal(t, r.header.Get(HeaderToken), test.token)
			}
			assert.Equal(t, target.RunCount("a", "r1"), want)
		})
	}
	target := start(t, Settings{})
	call(target, http.MethodPost, "/v1/adopt", `{"epoch": 7, "owner": "i1"}`)
	assert.Equal(t, call(target, http.MethodPost, "/v1/adopt", `{"epoch": 6, "owner": "i2"}`).status, http.StatusConflict)
	assert.Equal(t, target.Report(true).Epoch, anvilid.Epoch(7))
}

// Guards against Violations that stay 0 although a scheduler exceeded the target's limits on
// slots or connections.
func TestViolationsAreCounted(t *testing.T) {
	target := start(t, Settings{Slots: 2, Connections: 2})
	target.SetFaults(Faults{Freeze: true})
	var wait sync.WaitGroup
	for i := range 3 {
		wait.Go(func() { run(target, strconv.Itoa(i), "0", "0", HeaderEmuTime, "300") })
	}
	waitFor(t, "three connections", func() bool { return target.Stats().Connections.Now == 3 })
	target.SetFaults(Faults{})
	wait.Wait()
	stats := target.Stats()
	assert.Equal(t, stats.Slots.Highest, 3)
	assert.Equal(t, stats.Slots.Violations, 1)
	assert.Equal(t, stats.Connections.Violations, 1)
	assert.Equal(t, stats.Running, 0)
	run(target, "0", "0", "0")
	assert.Equal(t, target.Stats().Repeated.IDs, 1)
	assert.DeepEqual(t, target.Requests(2), []RequestCount{{"a", "0", 2}})
}

// Guards against a fault that is set but has no effect: tests with faults would then pass
// without testing anything.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults Faults
		check  func(reply) bool
	}{
		{"fail", Faults{Fail: true}, func(r reply) bool {
			return r.status == http.StatusInternalServerError && r.header.Get(HeaderRequestID) == "r2"
		}},
		{"crossed", Faults{Crossed: true}, func(r reply) bool { return r.header.Get(HeaderRequestID) == "r1" }},
		{"truncate", Faults{Truncate: true}, func(r reply) bool { return r.err != nil && r.status == http.StatusOK }},
		{"close", Faults{Close: true}, func(r reply) bool { return r.err != nil && r.status == 0 }},
		{"twice", Faults{Twice: true}, func(r reply) bool { return r.body == "hello" }},
		{"not selected", Faults{Fail: true, Every: 3}, func(r reply) bool { return r.status == http.StatusOK }},
		{"used up", Faults{Fail: true, Count: 1}, func(r reply) bool { return r.status == http.StatusOK }},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := start(t, Settings{Faults: test.faults})
			// On a reused connection, the client could read the second copy of the
			// answer to r1 as the answer to r2, which would then not run.
			run(target, "r1", "0", "0", "Connection", "close")
			r := run(target, "r2", "0", "0")
			assert.Assert(t, test.check(r), "%+v", r)
			assert.Equal(t, target.RunCount("a", "r2"), 1, "a faulty answer still means that the request ran")
		})
	}
}

// sendRaw sends raw bytes on a new connection, and returns all that is received until it is
// closed.
func sendRaw(t *testing.T, target *Target, request string) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", string(target.Address()))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	answers, err := io.ReadAll(conn)
	assert.NilError(t, err)
	return answers
}

// Guards against a fault Twice that doesn't write a second answer to the connection.
func TestTwiceWritesTwoAnswers(t *testing.T) {
	target := start(t, Settings{Faults: Faults{Twice: true}})
	answers := sendRaw(t, target, "POST /v1/run HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\nAnvilshunt-Request-Id: r1\r\n\r\nhi")
	assert.Equal(t, bytes.Count(answers, []byte("HTTP/1.1 200 OK")), 2)
	waitFor(t, "the connection to be no longer counted", func() bool { return target.Stats().Connections.Now == 0 })
}

// Guards against announcements with the true usage although the fault Lag or Lie is set, and
// against an answer to an adoption that contains outdated usage because of Lag.
func TestLyingAndLaggingUsage(t *testing.T) {
	target := start(t, Settings{Faults: Faults{Lag: 3_600_000}})
	firstReply := make(chan reply)
	go func() { firstReply <- run(target, "r1", "0", "0", HeaderEmuTime, "200") }()
	waitFor(t, "the run", func() bool { return target.Stats().Running == 1 })
	assert.Equal(t, target.Report(false).UsedSlots, anvilid.SlotCount(0), "a report with the fault Lag shows the usage before the run")
	assert.Equal(t, target.Report(true).UsedSlots, anvilid.SlotCount(1), "the answer to an adoption shows the current usage")
	lie := 5
	target.SetFaults(Faults{Lie: &lie})
	assert.Equal(t, target.Report(false).UsedSlots, anvilid.SlotCount(5))
	<-firstReply
}

// Guards against tasks of gang members that run without a lease or with an outdated token.
// Tests could then mistake complete gangs for incomplete ones, and the reverse.
func TestTasks(t *testing.T) {
	target := start(t, Settings{})
	member := func(method, verb, body string) (anvilreport.Task, reply) {
		r := call(target, method, "/v1/tasks/j/0"+verb, body)
		var task anvilreport.Task
		_ = json.Unmarshal([]byte(r.body), &task)
		return task, r
	}
	state := func() anvilreport.TaskState { return target.Report(true).Tasks[0].State }

	task, _ := member(http.MethodPut, "", `{"token": 3, "accelerators": 8, "lease": 60000, "payload": "{\"run\": 20}"}`)
	assert.Equal(t, task.State, anvilreport.Prepared)
	assert.Equal(t, target.Stats().Slots.Now, 0, "a prepared member doesn't run")
	task, _ = member(http.MethodPost, "/start", `{"token": 3, "lease": 60000}`)
	assert.Equal(t, task.State, anvilreport.Running)
	waitFor(t, "the end of the task", func() bool { return state() == anvilreport.Ended })

	// After a member was stopped, preparing it again with the same token is rejected.
	_, r := member(http.MethodPost, "/stop", `{"token": 5}`)
	assert.Equal(t, r.status, http.StatusOK)
	_, r = member(http.MethodPut, "", `{"token": 5, "accelerators": 8, "lease": 60000}`)
	assert.Equal(t, r.header.Get(HeaderCode), CodeStaleToken)

	// A task without a planned end runs until its lease expires.
	member(http.MethodPut, "", `{"token": 6, "accelerators": 8, "lease": 60000, "payload": "anything"}`)
	_, r = member(http.MethodPost, "/start", `{"token": 6, "lease": 50}`)
	assert.Equal(t, r.status, http.StatusOK)
	waitFor(t, "the expiry of the lease", func() bool { return state() == anvilreport.Stopped })
	_, r = member(http.MethodPost, "/renew", `{"token": 6, "lease": 50}`)
	assert.Equal(t, r.header.Get(HeaderCode), CodeTaskEnded)

	// A task that was paused continues with its remaining work.
	member(http.MethodPut, "", `{"token": 7, "lease": 60000, "payload": {"run": 100, "fail": true}}`)
	member(http.MethodPost, "/start", `{"token": 7}`)
	member(http.MethodPost, "/throttle", `{"token": 7, "percent": 0}`)
	assert.Equal(t, state(), anvilreport.Running)
	member(http.MethodPost, "/throttle", `{"token": 7, "percent": 100}`)
	waitFor(t, "the failure of the task", func() bool { return state() == anvilreport.Failed })

	runs := target.Stats().Tasks
	assert.Equal(t, len(runs), 3)
	for _, r := range runs {
		assert.Assert(t, r.Started > 0 && r.Stopped >= r.Started, "%+v", r)
	}
}

// Guards against a leaving target that doesn't announce that it is leaving, accepts new
// requests, or cuts off a running request.
func TestLeave(t *testing.T) {
	var mu sync.Mutex
	var reports []anvilreport.Report
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report anvilreport.Report
		_ = json.NewDecoder(r.Body).Decode(&report)
		mu.Lock()
		reports = append(reports, report)
		mu.Unlock()
		_, _ = io.WriteString(w, `{"owner": "127.0.0.1:1"}`)
	}))
	defer instance.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	address := func(s *httptest.Server) anvilid.Address { return anvilid.Address(s.Listener.Addr().String()) }
	// The announcement interval is longer than the test, so the target must send an extra
	// announcement when it starts to leave.
	target := start(t, Settings{Instances: []anvilid.Address{address(busy), address(instance)}, Interval: 3_600_000})
	seen := func(leaving bool) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			for i := range reports {
				if reports[i].Leaving == leaving && reports[i].Check() == nil {
					return true
				}
			}
			return false
		}
	}
	waitFor(t, "an announcement to the instance after the busy one", seen(false))
	firstReply := make(chan reply)
	go func() { firstReply <- run(target, "r1", "0", "0", HeaderEmuTime, "300") }()
	waitFor(t, "the run", func() bool { return target.Stats().Running == 1 })
	left := make(chan error)
	go func() { left <- target.Leave(context.Background()) }()
	waitFor(t, "the leaving announcement", seen(true))
	r := run(target, "r2", "0", "0")
	assert.Equal(t, r.header.Get(HeaderCode), CodeLeaving)
	assert.Equal(t, (<-firstReply).body, "hello")
	assert.NilError(t, <-left)
	assert.Equal(t, target.RunCount("a", "r2"), 0)
}

// Guards against wrong ids, racks and zones of the targets of a group.
func TestGroup(t *testing.T) {
	group, err := StartGroup(Settings{Target: "t", Service: "planner", Listen: "127.0.0.1:0"}, 17, []Location{{"west", "palermo"}, {"east", "catania"}})
	assert.NilError(t, err)
	defer group.Close()
	report := group.Targets[8].Report(true)
	assert.Equal(t, report.Target, anvilid.TargetID("t9"))
	assert.Equal(t, report.Rack, anvilid.RackName("tr2"))
	assert.Equal(t, report.Zone, anvilid.ZoneName("catania"))
	assert.Equal(t, group.Targets[16].Report(true).Zone, anvilid.ZoneName("palermo"))
}
