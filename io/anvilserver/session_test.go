package anvilserver_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"anvilshunt/core/anvilid"
)

// Guards against unintended changes of the answers that callers get. Each script in testdata/sessions
// sends requests to three instances, and the answers to every caller are compared with the golden file of
// the script.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.script")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".script")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := &session{system: startThree(t), waiting: map[string]chan string{}}
			golden.Assert(t, run.play(file), filepath.Join("sessions", name+".golden"))
		})
	}
}

// session runs one script.
type session struct {
	*system
	out     strings.Builder
	waiting map[string]chan string
}

func (s *session) play(file string) string {
	script, err := os.Open(file)
	assert.NilError(s.t, err)
	defer script.Close()
	lines := bufio.NewScanner(script)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", line)
		s.step(line)
	}
	assert.NilError(s.t, lines.Err())
	return s.out.String()
}

func (s *session) step(line string) {
	words := strings.Fields(line)
	switch words[0] {
	case "send":
		fmt.Fprintln(&s.out, s.show(options(words[1:])))
	case "begin": // begin NAME OPTIONS: sends a request in the background
		reply := make(chan string, 1)
		s.waiting[words[1]] = reply
		r := options(words[2:])
		go func() { reply <- s.show(r) }()
	case "end": // end NAME: waits for the answer
		fmt.Fprintln(&s.out, <-s.waiting[words[1]])
	case "running": // running COUNT: waits until COUNT requests run on targets
		s.eventually(line, func() bool { return s.runningNow() == words[1] })
	case "ran": // ran ACCOUNT ID: prints how often targets ran the request
		fmt.Fprintln(&s.out, s.runCount(words[1], words[2]))
	case "fault": // fault TARGET JSON: sets the faults of a target
		s.setFaults(s.targets[words[1]].Address(), strings.Join(words[2:], " "))
	case "post": // post INSTANCE PATH BODY
		status, body := s.post(words[1], words[2], strings.Join(words[3:], " "))
		fmt.Fprintln(&s.out, status, body)
	case "drain": // drain INSTANCE: sends the first signal, waits in the background
		reply := make(chan string, 1)
		s.waiting["drain"] = reply
		go func() { reply <- fmt.Sprint("drained, error: ", s.drain(words[1])) }()
	case "draining": // draining INSTANCE: waits until the instance refuses new requests
		s.eventually(line, func() bool { status, ok := s.status(words[1]); return ok && status.Draining })
	case "kill":
		s.kill(words[1])
	case "adopted":
		s.eventually(line, func() bool { return s.adopted(len(s.targets)) })
	default:
		s.t.Fatalf("unknown step %q", line)
	}
}

func options(words []string) request {
	r := request{account: "agency", service: "planner"}
	fields := map[string]*string{
		"at": &r.at, "id": &r.id, "account": &r.account, "service": &r.service,
		"repeatable": &r.repeatable, "timeout": &r.timeout, "work": &r.work, "body": &r.body,
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		*fields[name] = value
	}
	return r
}

// show sends a request and returns what the caller received, as text. Generated ids differ between
// runs and are replaced.
func (s *session) show(r request) string {
	a, err := s.send(r)
	if err != nil {
		return "no answer"
	}
	if strings.HasPrefix(a.id, "gen:") {
		a.id = "issued"
	}
	if a.outcome == "done" {
		return fmt.Sprintf("%d done id=%s body=%q", a.status, a.id, a.body)
	}
	return fmt.Sprintf("%d %s %s id=%s", a.status, a.outcome, a.code, a.id)
}

func (s *session) runningNow() string {
	sum := 0
	for _, target := range s.targets {
		sum += target.Stats().Running
	}
	return fmt.Sprint(sum)
}

func (s *system) setFaults(target anvilid.Address, faults string) {
	s.t.Helper()
	response, err := s.client.Post("http://"+string(target)+"/emu/faults", "application/json", strings.NewReader(faults))
	assert.NilError(s.t, err)
	defer response.Body.Close()
	assert.Equal(s.t, response.StatusCode, 200)
}
