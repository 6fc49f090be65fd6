// Package anviladmit decides when an instance that holds no state sends the calls of callers to
// the leader, and in which order. It answers two loads:
//
//   - No leader answers, and calls pile up. If each of them searched for the leader on its own, the
//     voters would be busy with these searches when they come back and elect one.
//   - A leader answers again, and all calls that were held are sent at once.
//
// It keeps no clock and no goroutines, and is not safe for concurrent use.
package anviladmit
