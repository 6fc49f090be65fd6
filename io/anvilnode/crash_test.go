package anvilnode

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/io/anvildaemon"
	"anvilshunt/io/anvillogs"
)

// TestCrashLogged guards against a voter that ends by a fatal error of the runtime and whose log, which lacks standard error, has no
// sign of it: an incident couldn't be told from a process that was killed.
func TestCrashLogged(t *testing.T) {
	const variable = "CRASH_DIRECTORY"
	var lines anvillogs.Tail
	log, err := anvillogs.New(&lines, "info")
	assert.NilError(t, err)
	n := &Node{Daemon: &anvildaemon.Daemon{Log: log}}
	if dir := os.Getenv(variable); dir != "" {
		n.watchCrashes(dir)
		var mu sync.Mutex
		mu.Unlock() // ends the process
	}
	dir := t.TempDir()
	command := exec.Command(os.Args[0], "-test.run", "^TestCrashLogged$")
	command.Env = append(os.Environ(), variable+"="+dir)
	assert.Assert(t, command.Run() != nil)
	defer func() { assert.NilError(t, debug.SetCrashOutput(nil, debug.CrashOptions{})) }()
	n.watchCrashes(dir)
	assert.Assert(t, strings.Contains(lines.String(), `"event":110,"text":"goroutine `), lines.String())
	assert.Assert(t, strings.Contains(lines.String(), `anvilnode.TestCrashLogged(`), lines.String())
	before := lines.String()
	n.watchCrashes(dir)
	assert.Equal(t, lines.String(), before, "a crash is logged once")

	n.watchCrashes(filepath.Join(dir, "missing"))
	assert.Assert(t, strings.Contains(strings.TrimPrefix(lines.String(), before), `"event":111,`), "a file that can't be written isn't a crash: %s", lines.String())
}
