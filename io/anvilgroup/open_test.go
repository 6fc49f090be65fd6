package anvilgroup

import (
	"context"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

// TestStartOpensDirectoryOnce guards against a start that opens the data directory twice. Each time costs at least one
// sync, and until then the voter takes part in no election.
func TestStartOpensDirectoryOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	for _, start := range []string{"first", "second"} {
		opened := 0
		files := anvildisk.OSFiles()
		lock := files.Lock
		files.Lock = func(path string) (func() error, error) {
			opened++
			return lock(path)
		}
		group, err := Open(Settings{
			Instance: "127.0.0.1", Dir: dir, Disk: []anvildisk.Option{anvildisk.WithFiles(files)}, FirstStart: true,
			Seeds: func() []anvilid.InstanceID { return []anvilid.InstanceID{"127.0.0.1"} }, ElectionTimeout: 350, Heartbeat: 80,
		}, anvilclock.Monotonic(), anvilclock.Wall(), anvillink.New("r", func(anvilid.Address) anvilid.RegionName { return "r" }), anvillogs.Discard(),
			anvilvoter.StateMachine{})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.NilError(t, group.Voter.Run(ctx))
		assert.Equal(t, opened, 1, "%s start", start)
		assert.Assert(t, group.Voter.Status().Members.IsVoter(group.ID()), "%s start", start)
	}
}
