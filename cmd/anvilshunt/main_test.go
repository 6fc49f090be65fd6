//go:build linux

package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anvilsettings"
	"anvilshunt/io/anviltarget"
)

// conditionTimeout is the maximum time that a test waits for a condition. It is much longer than
// any condition needs, so that tests don't fail on a busy machine.
const conditionTimeout = 60 * time.Second

// binary is the path of the anvilshunt binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "anvilshunt-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "anvilshunt")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// system is a set of instances, each in its own process, and stand-in targets in the process of
// the test.
type system struct {
	t             *testing.T
	dir           string
	processes     map[string]*process
	instanceNames []string // names of all instances, in the order in which they are started
	targets       map[string]*anviltarget.Target
	client        *http.Client
}

// process is an instance that runs as a process of `anvilshunt serve`. Its settings, data and log
// outlive a restart.
type process struct {
	settings anvilsettings.Settings
	file     string
	log      string
	command  *exec.Cmd // nil while no process runs
	ended    chan struct{}
	code     int
}

// baseConfig is the change set with which startThreeInstances configures two accounts and a service.
const baseConfig = `{"id": "base", "operator": "ada", "base": 0, "set": [
 {"kind": "account", "name": "agency", "spec": {"weight": 3}},
 {"kind": "account", "name": "clubs", "spec": {"weight": 1}},
 {"kind": "service", "name": "planner", "spec": {"timeout": 30000, "body": 1000, "repeatable": true}}]}`

// startThreeInstances starts three voters and three targets, one in each availability zone, and
// publishes baseConfig.
func startThreeInstances(t *testing.T, target anviltarget.Settings) *system {
	t.Helper()
	t.Parallel()
	s := &system{
		t: t, dir: t.TempDir(), processes: map[string]*process{}, instanceNames: []string{"i1", "i2", "i3"},
		targets: map[string]*anviltarget.Target{},
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(s.close)
	s.writeSettings()
	for _, name := range s.instanceNames {
		s.start(name)
	}
	s.eventually("all instances are ready and voters", func() bool {
		for _, name := range s.instanceNames {
			status, ok := s.status(name)
			if !ok || !status.Ready || !status.Voter.IsVoter || len(status.Voter.Voters) != 3 {
				return false
			}
		}
		return true
	})
	for _, name := range s.instanceNames {
		s.startTarget("t-"+name, name, target)
	}
	s.publish("i1", baseConfig)
	s.eventually("all targets are adopted", func() bool { return s.allAdopted(3) })
	return s
}

func (s *system) writeSettings() {
	ports, err := anvilport.Reserve(2 * len(s.instanceNames))
	assert.NilError(s.t, err)
	var peers []anvilsettings.Peer
	for n, name := range s.instanceNames {
		settings := anvilsettings.Defaults()
		settings.Instance, settings.Region, settings.Zone = anvilid.InstanceID(name), "west", anvilid.ZoneName("zone-"+name)
		settings.Public, settings.Peer = anvilport.LoopbackAddress(ports[2*n]), anvilport.LoopbackAddress(ports[2*n+1])
		settings.DataDir = filepath.Join(s.dir, "data-"+name)
		s.processes[name] = &process{
			settings: settings, file: filepath.Join(s.dir, name+".jsonc"), log: filepath.Join(s.dir, name+".log"),
		}
		peers = append(peers, anvilsettings.Peer{Instance: settings.Instance, Address: settings.Peer, Region: "west", Voter: true})
	}
	for _, name := range s.instanceNames {
		p := s.processes[name]
		p.settings.Peers = peers
		data, err := json.MarshalIndent(p.settings, "", " ")
		assert.NilError(s.t, err)
		assert.NilError(s.t, os.WriteFile(p.file, data, 0o600))
	}
}

func (s *system) start(name string) {
	s.t.Helper()
	p := s.processes[name]
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s.t, err)
	defer log.Close()
	command := exec.Command(binary, "serve", "--config", p.file)
	command.Stderr = log
	// The kernel kills the instance if the test process dies without cleaning up.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(s.t, command.Start())
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		defer close(ended)
		_ = command.Wait()
		p.code = command.ProcessState.ExitCode()
	}()
}

