package anvilburn

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Spans that a History keeps.
const (
	MinuteRetention = 6 * anvilclock.Hour
	HourRetention   = 30 * 24 * anvilclock.Hour
	// maxAhead is how far the clock of an instance may be ahead of that of
	// the leader.
	maxAhead = 5 * anvilclock.Minute
)

// ErrBatch reports a batch that the History doesn't take.
var ErrBatch = errors.New("the batch of counts is refused")

// Limits bound what a History keeps. All replicas must use the same limits.
type Limits struct {
	// Minute and Hour bound the counts of one minute and one hour. Accounts
	// beyond them are summed under Other, and what doesn't fit even so is
	// skipped.
	Minute int `json:"minute"`
	Hour   int `json:"hour"`
	// Streams bounds the runs of instances whose batches are recognised.
	Streams int `json:"streams"`
	// Ranges bounds the runs of sequences that are kept for one stream.
	Ranges int `json:"ranges"`
}

// DefaultLimits keep a full History at about 200,000 counts. Of the 2,220
// starts a day at design scale, 555 fall into the span of one stream.
func DefaultLimits() Limits { return Limits{Minute: 64, Hour: 256, Streams: 4096, Ranges: 64} }

// Skipped counts what a History could not take in full.
type Skipped struct {
	// Summed counts the requests under Other, at an instance or here.
	Summed uint64 `cbor:"1,keyasint,omitempty" json:"summed"`
	// Full counts the requests for which there was no room at all.
	Full uint64 `cbor:"2,keyasint,omitempty" json:"full"`
	// Lost counts the requests that instances dropped before they could
	// send them.
	Lost uint64 `cbor:"3,keyasint,omitempty" json:"lost"`
	// Refused counts the batches that were too old, ahead of the time or
	// malformed.
	Refused uint64 `cbor:"4,keyasint,omitempty" json:"refused"`
	// Damaged counts the minutes and hours that could not be read.
	Damaged uint64 `cbor:"5,keyasint,omitempty" json:"damaged"`
}

// stream identifies a run of an instance.
type stream struct {
	Instance    anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
}

// seen is what is known of a stream.
type seen struct {
	// latest is the time of its latest batch or the minute that the batch is
	// of, whichever is later.
	latest anvilclock.Millis
	ranges ranges
}

// bucket holds the counts of one minute or hour.
type bucket struct {
	counts map[Key]Count
	// shared is set once a capture refers to the bucket, which is copied
	// before its next change.
	shared bool
}

// History sums the batches of all instances.
type History struct {
	limits  Limits
	minutes map[anvilclock.Millis]*bucket
	hours   map[anvilclock.Millis]*bucket
	streams map[stream]*seen
	skipped Skipped
	// pruned is the minute of the latest removal of old counts.
	pruned anvilclock.Millis
}

// NewHistory returns an empty History.
func NewHistory(limits Limits) *History {
	return &History{
		limits: limits, minutes: map[anvilclock.Millis]*bucket{}, hours: map[anvilclock.Millis]*bucket{},
		streams: map[stream]*seen{},
	}
}

// Skipped returns what could not be taken.
func (h *History) Skipped() Skipped { return h.skipped }

// Add takes a batch in, unless it has it. The time is that of the log entry.
//
// A batch older than KeepMinutes is refused. The stream of a batch is known
// for that long, so that no batch counts twice.
func (h *History) Add(now anvilclock.Millis, batch *Batch) error {
	h.prune(now)
	known, err := h.stream(batch)
	if err != nil {
		h.skipped.Refused++
		return err
	}
	if !known.ranges.add(batch.Sequence, h.limits.Ranges) {
		return nil // a resend
	}
	known.latest = max(known.latest, min(batch.Minute, now+maxAhead), now)
	if err := h.check(now, batch); err != nil {
		h.skipped.Refused++
		return err
	}
	h.skipped.Lost += batch.Lost
	h.skipped.Summed += batch.Summed
	for _, entry := range batch.Entries {
		h.put(batch.Minute, entry)
	}
	return nil
}

