package anvilvoter

import (
	"context"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

// applyItem is the work that one step of the step loop passes to the apply loop. The
// apply loop handles the fields in the order of their declaration.
type applyItem struct {
	restore *anvilraft.Snapshot
	entries []anvilraft.Entry
	// waiters contains the Propose calls that wait for an entry of this item. The
	// key is the log index of the entry.
	waiters map[anvilid.Index]*request
	// barriers contains the Barrier calls that wait until the entries of this and
	// all earlier items are applied.
	barriers []*request
}

// applyLoop applies committed entries in order and creates snapshots. The
// argument snapshotIndex is the index of the last entry that the stored snapshot
// includes.
func (v *Voter) applyLoop(ctx context.Context, snapshotIndex anvilid.Index) error {
	compaction := compactions{limit: anvilid.Index(joiningIntervals * v.compactAfter), maxBytes: v.compactBytes}
	compaction.begin(snapshotIndex, v.compactionSchedule())
	for {
		var item applyItem
		select {
		case <-ctx.Done():
			return nil
		case item = <-v.applyItems:
		}
		if item.restore != nil {
			if err := v.stateMachine.Restore(*item.restore); err != nil {
				return eris.Wrapf(err, "restore snapshot %d", item.restore.Index)
			}
			compaction.begin(item.restore.Index, v.compactionSchedule())
			v.applied.Store(uint64(item.restore.Index))
		}
		for i := range item.entries {
			v.applyEntry(&item.entries[i], item.waiters)
			compaction.bytes += anvilid.ByteCount(len(item.entries[i].Data))
			if item.entries[i].Kind == anvilraft.KindMembers {
				compaction.follow(v.compactionSchedule(), item.entries[i].Index)
			}
		}
		for _, r := range item.barriers {
			r.finish(0, nil, nil)
		}
		applied := anvilid.Index(v.applied.Load())
		if len(v.compactions) > 0 || !compaction.due(applied, v.awaitsVoters) {
			continue
		}
		data, err := v.stateMachine.Snapshot()
		if err != nil {
			return eris.Wrapf(err, "create a snapshot at entry %d", applied)
		}
		v.compactions <- anvilraft.Compact{Index: applied, Snapshot: data} // never blocks: only this loop sends, and len was 0
		compaction.done(applied)
	}
}

func (v *Voter) applyEntry(entry *anvilraft.Entry, waiters map[anvilid.Index]*request) {
	var result any
	if entry.Kind == anvilraft.KindCommand {
		result = v.stateMachine.Apply(*entry)
	}
	v.logTime.now(v.clock.Now(), entry.At) // the next entry of this voter is not stamped with an earlier time
	v.applied.Store(uint64(entry.Index))
	if r := waiters[entry.Index]; r != nil {
		r.finish(entry.Index, result, nil)
	}
}
