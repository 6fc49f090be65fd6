// Package anvilwork implements the replicated state of jobs that consist of many tasks: the
// configuration of queues and accounts, the jobs, the targets, and the assignment of task
// runs to targets.
//
// A job has one or more steps, and a step is a set of identical tasks. If a step is a gang,
// its tasks run simultaneously. One execution of all steps of a job is an occurrence; a
// repeated job has several. Each start of a task on a target is a run with a number of its
// own.
//
// State is changed only by Apply, which is deterministic: every voter of the replicated log
// applies the same batches in the same order. The package performs no I/O and reads no
// clock; the leader stamps each batch with its time.
package anvilwork
