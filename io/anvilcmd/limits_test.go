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

// TestLimitsTable checks that docs/OPERATIONS.md lists all limits and timings with their defaults
// and ranges. It guards against documentation that is not updated when a setting changes.
func TestLimitsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	defaults := anvilsettings.Defaults()
	settingDefaults := map[string]map[string]int64{}
	for group, value := range map[string]any{"limits": defaults.Limits, "timing": defaults.Timing} {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		fields := map[string]int64{}
		assert.NilError(t, json.Unmarshal(data, &fields))
		settingDefaults[group] = fields
	}
	documentedDefaults := map[string]map[string]int64{"limits": {}, "timing": {}}
	for _, row := range limitRow.FindAllStringSubmatch(string(page), -1) {
		group, name := row[1], row[2]
		documentedDefaults[group][name], err = strconv.ParseInt(row[3], 10, 64)
		assert.NilError(t, err)
		low, err := strconv.ParseInt(row[4], 10, 64)
		assert.NilError(t, err)
		checkBound(t, group, name, low, low-1)
		if row[5] != "" { // empty if the upper bound is not a number but depends on another setting
			high, err := strconv.ParseInt(row[5], 10, 64)
			assert.NilError(t, err)
			checkBound(t, group, name, high, high+1)
		}
	}
	assert.DeepEqual(t, documentedDefaults, settingDefaults)
}

// checkBound checks that the range check of a setting accepts the value inside and rejects the
// value outside. The range checks of other settings may reject either value, such as a heartbeat
// interval that is too long for the election timeout, so only messages about this setting count.
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
