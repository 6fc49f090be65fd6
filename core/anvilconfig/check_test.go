package anvilconfig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"anvilshunt/core/anvilid"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against change sets that are accepted although they should be refused, problems that are
// not reported, and unclear messages. In a script, "have" adds an object to the configuration,
// "targets" adds a rack (service, zone, rack, and the number of accelerators of each target), and
// "change" checks a change set. Lines that begin with "=" contain the expected result; the flag
// -update rewrites them.
func TestCheckScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			assert.NilError(t, err)
			got := runScript(t, string(want))
			if golden.FlagUpdate() {
				assert.NilError(t, os.WriteFile(file, []byte(got), 0o644))
			}
			assert.Equal(t, got, string(want))
		})
	}
}

func runScript(t *testing.T, text string) string {
	var out strings.Builder
	current := NewSnapshot(7)
	services := map[anvilid.ServiceName][]Zone{}
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "=") {
			continue
		}
		fmt.Fprintln(&out, line)
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "have":
			var object Object
			assert.NilError(t, json.Unmarshal([]byte(rest), &object))
			current.Objects[object.Key] = object
		case "targets":
			addTargets(t, services, strings.Fields(rest))
		case "change":
			fmt.Fprint(&out, checkText(current, rest, services))
		}
	}
	return out.String()
}

// addTargets adds a rack of targets from a line of the form "service zone rack size,size,...". A size
// is a number of accelerators.
func addTargets(t *testing.T, services map[anvilid.ServiceName][]Zone, words []string) {
	service, zoneName := anvilid.ServiceName(words[0]), anvilid.ZoneName(words[1])
	zones := services[service]
	if len(zones) == 0 || zones[len(zones)-1].Name != zoneName {
		zones = append(zones, Zone{Name: zoneName})
	}
	rack := Rack{Name: anvilid.RackName(words[2])}
	for i, word := range strings.Split(words[3], ",") {
		var size anvilid.AcceleratorCount
		_, err := fmt.Sscan(word, &size)
		assert.NilError(t, err)
		rack.Targets = append(rack.Targets, Target{ID: anvilid.TargetID(fmt.Sprintf("%s%d", words[2], i)), Accelerators: size})
	}
	zone := &zones[len(zones)-1]
	zone.Racks = append(zone.Racks, rack)
	services[service] = zones
}

func checkText(current Snapshot, text string, services map[anvilid.ServiceName][]Zone) string {
	change, problems := ParseChange([]byte(text))
	var placement Placement
	if len(problems) == 0 {
		placement, problems = Check(current, change, FixedInventory(services))
	}
	var out strings.Builder
	for _, problem := range problems {
		fmt.Fprintf(&out, "= %s [%s] %s\n", problem.Code, problem.Field, problem.Error())
	}
	if len(problems) > 0 {
		return out.String()
	}
	fmt.Fprintln(&out, "= ok")
	for _, gang := range placement {
		fmt.Fprintf(&out, "=   %s %d:", gang.Guarantee, gang.Number)
		for _, part := range gang.Parts {
			fmt.Fprintf(&out, " %s[%d-%d]", part.Target, part.First, part.First+part.Accelerators-1)
		}
		fmt.Fprintln(&out)
	}
	after := NewSnapshot(current.Revision, current.List()...)
	after.Apply(change, current.Revision+1)
	for _, d := range Diff(current, after) {
		fmt.Fprintf(&out, "=   %s %s added=%t deleted=%t\n", d.Kind, d.Name, d.Old == nil, d.New == nil)
	}
	return out.String()
}

// Guards against listed objects that operators cannot send back unchanged.
func TestObjectFormat(t *testing.T) {
	for _, text := range []string{
		`{"kind":"account","name":"a","spec":{"weight":3,"parent":"b","services":["s"]},"revision":4}`,
		`{"kind":"guarantee","name":"g","spec":{"account":"a","service":"s","shape":"x","count":2}}`,
		`{"kind":"shape","name":"x","spec":{"accelerators":8,"within":"rack"}}`,
		`{"kind":"service","name":"s","spec":{"timeout":1000,"body":5}}`,
	} {
		var object Object
		assert.NilError(t, json.Unmarshal([]byte(text), &object))
		data, err := json.Marshal(object)
		assert.NilError(t, err)
		assert.Equal(t, string(data), text)
	}
}
