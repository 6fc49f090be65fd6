package anvilwork

import "fmt"

// String returns the task and the run, without the checkpoint.
func (c RunCheckpoint) String() string { return fmt.Sprintf("%v:%d", c.Task, c.Run) }

// recordCheckpoints stores the checkpoints of runs that are still assigned. The end of a run comes with its
// last checkpoint, so a member of a gang doesn't replace the one of a member that has ended.
func (s *State) recordCheckpoints(batch RecordCheckpoints) Result {
	result := Unchanged
	for _, saved := range batch.Runs {
		job, state := s.assignedTask(saved.Task, saved.Run)
		if job == nil || saved.Checkpoint == "" || state.CheckpointRun == saved.Run {
			continue
		}
		storeCheckpoint(job, saved, 0)
		result = Applied
	}
	return result
}

// storeCheckpoint stores a checkpoint of a run, and endedRun if the end of that run came with it, else 0. The
// checkpoint of one gang member is valid for all members of the run.
func storeCheckpoint(job *Job, saved RunCheckpoint, endedRun Run) {
	tasks := job.Occurrences[saved.Task.Occurrence].Tasks[saved.Task.Step]
	gang := job.Spec.Steps[saved.Task.Step].Gang
	for i := range tasks {
		if i == saved.Task.Index || gang && tasks[i].Run == saved.Run {
			tasks[i].Checkpoint, tasks[i].CheckpointRun = saved.Checkpoint, endedRun
		}
	}
}
