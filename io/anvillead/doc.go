// Package anvillead implements the scheduler that runs on the elected leader
// of the replicated log. The leader plans placements, sends start and stop
// orders to the targets, and serves requests of callers, operators and targets.
// A voter that is not the leader redirects these requests to the leader.
//
// One goroutine per term owns the anvilorder.Tracker and makes all decisions.
// Calls to targets run in goroutines of their own and return their results to
// that goroutine through a bounded channel.
package anvillead
