// Package anvilproof contains only tests. They run the state machine packages of the
// control group (log, leases, replicated state, views) together under random schedules with
// faults, and check the invariants that no single package can guarantee.
package anvilproof
