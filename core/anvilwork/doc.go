// Package anvilwork is the replicated state of jobs with many tasks: the
// configuration of queues and accounts, the jobs, the targets and which run of
// which task was given to which target.
//
// State is changed only by Apply, which is deterministic: every voter applies
// the same batches in the order of the replicated log. It performs no I/O and
// reads no clock; the time of a batch is stamped by the leader.
package anvilwork
