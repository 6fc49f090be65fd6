package anvilorder

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilwork"
)

// observeCheckpoint keeps the checkpoint that the target lists for a run, unless there is none or it couldn't
// be read.
func (r *run) observeCheckpoint(listed string) {
	if listed != "" {
		r.checkpoint = listed
	}
}

// recordCheckpoints adds a command that records the latest listed checkpoints of the runs of a target. It must
// be called before the runs are unassigned without the ends that the target lists, because only these ends have
// a checkpoint, and once the target doesn't answer, because the next leader doesn't know its former lists.
func (target *target) recordCheckpoints(effects *Effects) {
	var record anvilwork.RecordCheckpoints
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		r := target.runs[task]
		if r.checkpoint == r.recordedCheckpoint {
			continue
		}
		r.recordedCheckpoint = r.checkpoint
		record.Runs = append(record.Runs, anvilwork.RunCheckpoint{Task: task, Run: r.number, Checkpoint: r.checkpoint})
	}
	if len(record.Runs) > 0 {
		effects.Commands = append(effects.Commands, anvilwork.Command{RecordCheckpoints: &record})
	}
}
