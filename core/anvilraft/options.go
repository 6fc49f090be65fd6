package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

type options struct {
	electionMin     anvilclock.Millis
	electionMax     anvilclock.Millis
	heartbeat       anvilclock.Millis
	clockError      float64
	seed            uint64
	messageBytes    anvilid.ByteCount
	inflightBytes   anvilid.ByteCount
	inflightEntries int
	uncommitted     anvilid.ByteCount
	trailing        int
	catchUp         int
}

// The byte limits suit a link of 30 Mbit/s with a round trip of 16 ms. Such a
// link holds 60 KB in flight, or 100 KB with a sync of 10 ms before the
// acknowledgement, so 128 KiB keep it busy. They take 35 ms to send, so a
// heartbeat behind the full windows of four members is still answered within
// the minimum election timeout.
func defaults() options {
	return options{
		electionMin:     300,
		electionMax:     600,
		heartbeat:       75,
		clockError:      0.01,
		messageBytes:    32 << 10,
		inflightBytes:   128 << 10,
		inflightEntries: 4096,
		uncommitted:     16 << 20,
		trailing:        1000,
		catchUp:         100,
	}
}

// Option changes a setting of a node.
type Option func(*options)

// WithElectionTimeout sets the range of the random election timeout. All
// voters must use the same minimum, because HasQuorum depends on it.
func WithElectionTimeout(minimum, maximum anvilclock.Millis) Option {
	return func(o *options) { o.electionMin, o.electionMax = minimum, maximum }
}

// WithHeartbeat sets the interval at which a leader sends heartbeats.
func WithHeartbeat(interval anvilclock.Millis) Option {
	return func(o *options) { o.heartbeat = interval }
}

// WithClockError sets the bound on the clock rate error, as a fraction.
func WithClockError(fraction float64) Option {
	return func(o *options) { o.clockError = fraction }
}

// WithSeed sets the seed of the random election timeouts. It is combined with
// the voter id, so that voters with equal seeds choose different timeouts.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithMessageBytes sets the size at which an append or a snapshot chunk is
// split. A single larger entry is still sent whole.
func WithMessageBytes(size anvilid.ByteCount) Option {
	return func(o *options) { o.messageBytes = size }
}

// WithInflight bounds what may be sent to one member without an
// acknowledgement. The last message may exceed the bound in bytes by one entry.
func WithInflight(size anvilid.ByteCount, entries int) Option {
	return func(o *options) { o.inflightBytes, o.inflightEntries = size, entries }
}

// WithUncommittedBytes bounds the entries that wait to be committed. Beyond
// it, proposals are rejected with ErrBackPressure, except when nothing waits.
func WithUncommittedBytes(size anvilid.ByteCount) Option {
	return func(o *options) { o.uncommitted = size }
}

// WithTrailingEntries sets how many compacted entries stay in memory, so that a
// member that lags a little does not need a snapshot.
func WithTrailingEntries(entries int) Option { return func(o *options) { o.trailing = entries } }

// WithCatchUp sets how many entries a learner may lack when it becomes a voter.
func WithCatchUp(entries int) Option { return func(o *options) { o.catchUp = entries } }
