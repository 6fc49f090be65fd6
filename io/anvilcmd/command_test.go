package anvilcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// cannedResponse is the fixed response that a fakeInstance sends to each request for one method and path.
type cannedResponse struct {
	status int
	body   string
}

// fakeInstance is an HTTP server that stands in for an instance. It sends a fixed response for
// each method and path and stores the request bodies that it received.
type fakeInstance struct {
	*httptest.Server
	responses     map[string]cannedResponse
	requestBodies map[string][]byte
}

func newFakeInstance(t *testing.T, replies map[string]cannedResponse) *fakeInstance {
	i := &fakeInstance{responses: replies, requestBodies: map[string][]byte{}}
	i.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.Method + " " + r.URL.RequestURI()
		i.requestBodies[call], _ = io.ReadAll(r.Body)
		found, ok := i.responses[call]
		if !ok {
			found = cannedResponse{http.StatusNotFound, `{"code": "unknown_path", "error": "unexpected call ` + call + `"}`}
		}
		w.WriteHeader(found.status)
		_, _ = io.WriteString(w, found.body)
	}))
	t.Cleanup(i.Close)
	return i
}

func (i *fakeInstance) address() string { return strings.TrimPrefix(i.URL, "http://") }

// unreachableAddress returns an address that refuses connections, because its server has been
// closed.
func unreachableAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// output is the exit code of a command line and what it wrote to standard output and standard
// error.
type output struct {
	code     int
	out, err string
}

func run(terminal bool, servers string, args ...string) output {
	var out, errors bytes.Buffer
	factory := &anvilfactory.Factory{
		Streams: anvilfactory.Streams{In: strings.NewReader(""), Out: &out, Err: &errors, Terminal: terminal},
		Client:  func() *http.Client { return &http.Client{} },
		Env: func(name string) string {
			return map[string]string{anvilfactory.EnvServers: servers, "USER": "ada"}[name]
		},
		Signals: func() <-chan os.Signal { return nil },
	}
	code := Main(context.Background(), factory, args)
	return output{code, out.String(), errors.String()}
}

const (
	status = `{"instance": "palermo-1", "instances": [
		{"id": "palermo-1", "region": "west", "zone": "palermo", "public": "10.1.0.1:8081", "peer": "10.1.0.1:9081"}],
		"targets": [{"id": "t1", "service": "planner", "zone": "palermo", "rack": "r1", "owner": "palermo-1", "epoch": 15, "reserved": 2},
		{"id": "t2", "service": "planner", "zone": "palermo", "rack": "r1", "epoch": 9, "leaving": true}]}`
	job         = `{"id": "storm-7", "account": "agency", "service": "planner", "accelerators": 16, "within": "rack", "state": %q, "detail": %q}`
	emptyConfig = `{"revision": 41, "objects": []}`
)

func jobResponse(state, detail string) cannedResponse {
	return cannedResponse{http.StatusOK, fmt.Sprintf(job, state, detail)}
}

