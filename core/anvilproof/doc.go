// Package anvilproof contains only tests. They simulate several instances, and run the state
// machine packages of the control group (log, leases, replicated state, views) together under
// random schedules with faults. They check the invariants that no single package can
// guarantee.
package anvilproof
