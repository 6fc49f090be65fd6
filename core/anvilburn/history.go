package anvilburn

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Limits on the age of counts in a History.
const (
	// MinuteRetention is how long a History stores the buckets of one minute.
	MinuteRetention = 6 * anvilclock.Hour
	// HourRetention is how long a History stores the buckets of one hour.
	HourRetention = 30 * 24 * anvilclock.Hour
	// maxClockAhead is how far the clock of an instance may be ahead of the clock of the leader.
	maxClockAhead = 5 * anvilclock.Minute
)

// ErrBatch is returned for a batch that the History refuses.
var ErrBatch = errors.New("batch of counts refused")

// Limits limit the size of a History. All replicas must use the same limits.
type Limits struct {
	// Minute and Hour limit the number of distinct keys in the bucket of one minute and of one hour.
	// The events of further accounts are counted under OtherAccounts. Events whose key doesn't fit
	// even then are not counted, but added to Skipped.Full.
	Minute int `json:"minute"`
	Hour   int `json:"hour"`
	// Streams is the maximum number of streams (runs of instances) whose batches are tracked to
	// detect resends.
	Streams int `json:"streams"`
	// Ranges is the maximum number of separate ranges of received sequence numbers that are stored
	// for one stream.
	Ranges int `json:"ranges"`
}

// DefaultLimits returns limits that keep a full History at about 200,000 counts (one per bucket and
// key). At the scale that the project is designed for, instances start 2,220 times a day. Each start
// begins a stream, and a stream is stored for MinuteRetention, so about 555 streams exist at a time.
func DefaultLimits() Limits { return Limits{Minute: 64, Hour: 256, Streams: 4096, Ranges: 64} }

// Skipped counts events and batches that a History could not record in full.
type Skipped struct {
	// Summed is the number of requests counted under OtherAccounts, at an instance or in the
	// History.
	Summed uint64 `cbor:"1,keyasint,omitempty" json:"summed"`
	// Full is the number of requests that were not counted because the limits were reached.
	Full uint64 `cbor:"2,keyasint,omitempty" json:"full"`
	// Lost is the number of requests whose counts instances dropped before they could send them.
	Lost uint64 `cbor:"3,keyasint,omitempty" json:"lost"`
	// Refused is the number of batches that were refused because they were malformed, too old or
	// ahead of the leader's clock, or because Limits.Streams was reached.
	Refused uint64 `cbor:"4,keyasint,omitempty" json:"refused"`
	// Damaged is the number of buckets (each of one minute or one hour) that could not be decoded.
	Damaged uint64 `cbor:"5,keyasint,omitempty" json:"damaged"`
}

// stream identifies a run of an instance, which sends a stream of numbered batches.
type stream struct {
	Instance    anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
}

// streamState is the state that a History stores for a stream in order to detect resent batches.
type streamState struct {
	// latest is the latest of two kinds of times: the arrival times of the stream's batches, and the
	// minutes that these batches cover (at most maxClockAhead after the arrival).
	latest anvilclock.Millis
	// ranges contains the sequence numbers of the batches that have arrived.
	ranges sequenceSet
}

// bucket contains the counts of one minute or of one hour.
type bucket struct {
	counts map[Key]Count
	// shared is set once a Capture refers to the bucket. The bucket is then copied before its next
	// change.
	shared bool
}

// History sums up the batches of all instances.
type History struct {
	limits  Limits
	minutes map[anvilclock.Millis]*bucket
	hours   map[anvilclock.Millis]*bucket
	streams map[stream]*streamState
	skipped Skipped
	// pruned is the start of the minute in which old counts were last removed.
	pruned anvilclock.Millis
}

// NewHistory returns an empty History.
func NewHistory(limits Limits) *History {
	return &History{
		limits: limits, minutes: map[anvilclock.Millis]*bucket{}, hours: map[anvilclock.Millis]*bucket{},
		streams: map[stream]*streamState{},
	}
}

// Skipped returns the counters of events and batches that could not be recorded in full.
func (h *History) Skipped() Skipped { return h.skipped }

// Add adds the counts of a batch unless the History already contains the batch. now is the time of
// the replicated log entry that contains the batch.
//
// A batch older than MinuteRetention is refused. The state of its stream, by which a resent batch is
// detected, is stored for at least that long, so no batch is counted twice.
func (h *History) Add(now anvilclock.Millis, batch *Batch) error {
	h.prune(now)
	known, err := h.stream(batch)
	if err != nil {
		h.skipped.Refused++
		return err
	}
	if !known.ranges.add(batch.Sequence, h.limits.Ranges) {
		return nil // the batch was sent again
	}
	known.latest = max(known.latest, min(batch.Minute, now+maxClockAhead), now)
	if err := h.checkBatch(now, batch); err != nil {
		h.skipped.Refused++
		return err
	}
	h.skipped.Lost += batch.Lost
	h.skipped.Summed += batch.Summed
	for _, entry := range batch.Entries {
		h.addEntry(batch.Minute, entry)
	}
	return nil
}

