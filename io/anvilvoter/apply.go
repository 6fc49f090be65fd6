package anvilvoter

import (
	"context"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

// applyItem is work for the apply loop. The fields are handled in this order.
type applyItem struct {
	restore *anvilraft.Snapshot
	entries []anvilraft.Entry
	// waiters are the requests that wait for an entry of this item.
	waiters map[anvilid.Index]*request
	// barriers wait until everything before is applied.
	barriers []*request
}

// applyLoop applies committed entries in order and makes snapshots. covered is
// the index of the stored snapshot.
func (v *Voter) applyLoop(ctx context.Context, covered anvilid.Index) error {
	for {
		var item applyItem
		select {
		case <-ctx.Done():
			return nil
		case item = <-v.applies:
		}
		if item.restore != nil {
			if err := v.machine.Restore(*item.restore); err != nil {
				return eris.Wrapf(err, "restore snapshot %d", item.restore.Index)
			}
			covered = item.restore.Index
			v.applied.Store(uint64(covered))
		}
		for i := range item.entries {
			v.applyEntry(&item.entries[i], item.waiters)
		}
		for _, r := range item.barriers {
			r.finish(0, nil, nil)
		}
		applied := anvilid.Index(v.applied.Load())
		if applied < covered+anvilid.Index(v.compactAfter) || len(v.compacts) > 0 {
			continue
		}
		data, err := v.machine.Snapshot()
		if err != nil {
			return eris.Wrapf(err, "make a snapshot at entry %d", applied)
		}
		v.compacts <- anvilraft.Compact{Index: applied, Snapshot: data} // has room: only this loop sends
		covered = applied
	}
}

func (v *Voter) applyEntry(entry *anvilraft.Entry, waiters map[anvilid.Index]*request) {
	var result any
	if entry.Kind == anvilraft.KindCommand {
		result = v.machine.Apply(*entry)
	}
	v.applied.Store(uint64(entry.Index))
	if r := waiters[entry.Index]; r != nil {
		r.finish(entry.Index, result, nil)
	}
}
