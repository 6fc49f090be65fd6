// Package anvilorder decides which orders the leader sends to the targets: which runs to
// start and stop, when to poll a target, and until when its lease may last. It also decides
// which changes to the replicated state follow from the answers.
//
// A Tracker is pure: it is given the time and what happened, and returns orders to send and
// commands to commit. It must be used by one goroutine at a time, and lives as long as one
// term of the leader. After a change of leader, the new Tracker is built from the
// replicated state and from the lists of runs that the targets report.
package anvilorder