// stream finds what is known of the run that a batch is from.
func (h *History) stream(batch *Batch) (*seen, error) {
	id := stream{batch.Instance, batch.Incarnation}
	known, ok := h.streams[id]
	switch {
	case ok:
		return known, nil
	case batch.Instance == "" || batch.Sequence == 0:
		return nil, fmt.Errorf("%w: it names no instance or no sequence", ErrBatch)
	case len(h.streams) >= h.limits.Streams:
		return nil, fmt.Errorf("%w: %d runs of instances are known, the limit", ErrBatch, len(h.streams))
	}
	known = &seen{}
	h.streams[id] = known
	return known, nil
}

func (h *History) check(now anvilclock.Millis, batch *Batch) error {
	refuse := func(format string, args ...any) error {
		return fmt.Errorf("%w: batch %d of instance %q: %s", ErrBatch, batch.Sequence, batch.Instance, fmt.Sprintf(format, args...))
	}
	switch {
	case batch.Minute < 0 || batch.Minute%anvilclock.Minute != 0:
		return refuse("%d is not the start of a minute", batch.Minute)
	case batch.Minute <= now-MinuteRetention:
		return refuse("its minute is over for %d ms; counts are taken for %d ms", now-batch.Minute, MinuteRetention)
	case batch.Minute > now+maxAhead:
		return refuse("its minute is %d ms ahead; set the clock of the instance", batch.Minute-now)
	case batch.Lost > maxCount || batch.Summed > maxCount:
		return refuse("its losses are out of range")
	}
	for _, entry := range batch.Entries {
		if !entry.valid() {
			return refuse("the count of %v is out of range", entry.Key)
		}
	}
	return nil
}

// AddJob counts how a long job started.
func (h *History) AddJob(now anvilclock.Millis, event Event) {
	h.prune(now)
	count := Count{Total: 1}
	if event.Limited {
		count.Limited = 1
		if event.OverLimit {
			count.OverLimit = 1
		}
	}
	h.put(now, Entry{event.Key, count})
}

func (h *History) put(at anvilclock.Millis, entry Entry) {
	h.note(putInto(h.minutes, floor(at, anvilclock.Minute), h.limits.Minute, entry), entry.Total)
	h.note(putInto(h.hours, floor(at, anvilclock.Hour), h.limits.Hour, entry), entry.Total)
}

// fit tells how an entry was taken in.
type fit int

const (
	fitWhole fit = iota
	fitSummed
	fitNot
)

func (h *History) note(f fit, total uint64) {
	switch f {
	case fitSummed:
		h.skipped.Summed += total
	case fitNot:
		h.skipped.Full += total
	}
}

// putInto adds an entry to a bucket. An eighth of the bound is set aside for
// the sums under Other, so that these fit when accounts no longer do.
func putInto(buckets map[anvilclock.Millis]*bucket, start anvilclock.Millis, bound int, entry Entry) fit {
	b := buckets[start]
	switch {
	case b == nil:
		b = &bucket{counts: map[Key]Count{}}
		buckets[start] = b
	case b.shared:
		b = b.clone()
		buckets[start] = b
	}
	result, key := fitWhole, entry.Key
	if _, known := b.counts[key]; !known && len(b.counts) >= bound-bound/8 {
		key.Account, result = OtherAccounts, fitSummed
		if _, known := b.counts[key]; !known && len(b.counts) >= bound {
			return fitNot
		}
	}
	b.counts[key] = b.counts[key].plus(entry.Count)
	return result
}

func (b *bucket) clone() *bucket {
	copied := &bucket{counts: make(map[Key]Count, len(b.counts)+1)}
	for key, count := range b.counts {
		copied.counts[key] = count
	}
	return copied
}

// prune drops what is older than the spans that are kept.
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

// Size returns the number of counts.
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
