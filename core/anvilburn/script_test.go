package anvilburn

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// script executes the commands of a test script with several recorders and one History.
type script struct {
	t         *testing.T
	now       anvilclock.Millis
	history   *History
	recorders map[string]*Recorder
	sent      map[string]*Batch
	delayed   map[string]*Batch
	services  []Service
}

// Guards against wrong counts, budgets and burn rates: the script contains results that were
// computed by hand.
func TestSession(t *testing.T) {
	want, err := os.ReadFile("testdata/session.txt")
	assert.NilError(t, err)
	s := &script{
		t: t, history: NewHistory(DefaultLimits()),
		recorders: map[string]*Recorder{}, sent: map[string]*Batch{}, delayed: map[string]*Batch{},
	}
	var got strings.Builder
	for _, line := range strings.Split(strings.TrimSuffix(string(want), "\n"), "\n") {
		if strings.HasPrefix(line, "=") {
			continue
		}
		fmt.Fprintln(&got, line)
		if line != "" && line[0] != '#' {
			s.step(&got, strings.Fields(line))
		}
	}
	assert.Equal(t, got.String(), string(want))
}

func (s *script) number(word string) int {
	n, err := strconv.Atoi(word)
	assert.NilError(s.t, err)
	return n
}

func (s *script) step(out *strings.Builder, words []string) {
	switch words[0] {
	case "at":
		s.now = anvilclock.Millis(s.number(words[1])) * anvilclock.Minute
	case "objective":
		s.objective(words[1:])
	case "count":
		s.count(words[1], words[2:], func(event Event) { s.recorder(words[1]).Add(s.now, event) })
	case "job":
		s.count("", words[1:], func(event Event) { s.history.AddJob(s.now, event) })
	case "send", "keep":
		r := s.recorder(words[1])
		r.Flush()
		batch := r.NextBatch()
		r.Acknowledge(batch.Sequence)
		if words[0] == "keep" {
			s.delayed[words[1]] = batch
			return
		}
		s.sent[words[1]] = batch
		assert.NilError(s.t, s.history.Add(s.now, batch))
	case "late":
		assert.NilError(s.t, s.history.Add(s.now, s.delayed[words[1]]))
	case "again":
		_ = s.history.Add(s.now, s.sent[words[1]]) // refused if the batch is too old by now
	case "restart":
		s.history = encodeAndDecode(s.t, s.history)
	case "report":
		show(out, BuildReport(s.history, s.now, s.services))
	}
}

func (s *script) recorder(name string) *Recorder {
	if s.recorders[name] == nil {
		s.recorders[name] = NewRecorder(anvilid.InstanceID(name), 1)
	}
	return s.recorders[name]
}

func (s *script) objective(words []string) {
	limit := anvilclock.Millis(s.number(words[2]))
	percent := float64(s.number(words[3]))
	if len(s.services) == 0 {
		s.services = []Service{{Name: anvilid.ServiceName(words[0])}}
	}
	set := &s.services[0].Objectives
	switch ObjectiveName(words[1]) {
	case ObjectiveWait:
		set.Wait = &anvilconfig.LimitObjective{Limit: limit, Percent: percent}
	case ObjectiveStarts:
		set.Starts = &anvilconfig.LimitObjective{Limit: limit, Percent: percent}
	case ObjectiveService:
		set.Service = &anvilconfig.Objective{Percent: percent}
	}
}

func (s *script) count(_ string, words []string, add func(Event)) {
	event := Event{Limited: true, Key: Key{anvilid.ServiceName(words[0]), anvilid.AccountID(words[1]), Cause(words[2])}}
	for i := range s.number(words[3]) {
		event.OverLimit = i < s.number(words[4])
		add(event)
	}
}

func encodeAndDecode(t assert.TestingT, h *History) *History {
	data, err := h.Capture().Encode()
	assert.NilError(t, err)
	restored, err := Decode(data, h.limits)
	assert.NilError(t, err)
	return restored
}

func show(out *strings.Builder, report Report) {
	for _, o := range report.Objectives {
		fmt.Fprintf(out, "= %s/%s total %d spent %d budget %.5g", o.Service, o.Name, o.Total, o.Spent, o.Budget)
		for _, rate := range o.Rates {
			fmt.Fprintf(out, " %s=%.5g", rate.Window, rate.Burn)
		}
		fmt.Fprintf(out, "\n=   accounts%s\n=   causes%s\n", spenders(o.Accounts), spenders(o.Causes))
	}
	fmt.Fprintf(out, "= skipped %+v\n", report.Skipped)
}

func spenders(list []Spender) string {
	var out strings.Builder
	for _, s := range list {
		fmt.Fprintf(&out, " %s:%d", s.Name, s.Spent)
	}
	return out.String()
}
