// Package anvilraft is a node of a replicated log, following the Raft
// algorithm with pre-vote, leader stickiness, a quorum check by the leader,
// single-step membership change, learners and chunked snapshots.
//
// A Node is a pure state machine: Step takes the current time and one event
// and returns effects. It performs no I/O, starts no goroutine and reads no
// clock. The driver saves, sends and applies what the effects list.
//
// Contract of the driver:
//
//   - Calls on one Node are not concurrent.
//   - The time passed to Step is a monotonic clock of the process, read after
//     the event arrived. Its rate error is within WithClockError.
//   - Saves are synced in order; Persisted is stepped only after the sync.
//   - Tick is stepped at least every 25 ms or so; timeouts are late by as much.
//   - Effects share memory with the node and are not modified.
//
// Followers learn of a commit with the leader's next message, at the latest
// with the next heartbeat. The leader's Effects show it first.
package anvilraft
