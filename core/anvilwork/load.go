package anvilwork

import (
	"anvilshunt/core/anvilid"
)

// Occupies returns the resources that a task of the step occupies. Best-effort tasks run on processors
// that other tasks leave idle, so they occupy no processor time of their own.
func (s *Step) Occupies() Resources {
	if s.BestEffort {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// NeedOf returns the resources that a run of a task occupies, or none if its job is unknown.
func (s *State) NeedOf(task Task) Resources {
	job, ok := s.jobs[task.Job]
	if !ok {
		return Resources{}
	}
	return job.Spec.Steps[task.Step].Occupies()
}

// Load returns the resources that all runs assigned to a target occupy together.
func (s *State) Load(id anvilid.TargetID) Resources {
	var load Resources
	for task := range s.runs[id] {
		load = load.Plus(s.NeedOf(task))
	}
	return load
}
