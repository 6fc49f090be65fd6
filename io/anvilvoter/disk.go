package anvilvoter

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"
)

// maxSavesPerSync is the maximum number of anvilraft.Saves (changes of the persistent
// state) that share one disk sync.
const maxSavesPerSync = 256

// diskLoop writes the queued anvilraft.Saves to the data directory and reports them
// to the step loop as persisted. Up to maxSavesPerSync of them share one disk sync.
func (v *Voter) diskLoop(ctx context.Context, storage *anvildisk.Storage) error {
	batch := make([]anvilraft.Save, 0, maxSavesPerSync)
	for {
		select {
		case <-ctx.Done():
			return nil
		case save := <-v.saves:
			batch = append(batch[:0], save)
		}
		for more := true; more && len(batch) < maxSavesPerSync; {
			select {
			case save := <-v.saves:
				batch = append(batch, save)
			default:
				more = false
			}
		}
		began := v.clock.Now()
		if err := storage.Save(batch...); err != nil {
			return err
		}
		if took := v.clock.Now() - began; took > v.slowWriteLimit {
			v.log.Write(anvillogs.DiskSlow, zap.Int64("took", int64(took)), zap.Int64("limit", int64(v.slowWriteLimit)))
		}
		reportPersisted(v.persisted, batch[len(batch)-1].Sequence)
		clear(batch) // releases the memory of the entries
	}
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
