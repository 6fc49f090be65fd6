// Package anvilconn divides the file descriptors of a process among its connections by purpose. A process
// that reaches its limit can neither accept calls nor make any, so each purpose has a limit of its own, and
// the limits together stay below that of the process.
package anvilconn

const (
	// reservedDescriptors are left to files, to the connections between voters, and to calls of other
	// services.
	reservedDescriptors = 300
	// minDivided is the number of descriptors that is divided at least. It suffices for a small system,
	// and applies if the limit of the process isn't known.
	minDivided = 600
)

// Budget is the number of connections of a leader for each purpose.
type Budget struct {
	// Inbound limits the connections that callers, targets and operators have opened to this process, and Internal
	// those of other instances. They are separate, so that thousands of targets don't displace the connections of the
	// replicated log.
	Inbound, Internal int
	// Polls, Stops, UrgentStarts and Starts limit the calls to targets that are in flight. Each call
	// occupies one connection.
	Polls, Stops, UrgentStarts, Starts int
	// Idle limits the connections to targets that are kept open without a call.
	Idle int
}

// Divide returns the budget for a process that may open limit descriptors, or minDivided descriptors if
// the limit is unknown (0).
func Divide(limit int) Budget {
	total := max(limit-reservedDescriptors, minDivided)
	share := func(percent int) int { return total * percent / 100 }
	return Budget{
		Inbound: share(30), Internal: share(16),
		// A poll occupies its connection nearly all the time, an order only for one round trip.
		Polls: share(27), Stops: share(3), UrgentStarts: share(3), Starts: share(4),
		// Most orders find an open connection if one can be kept for nearly each target.
		Idle: share(17),
	}
}

// Sum returns the largest number of connections that may be open at the same time.
func (b Budget) Sum() int {
	return b.Inbound + b.Internal + b.Polls + b.Stops + b.UrgentStarts + b.Starts + b.Idle
}
