package anvilreport

import (
	"errors"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestOddReport guards against an announcement that is stored in the replicated state although no instance
// can use the target, or whose numbers make the sums over all targets of a service overflow.
func TestOddReport(t *testing.T) {
	valid := Report{
		Target: "t-1", Incarnation: 17, Address: "127.0.0.1:9001", Service: "planner", Slots: 8, Connections: 64,
		Accelerators: 8, UsedSlots: 1, OpenConnections: 2, Tasks: []Task{{Job: "j", Member: 1, Accelerators: 2}},
	}
	assert.NilError(t, valid.Check())
	for name, change := range map[string]func(*Report){
		"no port":         func(r *Report) { r.Address = "127.0.0.1" },
		"port 0":          func(r *Report) { r.Address = "127.0.0.1:0" },
		"port 99999":      func(r *Report) { r.Address = "127.0.0.1:99999" },
		"host name":       func(r *Report) { r.Address = "worker:80" },
		"path":            func(r *Report) { r.Address = "127.0.0.1:80/x" },
		"line in the id":  func(r *Report) { r.Target = "a\nb" },
		"slash in the id": func(r *Report) { r.Target = "a/b" },
		"dots as id":      func(r *Report) { r.Target = ".." },
		"long id":         func(r *Report) { r.Target = anvilid.TargetID(strings.Repeat("t", 10_000)) },
		"id is not UTF-8": func(r *Report) { r.Target = "\xff" },
		"long rack":       func(r *Report) { r.Rack = anvilid.RackName(strings.Repeat("r", 10_000)) },
		"slots":           func(r *Report) { r.Slots = math.MaxInt },
		"connections":     func(r *Report) { r.Connections = math.MaxInt },
		"accelerators":    func(r *Report) { r.Accelerators = math.MaxInt },
		"used slots":      func(r *Report) { r.UsedSlots = math.MaxInt },
		"open":            func(r *Report) { r.OpenConnections = math.MaxInt },
		"age":             func(r *Report) { r.UsageAge = math.MaxInt64 },
		"task below zero": func(r *Report) { r.Tasks[0].Accelerators = -1 },
		"large task":      func(r *Report) { r.Tasks[0].Accelerators = math.MaxInt },
		"member":          func(r *Report) { r.Tasks[0].Member = -1 },
	} {
		report := valid
		report.Tasks = []Task{valid.Tasks[0]}
		change(&report)
		err := report.Check()
		assert.Check(t, errors.Is(err, ErrInvalid), "%s: %v", name, err)
	}
}
