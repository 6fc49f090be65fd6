package anvilburn

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilcodec"
	"anvilshunt/core/anvilid"
)

// formatVersion is the version of the encoding.
const formatVersion = 1

// ErrFormat is returned for an encoded History that can't be decoded. A single damaged bucket causes
// no error; see Decode.
var ErrFormat = errors.New("cannot decode the history of counts")

// encodedHistory is the encoding of a History. All lists are sorted.
type encodedHistory struct {
	Version int `cbor:"1,keyasint"`
	// Names contains each service, account and cause once. Encoded counts refer to them by their
	// position in this list.
	Names   []string          `cbor:"2,keyasint,omitempty"`
	Minutes []encodedBucket   `cbor:"3,keyasint,omitempty"`
	Hours   []encodedBucket   `cbor:"4,keyasint,omitempty"`
	Streams []encodedStream   `cbor:"5,keyasint,omitempty"`
	Skipped Skipped           `cbor:"6,keyasint"`
	Pruned  anvilclock.Millis `cbor:"7,keyasint,omitempty"`
}

// encodedBucket is the encoding of a bucket: the counts of one minute or one hour. The counts are
// encoded separately as bytes, so that a damaged bucket doesn't make the others unreadable.
type encodedBucket struct {
	Start anvilclock.Millis `cbor:"1,keyasint"`
	Data  []byte            `cbor:"2,keyasint"`
}

type encodedStream struct {
	Stream stream            `cbor:"1,keyasint"`
	Latest anvilclock.Millis `cbor:"2,keyasint"`
	Ranges []sequenceRange   `cbor:"3,keyasint,omitempty"`
}

// fieldsPerCount is the number of integers that encode one Key with its Count: service, account,
// cause, total, limited and over limit.
const fieldsPerCount = 6

// Capture is a snapshot of a History that later changes to the History don't affect.
type Capture struct {
	minutes, hours map[anvilclock.Millis]*bucket
	header         encodedHistory
}

// Capture returns a snapshot of the History. The snapshot shares each bucket (the counts of one
// minute or one hour) with the History until the History changes the bucket (copy-on-write).
func (h *History) Capture() *Capture {
	for _, buckets := range []map[anvilclock.Millis]*bucket{h.minutes, h.hours} {
		for _, b := range buckets {
			b.shared = true
		}
	}
	c := &Capture{minutes: maps.Clone(h.minutes), hours: maps.Clone(h.hours)}
	c.header = encodedHistory{Version: formatVersion, Skipped: h.skipped, Pruned: h.pruned}
	for id, known := range h.streams {
		c.header.Streams = append(c.header.Streams, encodedStream{id, known.latest, slices.Clone(known.ranges)})
	}
	return c
}

// Encode returns the canonical encoding: equal histories have equal encodings.
func (c *Capture) Encode() ([]byte, error) {
	form := c.header
	names := map[string]uint64{}
	for _, buckets := range []map[anvilclock.Millis]*bucket{c.minutes, c.hours} {
		for _, b := range buckets {
			for key := range b.counts {
				names[string(key.Service)], names[string(key.Account)], names[string(key.Cause)] = 0, 0, 0
			}
		}
	}
	form.Names = slices.Sorted(maps.Keys(names))
	for i, name := range form.Names {
		names[name] = uint64(i)
	}
	slices.SortFunc(form.Streams, func(a, b encodedStream) int {
		return cmp.Or(cmp.Compare(a.Stream.Instance, b.Stream.Instance), cmp.Compare(a.Stream.Incarnation, b.Stream.Incarnation))
	})
	var err error
	if form.Minutes, err = encodeBuckets(c.minutes, names); err == nil {
		form.Hours, err = encodeBuckets(c.hours, names)
	}
	if err != nil {
		return nil, err
	}
	return anvilcodec.Encode(&form)
}

func encodeBuckets(buckets map[anvilclock.Millis]*bucket, names map[string]uint64) ([]encodedBucket, error) {
	var list []encodedBucket
	for _, start := range slices.Sorted(maps.Keys(buckets)) {
		var numbers []uint64
		for _, e := range sortedEntries(buckets[start].counts) {
			numbers = append(numbers, names[string(e.Service)], names[string(e.Account)], names[string(e.Cause)],
				e.Total, e.Limited, e.OverLimit)
		}
		data, err := anvilcodec.Encode(numbers)
		if err != nil {
			return nil, fmt.Errorf("encode the counts of the bucket that starts at %d: %w", start, err)
		}
		list = append(list, encodedBucket{start, data})
	}
	return list, nil
}

// Decode decodes the output of Encode. Damaged buckets, each with the counts of one minute or one
// hour, are left out and their number is added to Skipped.Damaged. Empty data yields an empty History.
func Decode(data []byte, limits Limits) (*History, error) {
	h := NewHistory(limits)
	if len(data) == 0 {
		return h, nil
	}
	var form encodedHistory
	if err := cbor.Unmarshal(data, &form); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if form.Version != formatVersion {
		return nil, fmt.Errorf("%w: its version is %d, but this program reads version %d; use the program version that wrote it", ErrFormat, form.Version, formatVersion)
	}
	h.skipped, h.pruned = form.Skipped, form.Pruned
	for _, s := range form.Streams {
		h.streams[s.Stream] = &streamState{s.Latest, s.Ranges}
	}
	h.decode(h.minutes, anvilclock.Minute, form.Minutes, form.Names)
	h.decode(h.hours, anvilclock.Hour, form.Hours, form.Names)
	return h, nil
}

func (h *History) decode(into map[anvilclock.Millis]*bucket, span anvilclock.Millis, list []encodedBucket, names []string) {
	for _, e := range list {
		b, err := decodeBucket(e.Data, names)
		if _, doubled := into[e.Start]; err != nil || doubled || e.Start%span != 0 {
			h.skipped.Damaged++
			continue
		}
		into[e.Start] = b
	}
}

func decodeBucket(data []byte, names []string) (*bucket, error) {
	var numbers []uint64
	if err := cbor.Unmarshal(data, &numbers); err != nil {
		return nil, err
	}
	b := &bucket{counts: make(map[Key]Count, len(numbers)/fieldsPerCount)}
	for ; len(numbers) >= fieldsPerCount; numbers = numbers[fieldsPerCount:] {
		for _, name := range numbers[:3] {
			if name >= uint64(len(names)) {
				return nil, ErrFormat
			}
		}
		key := Key{anvilid.ServiceName(names[numbers[0]]), anvilid.AccountID(names[numbers[1]]), Cause(names[numbers[2]])}
		count := Count{numbers[3], numbers[4], numbers[5]}
		if !count.valid() {
			return nil, ErrFormat
		}
		b.counts[key] = count
	}
	if len(numbers) > 0 {
		return nil, ErrFormat
	}
	return b, nil
}
