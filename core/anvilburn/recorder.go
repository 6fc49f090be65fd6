package anvilburn

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Default limits of a recorder.
const (
	// defaultMaxKeys is the default limit on the distinct keys of one minute at one instance. Once it
	// is reached, events with new keys are counted under OtherAccounts.
	defaultMaxKeys = 512
	// defaultMaxPending is the default limit on batches that wait to be acknowledged. With one batch
	// per minute, it covers one hour without a reachable control group (the instances that replicate
	// the History).
	defaultMaxPending = 60
)

// Event is a request, or the start of a long job, that is to be counted.
type Event struct {
	Key
	// Limited is set if the service limits the waiting time, and OverLimit if the request waited
	// longer or never started.
	Limited, OverLimit bool
}

// Recorder counts the requests at one instance. It isn't safe for concurrent use.
type Recorder struct {
	instance    anvilid.InstanceID
	incarnation anvilid.Incarnation
	maxKeys     int
	maxPending  int

	minute       anvilclock.Millis
	counts       map[Key]Count
	summed       uint64
	pending      []*Batch
	lastSequence uint64
	lost         uint64
	dropped      uint64
}

// RecorderOption configures a new Recorder.
type RecorderOption func(*Recorder)

// WithMaxKeys sets the limit on the distinct keys that the recorder counts in one minute. Events with
// further keys are counted under OtherAccounts.
func WithMaxKeys(keys int) RecorderOption { return func(r *Recorder) { r.maxKeys = keys } }

// WithMaxPending sets the maximum number of batches that wait to be acknowledged.
func WithMaxPending(batches int) RecorderOption { return func(r *Recorder) { r.maxPending = batches } }

// NewRecorder returns the recorder for one run of an instance.
func NewRecorder(instance anvilid.InstanceID, incarnation anvilid.Incarnation, opts ...RecorderOption) *Recorder {
	r := &Recorder{
		instance: instance, incarnation: incarnation, maxKeys: defaultMaxKeys, maxPending: defaultMaxPending,
		counts: map[Key]Count{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Add counts a request. now is wall clock time.
func (r *Recorder) Add(now anvilclock.Millis, event Event) {
	r.CloseMinute(now)
	r.minute = floor(now, anvilclock.Minute)
	one := Count{Total: 1}
	if event.Limited {
		one.Limited = 1
	}
	if event.Limited && event.OverLimit {
		one.OverLimit = 1
	}
	key := event.Key
	if _, known := r.counts[key]; !known && len(r.counts) >= r.maxKeys {
		key.Account = OtherAccounts
		r.summed++
	}
	r.counts[key] = r.counts[key].add(one)
}

// CloseMinute puts the counts of the current minute into a batch if the minute is over.
func (r *Recorder) CloseMinute(now anvilclock.Millis) {
	if floor(now, anvilclock.Minute) != r.minute {
		r.Flush()
	}
}

// Flush puts the counts since the previous batch into a new batch. If too many batches wait to be
// acknowledged, the oldest one is dropped.
func (r *Recorder) Flush() {
	if len(r.counts) == 0 {
		return
	}
	if len(r.pending) >= r.maxPending {
		oldest := r.pending[0]
		r.pending = slices.Delete(r.pending, 0, 1)
		r.lost += oldest.total() + oldest.Lost
		r.dropped += oldest.total()
	}
	r.lastSequence++
	batch := &Batch{
		Instance: r.instance, Incarnation: r.incarnation, Sequence: r.lastSequence, Minute: r.minute,
		Entries: sortedEntries(r.counts), Lost: r.lost, Summed: r.summed,
	}
	r.pending = append(r.pending, batch)
	r.counts, r.summed, r.lost = map[Key]Count{}, 0, 0
}

// NextBatch returns the oldest pending batch (one that isn't acknowledged yet), or nil. A pending
// batch never changes, so it is identical if it is sent again.
func (r *Recorder) NextBatch() *Batch {
	if len(r.pending) == 0 {
		return nil
	}
	return r.pending[0]
}

// Acknowledge removes a pending batch after the History has recorded it.
func (r *Recorder) Acknowledge(sequence uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(batch *Batch) bool { return batch.Sequence == sequence })
}

// DroppedRequests returns the number of requests whose counts were dropped because too many batches
// were waiting to be acknowledged.
func (r *Recorder) DroppedRequests() uint64 { return r.dropped }

func sortedEntries(counts map[Key]Count) []Entry {
	entries := make([]Entry, 0, len(counts))
	for key, count := range counts {
		entries = append(entries, Entry{key, count})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(b.Key) })
	return entries
}
