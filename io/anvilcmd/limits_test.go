package anvilcmd

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/io/anvilsettings"
)

var limitRow = regexp.MustCompile("(?m)^\\| `(limits|timing)\\.([a-z]+)` \\| (\\d+) \\|[^|]*\\| (\\d+) to (\\d+)?")

// TestLimitsTable guards against defaults and ranges in docs/OPERATIONS.md
// that the settings don't have, and against settings that the page lacks.
func TestLimitsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	defaults := anvilsettings.Defaults()
	wanted := map[string]map[string]int64{}
	for group, value := range map[string]any{"limits": defaults.Limits, "timing": defaults.Timing} {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		fields := map[string]int64{}
		assert.NilError(t, json.Unmarshal(data, &fields))
		wanted[group] = fields
	}
	listed := map[string]map[string]int64{"limits": {}, "timing": {}}
	for _, row := range limitRow.FindAllStringSubmatch(string(page), -1) {
		group, name := row[1], row[2]
		listed[group][name], err = strconv.ParseInt(row[3], 10, 64)
		assert.NilError(t, err)
		low, err := strconv.ParseInt(row[4], 10, 64)
		assert.NilError(t, err)
		checkBound(t, group, name, low, low-1)
		if row[5] != "" { // other ranges depend on a second setting
			high, err := strconv.ParseInt(row[5], 10, 64)
			assert.NilError(t, err)
			checkBound(t, group, name, high, high+1)
		}
	}
	assert.DeepEqual(t, listed, wanted)
}

// checkBound checks that a settings file may have the value inside a range
// and not the one outside of it. Other settings may refuse either, such as a
// heartbeat that is too long for the election timeout; the message tells.
func checkBound(t *testing.T, group, name string, inside, outside int64) {
	prefix := fmt.Sprintf("%s.%s: expected ", group, name)
	problems := func(value int64) string {
		text := fmt.Sprintf(`{"instance": "a", "region": "r", "zone": "z", "public": "127.0.0.1:1", "peer": "127.0.0.1:2",
			"peers": [{"instance": "b", "address": "127.0.0.1:3", "region": "r", "voter": true}], %q: {%q: %d}}`, group, name, value)
		if _, err := anvilsettings.Parse("settings", []byte(text)); err != nil {
			return err.Error()
		}
		return ""
	}
	assert.Assert(t, !strings.Contains(problems(inside), prefix), "%s.%s: %d is refused", group, name, inside)
	assert.Assert(t, strings.Contains(problems(outside), prefix), "%s.%s: %d is accepted", group, name, outside)
}