// writeFile creates a file and returns its path.
func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// TestExitCodes checks the exit codes and error messages of commands. Scripts need different exit
// codes for an invalid command line, a refusal by the system and an unreachable system, and the
// error message must say what is wrong.
func TestExitCodes(t *testing.T) {
	change := writeFile(t, "change.jsonc", `{"set": [{"kind": "account", "name": "agency", "spec": {"weight": 3}}]}`)
	broken := writeFile(t, "broken.jsonc", `{"set": [{"kind": "account", "name": "agency", "spec": {"wieght": 3}}]}`)
	settings := writeFile(t, "settings.jsonc", `{"instance": "palermo-1"}`)
	i := newFakeInstance(t, map[string]cannedResponse{
		"GET /v1/status":           {http.StatusOK, status},
		"GET /v1/config":           {http.StatusOK, emptyConfig},
		"POST /v1/config/check":    {http.StatusOK, `{"ok": true}`},
		"GET /v1/jobs/done?wait=0": jobResponse("done", ""),
		"GET /v1/jobs/none?wait=0": {http.StatusNotFound, `{"code": "not_found", "error": "not found: job \"none\""}`},

		"GET /v1/jobs/done?wait=5000":   jobResponse("done", ""),
		"GET /v1/jobs/failed?wait=5000": jobResponse("failed", "member 1 is failed"),
		"POST /v1/jobs":                 {http.StatusUnprocessableEntity, `{"code": "never", "error": "needs 64 accelerators in one rack; the largest rack has 32"}`},
	})
	for _, c := range []struct {
		args string
		code int
		err  string
	}{
		{"status", 0, ""},
		{"version", 0, ""},
		{"job view done", 0, ""},
		{"job wait done", 0, ""},
		{"config diff " + change, 0, ""},
		{"job wait failed", 1, `job "failed" is failed: member 1 is failed`},
		{"job view none", 1, `job "none"`},
		{"job submit --account a --service s --accelerators 64", 1, "the largest rack has 32"},
		{"target view t9", 1, "list targets with `anvilshunt target list`"},
		{"zone evacuate palermo", 2, "write REGION/ZONE"},
		{"instance view i9", 1, "list instances with `anvilshunt instance list`"},
		{"account view nobody", 1, "list them with `anvilshunt account list`"},
		{"", 2, "SUBCOMMANDS"},
		{"job", 2, "SUBCOMMANDS"},
		{"job view", 2, "expected one argument, the id of the job"},
		{"job view a b", 2, "expected one argument, the id of the job"},
		{"status now", 2, `unexpected argument "now"`},
		{"status --colour", 2, "list the flags with --help"},
		{"serve", 2, "serve takes --config FILE"},
		{"serve --config " + settings, 2, "region: missing"},
		{"config check", 2, "one or more settings files"},
		{"config check " + settings, 2, settings + ":1: "},
		{"config apply /nowhere.jsonc", 2, "/nowhere.jsonc"},
		{"config apply " + broken, 2, `unknown field "wieght"`},
	} {
		t.Run(c.args, func(t *testing.T) {
			got := run(false, i.address(), strings.Fields(c.args)...)
			assert.Equal(t, got.code, c.code, got.err)
			assert.Assert(t, cmp.Contains(got.err, c.err))
		})
	}
}

// TestUnreachable checks that a command tries all instances. It guards against commands that give
// up after the first instance fails although another one answers, and against errors that don't
// list the addresses that were tried.
func TestUnreachable(t *testing.T) {
	i := newFakeInstance(t, map[string]cannedResponse{"GET /v1/status": {http.StatusOK, status}})
	busy := newFakeInstance(t, map[string]cannedResponse{
		"GET /v1/status": {http.StatusServiceUnavailable, `{"code": "control_unavailable", "error": "no leader is known"}`},
	})
	closed := unreachableAddress()
	for _, c := range []struct {
		name, servers string
		code          int
		err           []string
	}{
		{"none listens", closed, 3, []string{"no instance can be reached", closed, "--servers", anvilfactory.EnvServers}},
		{"all unavailable", busy.address(), 3, []string{"no leader is known", busy.address()}},
		{"the second answers", closed + "," + i.address(), 0, nil},
		{"the third answers, with blanks", closed + ", " + busy.address() + " , " + i.address(), 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := run(false, c.servers, "status")
			assert.Equal(t, got.code, c.code, got.err)
			for _, text := range c.err {
				assert.Assert(t, cmp.Contains(got.err, text))
			}
		})
	}
	assert.Equal(t, run(false, closed, "status", "--servers", i.address()).code, 0, "the flag must take precedence over the variable")
}

