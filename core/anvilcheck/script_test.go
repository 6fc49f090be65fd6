package anvilcheck

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/core/anvilwork"
)

// Guards against entries that can't work and aren't reported, valid configurations with findings, wrong
// lines, and unclear texts. A script has sections: "force" holds the objects in force, one per line,
// "targets" holds lines of service, zone, rack and the accelerators of each target, and "change" or
// "work" the configuration to check. A change is checked offline unless the script has the section
// "force". The section "want" is the expected result; the flag -update rewrites it.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			input, want, _ := strings.Cut(string(data), "-- want --\n")
			got := runScript(t, sections(input))
			if golden.FlagUpdate() {
				assert.NilError(t, os.WriteFile(file, []byte(input+"-- want --\n"+got), 0o644))
				return
			}
			assert.Equal(t, got, want)
		})
	}
}

// sections splits a script at the lines of the form "-- name --".
func sections(text string) map[string]string {
	parts := map[string]string{}
	name := ""
	for _, line := range strings.SplitAfter(text, "\n") {
		if title, ok := strings.CutPrefix(strings.TrimSpace(line), "-- "); ok {
			name = strings.TrimSuffix(title, " --")
			parts[name] = ""
			continue
		}
		parts[name] += line
	}
	return parts
}

func runScript(t *testing.T, parts map[string]string) string {
	var out strings.Builder
	var fleet Fleet
	if targets, ok := parts["targets"]; ok {
		fleet = NewFleet(readTargets(t, targets))
	}
	if work, ok := parts["work"]; ok {
		var config anvilwork.Config
		assert.NilError(t, json.Unmarshal([]byte(work), &config))
		writeFindings(&out, Work(&config, fleet))
		return out.String()
	}
	document, findings := Parse([]byte(parts["change"]))
	force, online := parts["force"]
	switch {
	case len(findings) > 0:
		writeFindings(&out, findings)
	case online:
		current := readObjects(t, force)
		differences, err := Differences(current, document.Change)
		assert.NilError(t, err)
		for _, difference := range differences {
			fmt.Fprintln(&out, difference)
		}
		_, problems := anvilconfig.Check(current, document.Change, inventoryOf(readTargets(t, parts["targets"])))
		writeFindings(&out, document.Locate(Against(current, document.Change, fleet, problems)))
	default:
		writeFindings(&out, document.Locate(Offline(document.Change)))
	}
	return out.String()
}

func writeFindings(out *strings.Builder, findings []Finding) {
	for _, finding := range findings {
		fmt.Fprintf(out, "line %d: %s [%s %s]\n", finding.Line, finding, finding.Code, finding.Field)
	}
}

// inventoryOf returns the targets in zones of one rack each.
func inventoryOf(targets []anvilstate.Target) anvilconfig.Inventory {
	return func(service anvilid.ServiceName) []anvilconfig.Zone {
		var zones []anvilconfig.Zone
		for i, target := range targets {
			if target.Service != service {
				continue
			}
			if len(zones) == 0 || zones[len(zones)-1].Name != target.Zone {
				zones = append(zones, anvilconfig.Zone{Name: target.Zone, Racks: make([]anvilconfig.Rack, 1)})
			}
			rack := &zones[len(zones)-1].Racks[0]
			rack.Targets = append(rack.Targets, anvilconfig.Target{ID: anvilid.TargetID(fmt.Sprint(i)), Accelerators: target.Accelerators})
		}
		return zones
	}
}

func readObjects(t *testing.T, text string) anvilconfig.Snapshot {
	current := anvilconfig.NewSnapshot(7)
	for line := range strings.Lines(text) {
		var object anvilconfig.Object
		assert.NilError(t, json.Unmarshal([]byte(line), &object))
		current.Objects[object.Key] = object
	}
	return current
}

func readTargets(t *testing.T, text string) []anvilstate.Target {
	var targets []anvilstate.Target
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		for _, size := range words[3:] {
			target := anvilstate.Target{Service: anvilid.ServiceName(words[0]), Zone: anvilid.ZoneName(words[1]), Rack: anvilid.RackName(words[2])}
			_, err := fmt.Sscan(size, &target.Accelerators)
			assert.NilError(t, err)
			targets = append(targets, target)
		}
	}
	return targets
}