// stream returns the state of the stream that a batch belongs to, and creates it if necessary.
func (h *History) stream(batch *Batch) (*streamState, error) {
	id := stream{batch.Instance, batch.Incarnation}
	known, ok := h.streams[id]
	switch {
	case ok:
		return known, nil
	case batch.Instance == "" || batch.Sequence == 0:
		return nil, fmt.Errorf("%w: it has no instance or no sequence number", ErrBatch)
	case len(h.streams) >= h.limits.Streams:
		return nil, fmt.Errorf("%w: the limit of %d tracked runs of instances is reached", ErrBatch, len(h.streams))
	}
	known = &streamState{}
	h.streams[id] = known
	return known, nil
}

func (h *History) checkBatch(now anvilclock.Millis, batch *Batch) error {
	refuse := func(format string, args ...any) error {
		return fmt.Errorf("%w: batch %d of instance %q: %s", ErrBatch, batch.Sequence, batch.Instance, fmt.Sprintf(format, args...))
	}
	switch {
	case batch.Minute < 0 || batch.Minute%anvilclock.Minute != 0:
		return refuse("%d is not the start of a minute", batch.Minute)
	case batch.Minute <= now-MinuteRetention:
		return refuse("its minute began %d ms ago; counts are accepted for %d ms", now-batch.Minute, MinuteRetention)
	case batch.Minute > now+maxClockAhead:
		return refuse("its minute is %d ms ahead of the leader's clock; correct the clock of the instance", batch.Minute-now)
	case batch.Lost > maxCount || batch.Summed > maxCount:
		return refuse("its number of dropped requests, or of requests counted under other accounts, is out of range")
	}
	for _, entry := range batch.Entries {
		if !entry.valid() {
			return refuse("the count of %v is out of range", entry.Key)
		}
	}
	return nil
}

// AddJob counts a long job that has started or that failed before it ever ran. now is the time of
// the replicated log entry.
func (h *History) AddJob(now anvilclock.Millis, event Event) {
	h.prune(now)
	count := Count{Total: 1}
	if event.Limited {
		count.Limited = 1
		if event.OverLimit {
			count.OverLimit = 1
		}
	}
	h.addEntry(now, Entry{event.Key, count})
}

func (h *History) addEntry(at anvilclock.Millis, entry Entry) {
	h.countSkipped(addToBucket(h.minutes, floor(at, anvilclock.Minute), h.limits.Minute, entry), entry.Total)
	h.countSkipped(addToBucket(h.hours, floor(at, anvilclock.Hour), h.limits.Hour, entry), entry.Total)
}

// addResult says whether an entry was added to a bucket, and under which account.
type addResult int

const (
	addedExactly addResult = iota
	addedToOthers
	notAdded
)

func (h *History) countSkipped(f addResult, total uint64) {
	switch f {
	case addedToOthers:
		h.skipped.Summed += total
	case notAdded:
		h.skipped.Full += total
	}
}

// addToBucket adds an entry to a bucket, which may contain bound distinct keys. An eighth of bound
// is reserved for keys with OtherAccounts: once the rest is used up, the events of new accounts can
// still be counted there.
func addToBucket(buckets map[anvilclock.Millis]*bucket, start anvilclock.Millis, bound int, entry Entry) addResult {
	b := buckets[start]
	switch {
	case b == nil:
		b = &bucket{counts: map[Key]Count{}}
		buckets[start] = b
	case b.shared:
		b = b.clone()
		buckets[start] = b
	}
	result, key := addedExactly, entry.Key
	if _, known := b.counts[key]; !known && len(b.counts) >= bound-bound/8 {
		key.Account, result = OtherAccounts, addedToOthers
		if _, known := b.counts[key]; !known && len(b.counts) >= bound {
			return notAdded
		}
	}
	b.counts[key] = b.counts[key].add(entry.Count)
	return result
}

func (b *bucket) clone() *bucket {
	copied := &bucket{counts: make(map[Key]Count, len(b.counts)+1)}
	for key, count := range b.counts {
		copied.counts[key] = count
	}
	return copied
}

// prune removes counts and streams that are older than their retention periods.
func (h *History) prune(now anvilclock.Millis) {
	minute := floor(now, anvilclock.Minute)
	if minute <= h.pruned {
		return
	}
	h.pruned = minute
	for start := range h.minutes {
		if start <= now-MinuteRetention-anvilclock.Minute {
			delete(h.minutes, start)
		}
	}
	for start := range h.hours {
		if start <= now-HourRetention-anvilclock.Hour {
			delete(h.hours, start)
		}
	}
	for id, known := range h.streams {
		if known.latest <= now-MinuteRetention {
			delete(h.streams, id)
		}
	}
}

// Size returns the number of counts in all buckets. Each bucket has one count per distinct key.
func (h *History) Size() int {
	size := 0
	for _, b := range h.minutes {
		size += len(b.counts)
	}
	for _, b := range h.hours {
		size += len(b.counts)
	}
	return size
}