// TestApply guards against a change set that is sent without an operator or a base revision, and
// against errors that don't list every problem or don't name the conflicting change.
func TestApply(t *testing.T) {
	file := writeFile(t, "change.jsonc", `{
		// The weight follows the number of courts.
		"set": [{"kind": "account", "name": "agency", "spec": {"weight": 3}}],
	}`)
	const call = "POST /v1/config/changes?everywhere=yes"
	for _, c := range []struct {
		name  string
		reply cannedResponse
		code  int
		out   string
		err   []string
	}{
		{
			"accepted",
			cannedResponse{http.StatusOK, `{"revision": 42, "everywhere": true}`},
			0,
			"revision 42 is in force on all instances\n",
			[]string{`+ {"kind":"account","name":"agency","spec":{"weight":3}}`},
		},
		{
			"refused",
			cannedResponse{http.StatusUnprocessableEntity, `{"code": "invalid_change", "error": "the change set can't be published", "problems": [
				{"kind": "account", "name": "agency", "field": "weight", "code": "bad_value", "error": "weight is 0; use 1 to 1000000"},
				{"code": "missing", "error": "the change has no id"}]}`},
			2, "",
			[]string{"the change set can't be published\n", "  account \"agency\": weight is 0; use 1 to 1000000\n", "  change set: the change has no id\n"},
		},
		{
			"conflict",
			cannedResponse{http.StatusConflict, `{"code": "stale_revision", "error": "another change was published since", "conflict":
				{"revision": 42, "change": "c-7", "operator": "bo", "differ": [{"kind": "account", "name": "agency"}]}}`},
			1, "",
			[]string{"another change was published since", `"c-7" by "bo" at revision 42`, "{account agency}"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := newFakeInstance(t, map[string]cannedResponse{"GET /v1/config": {http.StatusOK, emptyConfig}, call: c.reply})
			got := run(false, i.address(), "config", "apply", file, "--operator", "cy")
			assert.Equal(t, got.code, c.code, got.err)
			assert.Equal(t, got.out, c.out)
			for _, text := range c.err {
				assert.Assert(t, cmp.Contains(got.err, text))
			}
			var sent struct {
				ID, Operator string
				Base         int
			}
			assert.NilError(t, json.Unmarshal(i.requestBodies[call], &sent))
			assert.Assert(t, strings.HasPrefix(sent.ID, "cli-"), sent.ID)
			assert.Equal(t, sent.Operator, "cy")
			assert.Equal(t, sent.Base, 41)
		})
	}
}

// TestOutput checks the output of the list commands. Scripts split the lines into columns at the
// tabs, so output to a pipe must have no heading and no padding.
func TestOutput(t *testing.T) {
	i := newFakeInstance(t, map[string]cannedResponse{
		"GET /v1/status":              {http.StatusOK, status},
		"GET /v1/jobs":                {http.StatusOK, "[" + fmt.Sprintf(job, "running", "") + "]"},
		"GET /v1/jobs/storm-7?wait=0": jobResponse("running", ""),
		"GET /v1/config": {http.StatusOK, `{"revision": 41, "objects": [
			{"kind": "account", "name": "agency", "spec": {"weight": 3}, "revision": 41}]}`},
		"GET /v1/config/history": {http.StatusOK, `[]`},
		"GET /v1/zones": {http.StatusOK, `[{"region": "west", "zone": "palermo", "evacuated": 1700000000000, "targets": 2, "reserved": 16, "jobs": ["storm-7"]},
			{"region": "west", "zone": "trapani", "targets": 1, "reserved": 0}]`},
		"POST /v1/zones/west/pal%25ermo/evacuation": {http.StatusOK, `{"evacuated": true, "everywhere": true}`},
		"DELETE /v1/zones/west/palermo/evacuation":  {http.StatusOK, `{"evacuated": false, "everywhere": false}`},
	})
	for _, c := range []struct {
		name     string
		terminal bool
		args     string
		want     string
	}{
		{"targets", false, "target list", "t1\tplanner\tpalermo\tr1\tpalermo-1\t15\t2\tfalse\nt2\tplanner\tpalermo\tr1\t\t9\t0\ttrue\n"},
		{"instances", false, "instance list", "palermo-1\twest\tpalermo\t10.1.0.1:8081\t10.1.0.1:9081\tfalse\n"},
		{"jobs", false, "job list", "storm-7\tagency\tplanner\t16\track\trunning\t\n"},
		{"one job", false, "job view storm-7", "storm-7\tagency\tplanner\t16\track\trunning\t\n"},
		{"zones", false, "zone list", "west/palermo\ttrue\t2\t1\t16\nwest/trapani\tfalse\t1\t0\t0\n"},
		{"evacuation", false, "zone evacuate west/pal%ermo", "zone west/pal%ermo receives no new work, on all instances\n"},
		{"return", false, "zone return west/palermo", "zone west/palermo is used, not confirmed by all instances yet\n"},
		{"accounts", false, "account list", "agency\t41\t{\"kind\":\"account\",\"name\":\"agency\",\"spec\":{\"weight\":3},\"revision\":41}\n"},
		{"no shapes", false, "shape list", ""},
		{"empty history", false, "config history", ""},
		{"instances on a terminal", true, "instance list", "" +
			"ID         REGION  ZONE     PUBLIC         PEER           DRAINING\n" +
			"palermo-1  west    palermo  10.1.0.1:8081  10.1.0.1:9081  false\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := run(c.terminal, i.address(), strings.Fields(c.args)...)
			assert.Equal(t, got.code, 0, got.err)
			assert.Equal(t, got.out, c.want)
		})
	}
	for _, args := range []string{"target list", "instance list", "job list", "job view storm-7", "status", "config view", "config history", "account list", "zone list"} {
		got := run(true, i.address(), append(strings.Fields(args), "--json")...)
		assert.Assert(t, got.code == 0 && json.Valid([]byte(got.out)), "%s --json: %s%s", args, got.out, got.err)
	}
}

