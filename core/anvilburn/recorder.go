package anvilburn

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Bounds of a recorder.
const (
	// defaultKeys is the number of counts of one minute at one instance.
	defaultKeys = 512
	// defaultBatches covers an hour without a control group.
	defaultBatches = 60
)

// Event is one request that has ended.
type Event struct {
	Key
	// Limited tells that the service limits the waiting time, Beyond that the
	// request waited longer or never started.
	Limited, OverLimit bool
}

// Recorder counts at one instance. It isn't safe for concurrent use.
type Recorder struct {
	instance    anvilid.InstanceID
	incarnation anvilid.Incarnation
	keys        int
	batches     int

	minute  anvilclock.Millis
	open    map[Key]Count
	summed  uint64
	pending []*Batch
	last    uint64
	lost    uint64
	dropped uint64
}

// RecorderOption changes a new Recorder.
type RecorderOption func(*Recorder)

// WithMaxKeys bounds the counts of one minute.
func WithMaxKeys(keys int) RecorderOption { return func(r *Recorder) { r.keys = keys } }

// WithMaxPending bounds the batches that wait to be accepted.
func WithMaxPending(batches int) RecorderOption { return func(r *Recorder) { r.batches = batches } }

// NewRecorder returns the recorder of one run of an instance.
func NewRecorder(instance anvilid.InstanceID, incarnation anvilid.Incarnation, opts ...RecorderOption) *Recorder {
	r := &Recorder{
		instance: instance, incarnation: incarnation, keys: defaultKeys, batches: defaultBatches,
		open: map[Key]Count{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Add counts a request. The time is that of the wall clock.
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
	if _, known := r.open[key]; !known && len(r.open) >= r.keys {
		key.Account = OtherAccounts
		r.summed++
	}
	r.open[key] = r.open[key].plus(one)
}

// CloseMinute makes a batch of the open minute if that is over.
func (r *Recorder) CloseMinute(now anvilclock.Millis) {
	if floor(now, anvilclock.Minute) != r.minute {
		r.Flush()
	}
}

// Flush makes a batch of what was counted since the last one.
func (r *Recorder) Flush() {
	if len(r.open) == 0 {
		return
	}
	if len(r.pending) >= r.batches {
		oldest := r.pending[0]
		r.pending = slices.Delete(r.pending, 0, 1)
		r.lost += oldest.total() + oldest.Lost
		r.dropped += oldest.total()
	}
	r.last++
	batch := &Batch{
		Instance: r.instance, Incarnation: r.incarnation, Sequence: r.last, Minute: r.minute,
		Entries: sortedEntries(r.open), Lost: r.lost, Summed: r.summed,
	}
	r.pending = append(r.pending, batch)
	r.open, r.summed, r.lost = map[Key]Count{}, 0, 0
}

// NextBatch returns the oldest batch that was not accepted, or nil. The batch
// doesn't change, so that a resend equals the first one.
func (r *Recorder) NextBatch() *Batch {
	if len(r.pending) == 0 {
		return nil
	}
	return r.pending[0]
}

// Acknowledge forgets a batch that the History has.
func (r *Recorder) Acknowledge(sequence uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(batch *Batch) bool { return batch.Sequence == sequence })
}

// DroppedRequests returns the number of requests whose counts were dropped.
func (r *Recorder) DroppedRequests() uint64 { return r.dropped }

func sortedEntries(counts map[Key]Count) []Entry {
	entries := make([]Entry, 0, len(counts))
	for key, count := range counts {
		entries = append(entries, Entry{key, count})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(b.Key) })
	return entries
}
