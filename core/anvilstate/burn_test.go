package anvilstate

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Guards against job starts that are counted twice or not at all, against batches of
// counts that are added again after a restart, and against batches of counts that trigger
// job planning.
func TestBurn(t *testing.T) {
	const start = 1000 * anvilclock.Hour
	m := New()
	index := anvilid.Index(0)
	apply := func(at anvilclock.Millis, line string) Result {
		index++
		result := m.Apply(index, start+at, parse(strings.Fields(line)))
		assert.Equal(t, result.Code, "", result.Detail)
		return result
	}
	apply(0, "join i1 1 r/z")
	apply(0, "register t1 1 r/z/k 8 s")
	apply(0, `config {"id": "c", "operator": "ada", "set": [{"kind": "account", "name": "a", "spec": {"weight": 1}},
		{"kind": "service", "name": "s", "spec": {"timeout": 9, "body": 9, "objectives": {"service": {"percent": 50}, "starts": {"limit": 1000, "percent": 50}}}}]}`)
	begin := func(at anvilclock.Millis, id string) anvilid.Token {
		token := apply(at, "place "+id+" t1/1/8").Job.Token
		for _, state := range []JobState{JobPreparing, JobRunning, JobRunning} {
			apply(at, fmt.Sprintf("advance %s %d %s", id, token, state))
		}
		return token
	}
	apply(0, "submit fast a s 8")
	token := begin(1000, "fast")
	apply(1000, fmt.Sprintf("advance fast %d stopping", token))
	apply(1000, fmt.Sprintf("advance fast %d submitted", token))
	token = begin(5000, "fast") // the second start of the same job, which is not counted
	apply(5000, fmt.Sprintf("advance fast %d done", token))
	apply(5000, "submit slow a s 8")
	begin(6001, "slow")
	apply(6001, "submit gone a s 8")
	apply(6001, "cancel gone")

	planned := m.PlanningIndex()
	batch := &anvilburn.Batch{Instance: "i1", Incarnation: 1, Sequence: 1, Minute: start, Entries: []anvilburn.Entry{
		{Key: anvilburn.Key{Service: "s", Account: "a", Cause: anvilburn.CauseDone}, Count: anvilburn.Count{Total: 9}},
		{Key: anvilburn.Key{Service: "s", Account: "a", Cause: "not-run/overloaded"}, Count: anvilburn.Count{Total: 3}},
	}}
	data, err := Encode(&Command{Burn: batch})
	assert.NilError(t, err)
	var command Command
	assert.NilError(t, Decode(data, &command))
	for range 3 {
		index++
		assert.Equal(t, m.Apply(index, start+6001, command).Code, "")
		snapshot, err := m.Snapshot()
		assert.NilError(t, err)
		m, err = Restore(snapshot)
		assert.NilError(t, err)
		again, err := m.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, again, snapshot)
		report := m.BurnReport(0, "s")
		assert.Equal(t, len(report.Objectives), 2)
		assert.Equal(t, report.Objectives[0].Total, uint64(12))
		assert.Equal(t, report.Objectives[0].Spent, uint64(3))
		assert.Equal(t, report.Objectives[1].Total, uint64(2))
		assert.Equal(t, report.Objectives[1].Spent, uint64(1))
	}
	assert.Assert(t, m.PlanningIndex() <= planned)
	batch.Sequence, batch.Minute = 2, start-24*anvilclock.Hour
	assert.Equal(t, m.Apply(index+1, start+6001, Command{Burn: batch}).Code, "bad_batch")
}