// TestArgumentOrder guards against flags that are ignored or taken for positional arguments
// because they follow the positional arguments.
func TestArgumentOrder(t *testing.T) {
	i := newFakeInstance(t, map[string]cannedResponse{
		"GET /v1/jobs/storm-7?wait=5000": jobResponse("done", ""),
		"GET /v1/jobs/-7?wait=0":         jobResponse("done", ""),
	})
	const line = "storm-7\tagency\tplanner\t16\track\tdone\t\n"
	for _, c := range []struct {
		args string
		code int
		json bool
	}{
		{"job wait storm-7 --timeout 1m --servers " + i.address(), 0, false},
		{"job wait --timeout 1m storm-7 --servers=" + i.address(), 0, false},
		{"job wait --timeout=1m --servers " + i.address() + " storm-7", 0, false},
		{"job wait --json storm-7 --servers " + i.address(), 0, true},
		{"job wait storm-7 --servers " + i.address() + " --json", 0, true},
		{"job view --servers " + i.address() + " -- -7", 0, false},
	} {
		t.Run(c.args, func(t *testing.T) {
			got := run(false, unreachableAddress(), strings.Fields(c.args)...)
			assert.Equal(t, got.code, c.code, got.err)
			if c.code == 0 {
				assert.Equal(t, json.Valid([]byte(got.out)), c.json)
				assert.Equal(t, got.out == line, !c.json)
			}
		})
	}
}

// subcommands returns the names of the subcommands that a help text lists.
func subcommands(help string) []string {
	_, section, found := strings.Cut(help, "SUBCOMMANDS\n")
	if !found {
		return nil
	}
	section, _, _ = strings.Cut(section, "\n\n")
	var names []string
	for _, line := range strings.Split(strings.TrimSpace(section), "\n") {
		names = append(names, strings.Fields(line)[0])
	}
	return names
}

// TestHelp checks that every command prints an example in its help text, and that the command
// accepts the flags of the example.
func TestHelp(t *testing.T) {
	commands := 0
	var walk func(path []string)
	walk = func(path []string) {
		got := run(false, "", append(path, "--help")...)
		name := strings.Join(append([]string{"anvilshunt"}, path...), " ")
		assert.Equal(t, got.code, 0, "%s --help: %s", name, got.err)
		if subs := subcommands(got.out); subs != nil {
			for _, sub := range subs {
				walk(append(path[:len(path):len(path)], sub))
			}
			return
		}
		commands++
		// A command without flags and arguments needs no example: its usage line is the complete call.
		if strings.Contains(got.out, "USAGE\n  "+name+"\n") {
			return
		}
		_, example, found := strings.Cut(got.out, "Example:\n  ")
		assert.Assert(t, found, "%s --help prints no example", name)
		example, _, _ = strings.Cut(example, "\n")
		assert.Assert(t, strings.HasPrefix(example, name+" ") || example == name, "%s: %s", name, example)
		args := strings.Fields(example)[1:]
		for i, arg := range args {
			if arg == "|" || arg == "&&" {
				args = args[:i]
				break
			}
		}
		got = run(false, "", append(args, "--help")...)
		assert.Equal(t, got.code, 0, "%s: %s", example, got.err)
	}
	walk(nil)
	assert.Assert(t, commands >= 20, "only %d commands were found", commands)
}
