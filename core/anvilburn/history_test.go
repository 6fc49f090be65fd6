package anvilburn

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilcodec"
	"anvilshunt/core/anvilid"
)

const start = 100 * 24 * anvilclock.Hour

// Guards against counts that depend on resends, on the order of arrival or on
// restarts: batches of several instances arrive once in order, and shuffled
// with resends and restarts between them.
func TestResendsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batches []*Batch
		for i := range rapid.IntRange(1, 3).Draw(t, "instances") {
			r := NewRecorder(anvilid.InstanceID(fmt.Sprintf("i%d", i)), anvilid.Incarnation(1+i%2))
			for n := range rapid.IntRange(1, 8).Draw(t, "batches") {
				for range rapid.IntRange(1, 5).Draw(t, "events") {
					r.Add(start+anvilclock.Millis(n)*anvilclock.Minute, drawEvent(t))
				}
				r.Flush()
			}
			for batch := r.NextBatch(); batch != nil; batch = r.NextBatch() {
				batches = append(batches, batch)
				r.Acknowledge(batch.Sequence)
			}
		}
		now := start + anvilclock.Hour
		once, mixed := NewHistory(DefaultLimits()), NewHistory(DefaultLimits())
		for _, batch := range batches {
			assert.NilError(t, once.Add(now, batch))
		}
		again := append(rapid.SliceOfN(rapid.SampledFrom(batches), 1, 10).Draw(t, "resends"), batches...)
		for _, batch := range rapid.Permutation(again).Draw(t, "order") {
			assert.NilError(t, mixed.Add(now, batch))
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				mixed = restarted(t, mixed)
			}
		}
		want, err := once.Capture().Encode()
		assert.NilError(t, err)
		got, err := mixed.Capture().Encode()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

