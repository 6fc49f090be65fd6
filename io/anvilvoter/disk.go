package anvilvoter

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"
)

// slowWriteInterval is the shortest time between two lines about slow writes.
const slowWriteInterval = anvilclock.Second

// maxSavesPerSync is the maximum number of anvilraft.Saves (changes of the persistent
// state) that share one disk sync.
const maxSavesPerSync = 256

const (
	// copyGap is the time without a further save after which the copy of the log for a new data directory is taken
	// to be complete, and copyWait bounds the wait for that. A save that comes later waits for a second sync, which takes
	// a second on a slow disk, and several of them if it is a snapshot.
	copyGap  = 30 * time.Millisecond
	copyWait = 250 * time.Millisecond
)

// diskLoop writes the queued anvilraft.Saves to the data directory and reports them
// to the step loop as persisted. Up to maxSavesPerSync of them share one disk sync.
func (v *Voter) diskLoop(ctx context.Context, storage *anvildisk.Storage) error {
	slow := slowWrites{log: v.log, limit: v.slowWriteLimit}
	batch := make([]anvilraft.Save, 0, maxSavesPerSync)
	var snapshot *anvilraft.Save // begins the next batch, so that the saves before it are reported without its syncs
	for {
		if snapshot != nil {
			batch, snapshot = append(batch[:0], *snapshot), nil
		} else {
			select {
			case <-ctx.Done():
				return nil
			case save := <-v.saves:
				batch = append(batch[:0], save)
			}
		}
		if !storage.Created() {
			batch = v.gatherCopy(ctx, batch)
		}
		for more := true; more && len(batch) < maxSavesPerSync; {
			select {
			case save := <-v.saves:
				if save.Snapshot != nil {
					snapshot, more = &save, false
				} else {
					batch = append(batch, save)
				}
			default:
				more = false
			}
		}
		began := v.clock.Now()
		v.syncs.begin(began)
		if err := storage.Save(batch...); err != nil {
			return err
		}
		ended := v.clock.Now()
		v.syncs.end(ended)
		slow.add(ended, began)
		reportPersisted(v.persisted, batch[len(batch)-1].Sequence)
		clear(batch) // releases the memory of the entries
	}
}

// syncTimes has the time of the longest write. Only the disk loop changes it.
type syncTimes struct {
	began   atomic.Int64 // when the write in progress began, or 0 if there is none
	longest atomic.Int64
}

func (s *syncTimes) begin(now anvilclock.Millis) { s.began.Store(int64(now)) }

func (s *syncTimes) end(now anvilclock.Millis) {
	s.longest.Store(max(s.longest.Load(), int64(now)-s.began.Swap(0)))
}

// longestAt returns the time of the longest write, which may be the one in progress.
func (s *syncTimes) longestAt(now anvilclock.Millis) anvilclock.Millis {
	longest, began := s.longest.Load(), s.began.Load()
	if began == 0 {
		return anvilclock.Millis(longest)
	}
	return anvilclock.Millis(max(longest, int64(now)-began))
}

// gatherCopy adds the saves that follow the first one of a new data directory. The parts of a snapshot come without saves, so that
// a first save without content says nothing about the time until the next one.
func (v *Voter) gatherCopy(ctx context.Context, batch []anvilraft.Save) []anvilraft.Save {
	bound := time.NewTimer(copyWait)
	defer bound.Stop()
	var gap <-chan time.Time
	for len(batch) < maxSavesPerSync {
		if last := batch[len(batch)-1]; last.Snapshot != nil || len(last.Entries) > 0 {
			gap = time.After(copyGap)
		}
		select {
		case <-ctx.Done():
			return batch
		case <-bound.C:
			return batch
		case <-gap:
			return batch
		case save := <-v.saves:
			batch = append(batch, save)
		}
	}
	return batch
}

// slowWrites logs writes that take longer than a limit.
type slowWrites struct {
	log   *anvillogs.Logger
	limit anvilclock.Millis
	// longest is the longest slow write since the latest line.
	longest anvilclock.Millis
	lines   anvillogs.Spacing
}

// add records a write that is over, and writes a line if there were slow ones and a line is due.
func (s *slowWrites) add(now, began anvilclock.Millis) {
	if took := now - began; took > s.limit {
		s.longest = max(s.longest, took)
		s.lines.Add()
	}
	writes := s.lines.Due(now, slowWriteInterval)
	if writes == 0 {
		return
	}
	s.log.Write(anvillogs.DiskSlow, zap.Int64("took", int64(s.longest)), zap.Int64("limit", int64(s.limit)), zap.Int("writes", writes))
	s.longest = 0
}

// reportPersisted reports the latest persisted sequence number to the step loop.
// It replaces a report that has not been read yet, because a sequence number
// includes all earlier ones. So the disk loop never waits for the step loop.
func reportPersisted(persisted chan uint64, sequence uint64) {
	select {
	case <-persisted:
	default:
	}
	persisted <- sequence
}
