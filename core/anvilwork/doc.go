// Package anvilwork holds the replicated state of jobs that consist of many tasks: the
// configuration of queues and accounts, the jobs, the targets, and the assignment of task
// runs to targets.
//
// State is changed only by Apply, which is deterministic: every voter applies the same
// batches in the order of the replicated log. The package performs no I/O and reads no
// clock; the leader stamps each batch with its time.
package anvilwork
