// Package anvillead is what a voter does besides keeping the log: while it
// leads, it plans, gives the orders to the targets, and answers callers,
// operators and targets. While it doesn't lead, it names the leader.
//
// One goroutine per term owns the Tracker and decides. Calls to targets run
// in goroutines of their own and report back through a bounded channel.
package anvillead
