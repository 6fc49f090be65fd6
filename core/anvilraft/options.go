package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

type options struct {
	minElectionTimeout  anvilclock.Millis
	maxElectionTimeout  anvilclock.Millis
	heartbeatInterval   anvilclock.Millis
	clockRateError      float64
	seed                uint64
	maxMessageBytes     anvilid.ByteCount
	maxEntryBytes       anvilid.ByteCount
	maxInflightBytes    anvilid.ByteCount
	maxInflightEntries  int
	maxUncommittedBytes anvilid.ByteCount
	trailingEntries     int
	trailingBytes       anvilid.ByteCount
	maxLearnerLag       int
	useLostStorages     bool
}

// defaultOptions returns the default settings. Its byte limits are sized for a link of
// 30 Mbit/s with a round trip of 16 ms. To use the full rate of such a link, 60 KB must be in
// flight (rate * round trip), or 100 KB if the member syncs for 10 ms before it acknowledges.
// A window of 128 KiB (maxInflightBytes) exceeds that. One window takes 35 ms to send, so a
// heartbeat queued behind the full windows of four members is still answered within the
// minimum election timeout.
func defaultOptions() options {
	return options{
		minElectionTimeout:  300,
		maxElectionTimeout:  600,
		heartbeatInterval:   75,
		clockRateError:      0.01,
		maxMessageBytes:     32 << 10,
		maxEntryBytes:       128 << 10,
		maxInflightBytes:    128 << 10,
		maxInflightEntries:  4096,
		maxUncommittedBytes: 16 << 20,
		trailingEntries:     1000,
		trailingBytes:       4 << 20,
		maxLearnerLag:       100,
	}
}

// Option changes one setting of a node.
type Option func(*options)

// WithElectionTimeout sets the range of the random election timeout. All voters must use
// the same minimum, because HasQuorum depends on it.
func WithElectionTimeout(minimum, maximum anvilclock.Millis) Option {
	return func(o *options) { o.minElectionTimeout, o.maxElectionTimeout = minimum, maximum }
}

// WithHeartbeat sets the interval at which a leader sends heartbeats to the other members.
func WithHeartbeat(interval anvilclock.Millis) Option {
	return func(o *options) { o.heartbeatInterval = interval }
}

// WithClockRateError sets the largest rate error of the clocks, as a fraction: 0.01 means
// that a clock runs at most 1% fast or slow.
func WithClockRateError(fraction float64) Option {
	return func(o *options) { o.clockRateError = fraction }
}

// WithSeed sets the seed of the random election timeouts. It is combined with the voter id,
// so that voters with equal seeds choose different timeouts.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithMessageBytes sets the size above which an append or a snapshot is split into several
// messages. A single entry larger than that is still sent in one message, see WithEntryBytes.
func WithMessageBytes(size anvilid.ByteCount) Option {
	return func(o *options) { o.maxMessageBytes = size }
}

// WithEntryBytes sets the size above which a single entry is sent in several messages. They
// have WithMessageBytes each.
func WithEntryBytes(size anvilid.ByteCount) Option {
	return func(o *options) { o.maxEntryBytes = size }
}

// WithMaxInflight limits the bytes and entries that may be sent to one member before it
// acknowledges them. The last message may exceed the byte limit by one entry.
func WithMaxInflight(size anvilid.ByteCount, entries int) Option {
	return func(o *options) { o.maxInflightBytes, o.maxInflightEntries = size, entries }
}

// WithUncommittedBytes limits the total size of the entries that are not yet committed.
// A proposal that would exceed it is rejected with ErrBackPressure, unless no entry is
// uncommitted.
func WithUncommittedBytes(size anvilid.ByteCount) Option {
	return func(o *options) { o.maxUncommittedBytes = size }
}

// WithTrailingEntries sets how many of the entries that the latest snapshot covers stay in
// memory, so that a member that lags only slightly does not need the snapshot.
func WithTrailingEntries(entries int) Option { return func(o *options) { o.trailingEntries = entries } }

// WithTrailingBytes limits the total size of those entries.
func WithTrailingBytes(size anvilid.ByteCount) Option {
	return func(o *options) { o.trailingBytes = size }
}

// WithMaxLearnerLag sets how many entries a member may lack when it is made a voter, even if they are not on their way to it
// (HasCaughtUp).
func WithMaxLearnerLag(entries int) Option { return func(o *options) { o.maxLearnerLag = entries } }

// WithLostStorages makes a lost storage reduce the quorum of an even number of voters (StorageLost). All voters of a group
// must use it. The driver must report losses then: while a change of an even number of voters isn't known to be committed,
// it takes quorums of both lists, and a voter that is lost at that moment may otherwise be missing for good.
func WithLostStorages() Option { return func(o *options) { o.useLostStorages = true } }
