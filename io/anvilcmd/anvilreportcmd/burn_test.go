package anvilreportcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

const now = 100 * 24 * anvilclock.Hour

// sample returns a report on a history with damaged and lost counts. The account name contains
// markup, to check that the HTML page escapes names.
func sample() anvilburn.Report {
	h := anvilburn.NewHistory(anvilburn.DefaultLimits())
	for i, cause := range []anvilburn.Cause{anvilburn.CauseJobStarted, anvilburn.CauseJobStarted, anvilburn.CauseJobNotStarted} {
		h.AddJob(now-10*anvilclock.Minute, anvilburn.Event{
			Key: anvilburn.Key{Service: "planner", Account: "<b>", Cause: cause}, Limited: true, OverLimit: i > 0,
		})
	}
	_ = h.Add(now, &anvilburn.Batch{Instance: "i1", Incarnation: 1, Sequence: 1, Minute: now - anvilclock.Minute, Lost: 4})
	starts := anvilconfig.LimitObjective{Limit: 60000, Percent: 90}
	report := anvilburn.BuildReport(h, now, []anvilburn.Service{{Name: "planner", Objectives: anvilconfig.Objectives{Starts: &starts}}})
	report.Skipped.Damaged = 2
	return report
}

// run runs the command against a fake instance and returns what it wrote to standard output and to
// standard error.
func run(t *testing.T, terminal bool, args ...string) (out, notes string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.RequestURI() == "/v1/burn?service=planner")
		assert.Check(t, json.NewEncoder(w).Encode(sample()))
	}))
	defer server.Close()
	var stdout, stderr bytes.Buffer
	factory := &anvilfactory.Factory{
		Streams: anvilfactory.Streams{Out: &stdout, Err: &stderr, Terminal: terminal},
		Client:  server.Client, Env: func(string) string { return strings.TrimPrefix(server.URL, "http://") },
	}
	assert.NilError(t, New(factory).ParseAndRun(context.Background(), append([]string{"burn", "--service", "planner"}, args...)))
	return stdout.String(), stderr.String()
}

// Guards against changes of the table's columns, which scripts read, and against reports that don't
// mention damaged or lost counts.
func TestTable(t *testing.T) {
	const row = "planner\tstarts\t90% within 60000 ms\t3\t2\t0.3\t-566.7%\t0.00\t6.67\t6.67\t6.67\t<b>:2\tstart:1,start/failed:1\n"
	piped, notes := run(t, false)
	assert.Equal(t, piped, row)
	assert.Equal(t, notes, "note: 2 minutes or hours of the history are damaged and were skipped\n"+
		"note: 4 requests are missing: instances dropped their counts while the control group was out of reach\n")
	shown, _ := run(t, true)
	assert.Equal(t, strings.Join(strings.Fields(shown)[:7], " "), "SERVICE OBJECTIVE GOAL EVENTS SPENT BUDGET LEFT")

	var report anvilburn.Report
	text, _ := run(t, false, "--json")
	assert.NilError(t, json.Unmarshal([]byte(text), &report))
	assert.DeepEqual(t, report, sample())
}

// Guards against HTML pages that need scripts or other servers, that aren't well formed, or that
// don't escape names.
func TestPage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "burn.html")
	run(t, false, "--html", file)
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	text := string(page)
	assert.Equal(t, strings.Count(text, "<svg"), 2)
	assert.Assert(t, strings.Contains(text, "2 minutes or hours of the history are damaged"))
	for _, bad := range []string{"<b>", "<!DOCTYPE svg", "@import", "url("} {
		assert.Assert(t, !strings.Contains(text, bad), bad)
	}
	decoder := xml.NewDecoder(strings.NewReader(text))
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		element, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch element.Name.Local {
		case "script", "link", "iframe", "object", "embed", "img", "image", "use":
			t.Errorf("the page has a %s", element.Name.Local)
		}
		for _, attribute := range element.Attr {
			switch name := attribute.Name.Local; {
			case name == "href", name == "src", strings.HasPrefix(name, "on"):
				t.Errorf("element %s has %s=%q", element.Name.Local, name, attribute.Value)
			}
		}
	}
}
