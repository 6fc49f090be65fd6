package anvilvoter

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"
)

// groupSize bounds the Saves that share one sync.
const groupSize = 256

// diskLoop writes Saves and reports them as persisted. All Saves that are
// waiting share one sync.
func (v *Voter) diskLoop(ctx context.Context, storage *anvildisk.Storage) error {
	group := make([]anvilraft.Save, 0, groupSize)
	for {
		select {
		case <-ctx.Done():
			return nil
		case save := <-v.saves:
			group = append(group[:0], save)
		}
		for more := true; more && len(group) < groupSize; {
			select {
			case save := <-v.saves:
				group = append(group, save)
			default:
				more = false
			}
		}
		began := v.clock.Now()
		if err := storage.Save(group...); err != nil {
			return err
		}
		if took := v.clock.Now() - began; took > v.slowSave {
			v.log.Write(anvillogs.DiskSlow, zap.Int64("took", int64(took)), zap.Int64("limit", int64(v.slowSave)))
		}
		reportPersisted(v.persisted, group[len(group)-1].Sequence)
		clear(group) // frees the entries
	}
}

// reportPersisted replaces a report that hasn't been read yet. A sequence
// number covers all earlier ones, so the disk loop never waits for the step
// loop.
func reportPersisted(persisted chan uint64, sequence uint64) {
	select {
	case <-persisted:
	default:
	}
	persisted <- sequence
}
