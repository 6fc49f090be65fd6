// Package anvilplace decides which waiting tasks start on which targets, and which runs have to be
// evicted (stopped before they end by themselves) to free resources for them. A run is one execution
// of a task; a task that fails or is evicted may get another run.
//
// Plan is a pure function of the replicated state and of what the leader knows about the targets.
// The leader calls it after each change. Its decisions take effect only once they are committed to
// the replicated log.
//
// Urgent jobs (priority 0) are placed first, and among them those within the guarantee of their
// client account. They may evict runs of other jobs. While such a job waits for resources to become
// free, the targets are claimed for it: other jobs may not use them. All jobs that aren't urgent are
// ordered by deadline. If one of them is a gang that fits nowhere, targets are claimed for it until it
// fits; urgent jobs may still use those. All tasks of a gang are placed at once, and in one rack if
// the step prefers that. Single tasks go to targets that are already in use, so that empty targets
// remain for gangs.
//
// Targets are kept from steps as a precaution: they are reserved for urgent jobs, claimed for others, or
// slow. While a service isn't busy, a job of which nothing is at work waits for a bounded time because of that, see
// placeOverdue.
package anvilplace
