package anvilcmd

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestConfigCheck guards against a wrong exit code, findings without their place, and output that
// scripts can't read. Each data file has a line of arguments after "config check", in which FILE is the
// change set that follows the line "-- file --", and the expected output after "-- want --"; the flag
// -update rewrites the latter.
func TestConfigCheck(t *testing.T) {
	i := newFakeInstance(t, map[string]cannedResponse{
		"GET /v1/status": {http.StatusOK, `{"instance": "palermo-1", "targets": [
			{"id": "t1", "service": "planner", "zone": "palermo", "rack": "r1", "accelerators": 8}]}`},
		"GET /v1/config": {http.StatusOK, `{"revision": 41, "objects": [
			{"kind": "account", "name": "agency", "spec": {"weight": 3}, "revision": 41},
			{"kind": "service", "name": "planner", "spec": {"timeout": 5000, "body": 65536}, "revision": 40}]}`},
		"POST /v1/config/check": {http.StatusUnprocessableEntity, `{"code": "invalid_change", "error": "the change set can't be published", "problems": [
			{"kind": "guarantee", "name": "storm", "field": "count", "code": "guarantee_unplaced", "error": "0 of 1 gangs fit"}]}`},
	})
	files, err := filepath.Glob("testdata/check/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			input, want, _ := strings.Cut(string(data), "-- want --\n")
			args, content, _ := strings.Cut(input, "-- file --\n")
			path := writeFile(t, "change.jsonc", content)
			servers := i.address()
			if strings.Contains(args, "UNREACHABLE") {
				servers = unreachableAddress()
			}
			args = strings.NewReplacer("FILE", path, "UNREACHABLE", "").Replace(args)
			result := run(false, servers, append([]string{"config", "check"}, strings.Fields(args)...)...)
			if strings.Contains(args, "--json") {
				assert.Assert(t, json.Valid([]byte(result.out)), result.out)
			}
			got := "exit code " + string(rune('0'+result.code)) + "\n" + result.out + result.err
			got = strings.NewReplacer(path, "FILE", servers, "SERVERS").Replace(got)
			if golden.FlagUpdate() {
				assert.NilError(t, os.WriteFile(file, []byte(input+"-- want --\n"+got), 0o644))
				return
			}
			assert.Equal(t, got, want)
		})
	}
}
