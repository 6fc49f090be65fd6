// Package anvillead implements the scheduler that runs on the elected leader
// of the replicated log. The leader plans placements, sends start and stop
// orders to the targets, and serves requests of callers, operators and targets.
// A voter that is not the leader redirects these requests to the leader.
//
// A job consists of steps, and a step of identical tasks. If the step is a gang,
// its tasks run simultaneously, all of them or none. A run is one execution of a
// task on a target. Jobs and the placements of their runs belong to the replicated
// state (package anvilwork).
//
// One goroutine per term owns the anvilorder.Tracker and makes all decisions.
// Calls to targets run in goroutines of their own and return their results to
// that goroutine through a bounded channel.
package anvillead
