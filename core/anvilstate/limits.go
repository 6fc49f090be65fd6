package anvilstate

import (
	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Limits bounds what the state machine stores. All replicas must use the same limits,
// because the results of commands depend on them.
type Limits struct {
	// ChangeIDs and ChangeAge bound the number and the retention period of the change ids
	// that are remembered to recognize resends.
	ChangeIDs int
	ChangeAge anvilclock.Millis
	// History bounds the number of published changes that are listed.
	History int
	// Claims and ClaimAge bound the number and the retention period of the ids of
	// non-repeatable requests.
	Claims   int
	ClaimAge anvilclock.Millis
	// AbandonedAttempts bounds the abandoned attempts that are stored per request.
	AbandonedAttempts int
	// Body bounds the size of one recorded answer body, Bodies the sum of all.
	Body   anvilid.ByteCount
	Bodies anvilid.ByteCount
	// LiveJobs bounds the number of jobs that have not ended. EndedJobs and EndedAge bound
	// the number and the retention period of those that have.
	LiveJobs  int
	EndedJobs int
	EndedAge  anvilclock.Millis
	// Payload bounds the size of one job's payload, Payloads the sum of all.
	Payload  anvilid.ByteCount
	Payloads anvilid.ByteCount
	// Deltas bounds the number of changes that are kept to compute deltas.
	Deltas int
	// Burn bounds the counts of requests and jobs that are stored for the service-level objectives.
	Burn anvilburn.Limits
}

// DefaultLimits returns the limits that docs/design.md states. Limits that it does not
// mention are defined here.
func DefaultLimits() Limits {
	return Limits{
		ChangeIDs:         10_000,
		ChangeAge:         24 * anvilclock.Hour,
		History:           1000,
		Claims:            200_000,
		ClaimAge:          anvilclock.Hour,
		AbandonedAttempts: 64,
		Body:              16 << 10,
		Bodies:            64 << 20,
		LiveJobs:          50_000, // two days of jobs at the size that the system is designed for
		EndedJobs:         10_000,
		EndedAge:          anvilclock.Hour,
		Payload:           64 << 10,
		Payloads:          64 << 20,
		// Several instances with a thousand targets each may fail at once without any
		// instance having to receive the full state.
		Deltas: 16_384,
		Burn:   anvilburn.DefaultLimits(),
	}
}

// Maximum lengths, in bytes, of single strings that come from callers and targets.
const (
	maxRequestID   = 128
	maxName        = 64
	maxDigest      = 64 // SHA-512
	maxContentType = 256
	maxDetail      = 1024
)

// Option configures a new state machine.
type Option func(*Machine)

// WithLimits replaces the default limits. It is intended for tests.
func WithLimits(limits Limits) Option {
	return func(m *Machine) { m.limits = limits }
}
