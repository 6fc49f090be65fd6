package anvilstate

import (
	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Limits bounds what the state machine keeps. All replicas must use the same
// limits, because they decide the results of commands.
type Limits struct {
	// ChangeIDs and ChangeAge bound the change ids that are recognised.
	ChangeIDs int
	ChangeAge anvilclock.Millis
	// History bounds the published changes that are listed.
	History int
	// Claims and ClaimAge bound the ids of requests that may not be repeated.
	Claims   int
	ClaimAge anvilclock.Millis
	// AbandonedAttempts bounds the abandoned attempts of one request.
	AbandonedAttempts int
	// Body bounds the recorded body of one answer, Bodies their sum.
	Body   anvilid.ByteCount
	Bodies anvilid.ByteCount
	// LiveJobs bounds jobs that haven't ended, EndedJobs and EndedAge those
	// that have.
	LiveJobs  int
	EndedJobs int
	EndedAge  anvilclock.Millis
	// Payload bounds the payload of one job, Payloads their sum.
	Payload  anvilid.ByteCount
	Payloads anvilid.ByteCount
	// Deltas bounds the changes kept for deltas.
	Deltas int
	// Burn bounds the history of service-level objectives.
	Burn anvilburn.Limits
}

// DefaultLimits are the limits of docs/design.md, where it states them.
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
		LiveJobs:          50_000, // two days of jobs at design scale
		EndedJobs:         10_000,
		EndedAge:          anvilclock.Hour,
		Payload:           64 << 10,
		Payloads:          64 << 20,
		// Several instances with a thousand targets each may fail at once
		// before an instance has to receive the whole view.
		Deltas: 16_384,
		Burn:   anvilburn.DefaultLimits(),
	}
}

// Bounds of single texts, which come from callers and targets.
const (
	maxRequestID   = 128
	maxName        = 64
	maxDigest      = 64 // SHA-512
	maxContentType = 256
	maxDetail      = 1024
)

// Option changes a new state machine.
type Option func(*Machine)

// WithLimits replaces the default limits. It is meant for tests.
func WithLimits(limits Limits) Option {
	return func(m *Machine) { m.limits = limits }
}
