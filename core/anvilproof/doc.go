// Package anvilproof holds no code of its own. Its tests run the pure step
// packages of the control group together under random schedules with faults,
// and check the invariants that no package can hold by itself.
package anvilproof