func drawEvent(t *rapid.T) Event {
	limited := rapid.Bool().Draw(t, "limited")
	return Event{
		Key: Key{
			anvilid.ServiceName(rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")),
			anvilid.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
			rapid.SampledFrom([]Cause{CauseDone, CauseDoneLate, "not-run/overloaded"}).Draw(t, "cause"),
		},
		Limited: limited, OverLimit: limited && rapid.Bool().Draw(t, "beyond"),
	}
}

// Guards against a History that grows with the number of accounts, causes or
// instances, and against counts that vanish without a trace at the bounds.
func TestBounds(t *testing.T) {
	limits := Limits{Minute: 16, Hour: 32, Streams: 3, Ranges: 2}
	h := NewHistory(limits)
	const accounts = 100
	for i := range accounts {
		key := Key{"s", anvilid.AccountID(fmt.Sprint(i)), CauseDone}
		batch := &Batch{Instance: "i", Incarnation: 1, Sequence: uint64(i + 1), Minute: start, Entries: []Entry{{key, Count{Total: 1}}}}
		assert.NilError(t, h.Add(start, batch))
	}
	minute := h.minutes[start].counts
	assert.Equal(t, len(minute), 15) // 14 accounts and the sum
	assert.Equal(t, minute[Key{"s", OtherAccounts, CauseDone}].Total, uint64(accounts-14))
	assert.Equal(t, h.hours[start].counts[Key{"s", OtherAccounts, CauseDone}].Total, uint64(accounts-28))
	assert.Equal(t, h.Skipped(), Skipped{Summed: 2*accounts - 14 - 28})

	for i := range accounts {
		key := Key{"s", "a", Cause(fmt.Sprint("not-run/", i))}
		assert.NilError(t, h.Add(start, &Batch{
			Instance: "j", Incarnation: 1, Sequence: uint64(2*i + 1), Minute: start, Entries: []Entry{{key, Count{Total: 1}}},
		}))
	}
	assert.Equal(t, h.Size(), limits.Minute+limits.Hour)
	assert.Assert(t, h.Skipped().Full > 0)
	assert.Equal(t, len(h.streams[stream{"j", 1}].ranges), limits.Ranges)

	assert.NilError(t, h.Add(start, &Batch{Instance: "k", Incarnation: 1, Sequence: 1, Minute: start}))
	full := &Batch{Instance: "l", Incarnation: 1, Sequence: 1, Minute: start}
	assert.ErrorIs(t, h.Add(start, full), ErrBatch)
	// A stream is forgotten once all of its batches would be too old.
	full.Minute += MinuteRetention + anvilclock.Minute
	assert.NilError(t, h.Add(full.Minute, full))
	assert.Equal(t, len(h.streams), 1)
	assert.Equal(t, len(h.minutes), 0)
}

// Guards against batches that fall outside what is kept or that would spoil
// the sums: they are refused and counted.
func TestRefusedBatches(t *testing.T) {
	entry := Entry{Key{"s", "a", CauseDone}, Count{Total: 1}}
	for name, batch := range map[string]Batch{
		"no instance": {Sequence: 1, Minute: start},
		"no sequence": {Instance: "i", Minute: start},
		"old":         {Instance: "i", Sequence: 1, Minute: start - MinuteRetention},
		"ahead":       {Instance: "i", Sequence: 1, Minute: start + 6*anvilclock.Minute},
		"odd":         {Instance: "i", Sequence: 1, Minute: start + 1},
		"negative":    {Instance: "i", Sequence: 1, Minute: start, Entries: []Entry{{entry.Key, Count{Total: 1, Limited: 2}}}},
		"huge":        {Instance: "i", Sequence: 1, Minute: start, Entries: []Entry{{entry.Key, Count{Total: 1 << 63}}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(DefaultLimits())
			if len(batch.Entries) == 0 {
				batch.Entries = []Entry{entry}
			}
			assert.ErrorIs(t, h.Add(start, &batch), ErrBatch)
			assert.Equal(t, h.Size(), 0)
			assert.Equal(t, h.Skipped(), Skipped{Refused: 1})
		})
	}
}

// Guards against a recorder that grows while the control group is out of
// reach, and against drops that nobody hears of.
func TestRecorderBounds(t *testing.T) {
	r := NewRecorder("i", 1, WithMaxPending(3), WithMaxKeys(2))
	for minute := range 10 {
		now := start + anvilclock.Millis(minute)*anvilclock.Minute
		for _, account := range []anvilid.AccountID{"a", "b", "c", "d"} {
			r.Add(now, Event{Key: Key{"s", account, CauseDone}})
		}
	}
	r.Flush()
	assert.Equal(t, len(r.pending), 3)
	assert.Equal(t, r.DroppedRequests(), uint64(28))
	h := NewHistory(DefaultLimits())
	for batch := r.NextBatch(); batch != nil; batch = r.NextBatch() {
		assert.Equal(t, len(batch.Entries), 3) // a, b and the sum
		assert.NilError(t, h.Add(start+10*anvilclock.Minute, batch))
		r.Acknowledge(batch.Sequence)
	}
	total := uint64(0)
	for _, b := range h.minutes {
		for _, count := range b.counts {
			total += count.Total
		}
	}
	// A batch that is dropped passes on what it was to tell of.
	assert.Equal(t, total+h.Skipped().Lost, uint64(40))
}

// Guards against one damaged minute that makes the whole history unreadable,
// and against damage that a report doesn't tell of.
func TestDamage(t *testing.T) {
	h := NewHistory(DefaultLimits())
	for i := range 3 {
		h.AddJob(start+anvilclock.Millis(i)*anvilclock.Hour, Event{Key: Key{"s", "a", CauseJobStarted}})
	}
	data, err := h.Capture().Encode()
	assert.NilError(t, err)
	var form encoded
	assert.NilError(t, cbor.Unmarshal(data, &form))
	form.Hours[1].Data[0] ^= 0xff
	form.Minutes[2].Data = []byte{0x86, 9, 0, 0, 1, 0, 0} // names no service
	data, err = anvilcodec.Encode(&form)
	assert.NilError(t, err)
	damaged, err := Decode(data, DefaultLimits())
	assert.NilError(t, err)
	assert.Equal(t, damaged.Size(), 4)
	assert.Equal(t, BuildReport(damaged, start, nil).Skipped, Skipped{Damaged: 2})
	_, err = Decode(data[:len(data)/2], DefaultLimits())
	assert.ErrorIs(t, err, ErrFormat)
}

// Guards against a capture that shows later counts: it is encoded while the
// state machine goes on.
func TestCaptureStands(t *testing.T) {
	h := NewHistory(DefaultLimits())
	event := Event{Key: Key{"s", "a", CauseJobStarted}}
	h.AddJob(start, event)
	capture := h.Capture()
	before, err := capture.Encode()
	assert.NilError(t, err)
	h.AddJob(start, event)
	after, err := capture.Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}
