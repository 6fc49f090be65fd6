// Package anvilraft implements one node of a replicated log. It follows the Raft algorithm
// with pre-vote, leader stickiness, a quorum check by the leader, membership changes of one voter
// or, with quorums of both lists, of several, learners and chunked snapshots.
//
// A Node is a pure state machine: Step takes the current time and one event and returns
// effects. It performs no I/O, starts no goroutine and reads no clock. The driver writes to
// disk, sends and applies what the effects list.
//
// Contract of the driver:
//
//   - Calls on one Node are not concurrent.
//   - The time passed to Step is a monotonic clock of the process, read after
//     the event arrived. Its rate error is within WithClockRateError.
//   - Saves are synced to disk in order. The driver passes Persisted to Step
//     only after the sync.
//   - The driver passes Tick to Step at least every 25 ms or so; timeouts fire
//     late by as much as the interval.
//   - Effects share memory with the node and must not be modified.
//
// Followers learn of a commit from the leader's next message, at the latest from the next
// heartbeat. The leader's own Effects report the commit first.
package anvilraft
