// Package anvilorder decides what the leader tells the targets: which runs to
// start and stop, when to look at a target, until when its lease may reach,
// and what the answers mean for the replicated state.
//
// A Tracker is pure: it is given the time and what happened, and returns
// orders to send and commands to commit. It belongs to one goroutine and lives
// as long as one term of the leader. What it believes is rebuilt from the
// replicated state and from the lists of the targets after a change of leader.
package anvilorder