// signal sends a signal to the process of the instance with the given name. After SIGSTOP it waits until
// the process is suspended, so that the process takes no part in what the test does next.
func (s *system) signal(name string, signal syscall.Signal) {
	s.t.Helper()
	process := s.processes[name].command.Process
	assert.NilError(s.t, process.Signal(signal))
	if signal == syscall.SIGSTOP {
		s.eventually(name+" is suspended", func() bool { return suspended(process.Pid) })
	}
}

// waitExit waits until the process of an instance has ended and returns its exit code.
func (s *system) waitExit(name string) int {
	s.t.Helper()
	p := s.processes[name]
	select {
	case <-p.ended:
	case <-time.After(conditionTimeout):
		s.t.Fatalf("instance %s did not exit", name)
	}
	p.command = nil
	return p.code
}

func (s *system) kill(names ...string) {
	s.t.Helper()
	for _, name := range names {
		s.signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		s.waitExit(name)
	}
}

func (s *system) close() {
	for _, p := range s.processes {
		if p.command != nil {
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	for _, target := range s.targets {
		target.Close()
	}
	if !s.t.Failed() {
		return
	}
	for _, name := range s.instanceNames {
		data, _ := os.ReadFile(s.processes[name].log)
		s.t.Logf("end of the log of %s:\n%s", name, data[max(0, len(data)-2000):])
	}
}

func (s *system) startTarget(name, zone string, settings anviltarget.Settings) {
	s.t.Helper()
	settings.Target, settings.Service, settings.Region = anvilid.TargetID(name), "planner", "west"
	settings.Zone, settings.Rack, settings.Interval = anvilid.ZoneName("zone-"+zone), "r1", 100
	for _, instance := range s.instanceNames {
		settings.Instances = append(settings.Instances, s.processes[instance].settings.Public)
	}
	target, err := anviltarget.Start(settings)
	assert.NilError(s.t, err)
	s.targets[name] = target
}

// eventually waits until a condition holds, and fails the test after conditionTimeout.
func (s *system) eventually(what string, condition func() bool) {
	s.t.Helper()
	for until := time.Now().Add(conditionTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("condition not met: %s (waited %s)", what, conditionTimeout)
}

func (s *system) url(at, path string) string {
	return "http://" + string(s.processes[at].settings.Public) + path
}

// call sends an HTTP request to an instance, decodes the JSON answer and returns the HTTP status.
// It returns 0 if there was no valid answer.
func (s *system) call(method, at, path, body string, into any) int {
	// The timeout is needed because a suspended process accepts connections, but does not answer.
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, s.url(at, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(into) != nil {
		return 0
	}
	return response.StatusCode
}

func (s *system) status(name string) (status anvilhttp.Status, ok bool) {
	return status, s.call(http.MethodGet, name, "/v1/status", "", &status) == http.StatusOK
}

func (s *system) ready(names ...string) bool {
	for _, name := range names {
		if status, ok := s.status(name); !ok || !status.Ready {
			return false
		}
	}
	return true
}

// leader waits until an instance leads the control group and a majority of the voters follows it, and
// returns the name of the instance and its term.
func (s *system) leader() (leader string, term anvilid.Term) {
	s.t.Helper()
	s.eventually("an instance leads", func() bool {
		for _, name := range s.instanceNames {
			if s.processes[name].command == nil {
				continue
			}
			if status, ok := s.status(name); ok && status.Voter.IsLeader && status.Voter.HasQuorum {
				leader, term = name, status.Voter.Term
				return true
			}
		}
		return false
	})
	return leader, term
}

func (s *system) others(names ...string) (others []string) {
	for _, other := range s.instanceNames {
		listed := false
		for _, name := range names {
			listed = listed || name == other
		}
		if !listed {
			others = append(others, other)
		}
	}
	return others
}

// adoptedBy returns which of the given instances has adopted a target, or "" if none has.
func (s *system) adoptedBy(target string, among ...string) string {
	for _, name := range among {
		status, _ := s.status(name)
		for _, owned := range status.Owned {
			if string(owned.Target) == target && owned.State == "adopted" {
				return name
			}
		}
	}
	return ""
}

// allAdopted reports whether the first count targets have been adopted by the given instances, or
// by any instance if none is given.
func (s *system) allAdopted(count int, among ...string) bool {
	if len(among) == 0 {
		among = s.instanceNames
	}
	for i := range s.instanceNames[:count] {
		if s.adoptedBy("t-"+s.instanceNames[i], among...) == "" {
			return false
		}
	}
	return true
}

// changeResult is the answer to a published change.
type changeResult struct {
	Revision   int
	Everywhere bool
	Code       string
}

func (s *system) postChange(at, body string) (int, changeResult) {
	var result changeResult
	status := s.call(http.MethodPost, at, "/v1/config/changes?everywhere=yes", body, &result)
	return status, result
}

// publish sends a change set repeatedly until it is in force on all instances.
func (s *system) publish(at, body string) (result changeResult) {
	s.t.Helper()
	s.eventually("a change is in force everywhere", func() bool {
		var status int
		status, result = s.postChange(at, body)
		return status == http.StatusOK && result.Everywhere
	})
	return result
}

// accountChange returns a change set that adds an account to the configuration with revision base.
func accountChange(name string, base int) string {
	return fmt.Sprintf(`{"id": "c-%s", "operator": "ada", "base": %d, "set": [{"kind": "account", "name": %q, "spec": {"weight": 1}}]}`, name, base, name)
}

// request is a short request of a caller. The field at is the name of the instance that it is sent to;
// the other fields are its headers and body. The fields timeout and work, which is the service time at
// the stand-in target, are in milliseconds.
type request struct {
	at, id, account, repeatable, timeout, work, body string
}

// answer is the answer that a caller received. Its outcome is outcomeLost if the connection broke.
type answer struct {
	id, outcome, code, detail, body string
}

const outcomeLost = "lost"

func (s *system) send(r request) answer {
	a := s.exchange(r)
	a.id = r.id
	return a
}

func (s *system) exchange(r request) answer {
	call, err := http.NewRequest(http.MethodPost, s.url(r.at, "/v1/services/planner/requests"), bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{outcome: outcomeLost}
	}
	if r.account == "" {
		r.account = "agency"
	}
	for name, value := range map[string]string{
		"Anvilshunt-Account": r.account, "Anvilshunt-Request-Id": r.id, "Anvilshunt-Repeatable": r.repeatable,
		"Anvilshunt-Timeout": r.timeout, "X-Emu-Time": r.work,
	} {
		if value != "" {
			call.Header.Set(name, value)
		}
	}
	response, err := s.client.Do(call)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return answer{outcome: "not-run", code: "refused"}
	}
	if err != nil {
		return answer{outcome: outcomeLost}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{outcome: outcomeLost}
	}
	a := answer{outcome: response.Header.Get("Anvilshunt-Outcome"), body: string(body)}
	if a.outcome != "done" {
		var failure struct{ Code, Error string }
		_ = json.Unmarshal(body, &failure)
		a.code, a.detail, a.body = failure.Code, failure.Error, ""
	}
	return a
}

// runCount returns how many times the targets together have run a request.
func (s *system) runCount(account, id string) int {
	sum := 0
	for _, target := range s.targets {
		sum += target.RunCount(anvilid.AccountID(account), anvilid.RequestID(id))
	}
	return sum
}

// runningRequests returns the number of requests that are running on all targets together.
func (s *system) runningRequests() int {
	sum := 0
	for _, target := range s.targets {
		sum += target.Stats().Running
	}
	return sum
}

// checkLimits checks that no target ever exceeded its limits on concurrent requests and
// connections.
func (s *system) checkLimits() {
	s.t.Helper()
	for name, target := range s.targets {
		stats := target.Stats()
		assert.Equal(s.t, stats.Slots.Violations, 0, "%s had %d requests at once", name, stats.Slots.Highest)
		assert.Equal(s.t, stats.Connections.Violations, 0, "%s had %d connections", name, stats.Connections.Highest)
	}
}
