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

const testStart = 100 * 24 * anvilclock.Hour

// Guards against counts that depend on resends, on the order of arrival or on restarts: batches of
// several instances are added to one History in order, and to another in random order, with resends
// and restarts in between. Both histories must be equal.
func TestResendsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batches []*Batch
		for i := range rapid.IntRange(1, 3).Draw(t, "instances") {
			r := NewRecorder(anvilid.InstanceID(fmt.Sprintf("i%d", i)), anvilid.Incarnation(1+i%2))
			for n := range rapid.IntRange(1, 8).Draw(t, "batches") {
				for range rapid.IntRange(1, 5).Draw(t, "events") {
					r.Add(testStart+anvilclock.Millis(n)*anvilclock.Minute, drawEvent(t))
				}
				r.Flush()
			}
			for batch := r.NextBatch(); batch != nil; batch = r.NextBatch() {
				batches = append(batches, batch)
				r.Acknowledge(batch.Sequence)
			}
		}
		now := testStart + anvilclock.Hour
		once, mixed := NewHistory(DefaultLimits()), NewHistory(DefaultLimits())
		for _, batch := range batches {
			assert.NilError(t, once.Add(now, batch))
		}
		again := append(rapid.SliceOfN(rapid.SampledFrom(batches), 1, 10).Draw(t, "resends"), batches...)
		for _, batch := range rapid.Permutation(again).Draw(t, "order") {
			assert.NilError(t, mixed.Add(now, batch))
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				mixed = encodeAndDecode(t, mixed)
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

// Guards against a History that grows with the number of accounts, causes or instances, and against
// counts that are dropped at the limits without being included in Skipped.
func TestBounds(t *testing.T) {
	limits := Limits{Minute: 16, Hour: 32, Streams: 3, Ranges: 2}
	h := NewHistory(limits)
	const accounts = 100
	for i := range accounts {
		key := Key{"s", anvilid.AccountID(fmt.Sprint(i)), CauseDone}
		batch := &Batch{Instance: "i", Incarnation: 1, Sequence: uint64(i + 1), Minute: testStart, Entries: []Entry{{key, Count{Total: 1}}}}
		assert.NilError(t, h.Add(testStart, batch))
	}
	minute := h.minutes[testStart].counts
	assert.Equal(t, len(minute), 15) // 14 accounts and OtherAccounts
	assert.Equal(t, minute[Key{"s", OtherAccounts, CauseDone}].Total, uint64(accounts-14))
	assert.Equal(t, h.hours[testStart].counts[Key{"s", OtherAccounts, CauseDone}].Total, uint64(accounts-28))
	assert.Equal(t, h.Skipped(), Skipped{Summed: 2*accounts - 14 - 28})

	for i := range accounts {
		key := Key{"s", "a", Cause(fmt.Sprint("not-run/", i))}
		assert.NilError(t, h.Add(testStart, &Batch{
			Instance: "j", Incarnation: 1, Sequence: uint64(2*i + 1), Minute: testStart, Entries: []Entry{{key, Count{Total: 1}}},
		}))
	}
	assert.Equal(t, h.Size(), limits.Minute+limits.Hour)
	assert.Assert(t, h.Skipped().Full > 0)
	assert.Equal(t, len(h.streams[stream{"j", 1}].ranges), limits.Ranges)

	assert.NilError(t, h.Add(testStart, &Batch{Instance: "k", Incarnation: 1, Sequence: 1, Minute: testStart}))
	full := &Batch{Instance: "l", Incarnation: 1, Sequence: 1, Minute: testStart}
	assert.ErrorIs(t, h.Add(testStart, full), ErrBatch)
	// A stream is removed once History.Add would refuse all of its batches as too old.
	full.Minute += MinuteRetention + anvilclock.Minute
	assert.NilError(t, h.Add(full.Minute, full))
	assert.Equal(t, len(h.streams), 1)
	assert.Equal(t, len(h.minutes), 0)
}

// Guards against counting batches outside the retention period, and malformed batches that would
// falsify the sums: such batches must be refused, and Skipped.Refused must count them.
func TestRefusedBatches(t *testing.T) {
	entry := Entry{Key{"s", "a", CauseDone}, Count{Total: 1}}
	for name, batch := range map[string]Batch{
		"no instance": {Sequence: 1, Minute: testStart},
		"no sequence": {Instance: "i", Minute: testStart},
		"old":         {Instance: "i", Sequence: 1, Minute: testStart - MinuteRetention},
		"ahead":       {Instance: "i", Sequence: 1, Minute: testStart + 6*anvilclock.Minute},
		"odd":         {Instance: "i", Sequence: 1, Minute: testStart + 1},
		"negative":    {Instance: "i", Sequence: 1, Minute: testStart, Entries: []Entry{{entry.Key, Count{Total: 1, Limited: 2}}}},
		"huge":        {Instance: "i", Sequence: 1, Minute: testStart, Entries: []Entry{{entry.Key, Count{Total: 1 << 63}}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(DefaultLimits())
			if len(batch.Entries) == 0 {
				batch.Entries = []Entry{entry}
			}
			assert.ErrorIs(t, h.Add(testStart, &batch), ErrBatch)
			assert.Equal(t, h.Size(), 0)
			assert.Equal(t, h.Skipped(), Skipped{Refused: 1})
		})
	}
}

// Guards against a recorder that grows while the control group is unreachable, and against dropped
// counts that are not reported.
func TestRecorderBounds(t *testing.T) {
	r := NewRecorder("i", 1, WithMaxPending(3), WithMaxKeys(2))
	for minute := range 10 {
		now := testStart + anvilclock.Millis(minute)*anvilclock.Minute
		for _, account := range []anvilid.AccountID{"a", "b", "c", "d"} {
			r.Add(now, Event{Key: Key{"s", account, CauseDone}})
		}
	}
	r.Flush()
	assert.Equal(t, len(r.pending), 3)
	assert.Equal(t, r.DroppedRequests(), uint64(28))
	h := NewHistory(DefaultLimits())
	for batch := r.NextBatch(); batch != nil; batch = r.NextBatch() {
		assert.Equal(t, len(batch.Entries), 3) // a, b and OtherAccounts
		assert.NilError(t, h.Add(testStart+10*anvilclock.Minute, batch))
		r.Acknowledge(batch.Sequence)
	}
	total := uint64(0)
	for _, b := range h.minutes {
		for _, count := range b.counts {
			total += count.Total
		}
	}
	// The Lost of a dropped batch is added to the Lost of a later batch.
	assert.Equal(t, total+h.Skipped().Lost, uint64(40))
}

// Guards against a single damaged bucket that makes the whole History unreadable, and against
// damage that a report doesn't show.
func TestDamage(t *testing.T) {
	h := NewHistory(DefaultLimits())
	for i := range 3 {
		h.AddJob(testStart+anvilclock.Millis(i)*anvilclock.Hour, Event{Key: Key{"s", "a", CauseJobStarted}})
	}
	data, err := h.Capture().Encode()
	assert.NilError(t, err)
	var form encodedHistory
	assert.NilError(t, cbor.Unmarshal(data, &form))
	form.Hours[1].Data[0] ^= 0xff
	form.Minutes[2].Data = []byte{0x86, 9, 0, 0, 1, 0, 0} // refers to a name that doesn't exist
	data, err = anvilcodec.Encode(&form)
	assert.NilError(t, err)
	damaged, err := Decode(data, DefaultLimits())
	assert.NilError(t, err)
	assert.Equal(t, damaged.Size(), 4)
	assert.Equal(t, BuildReport(damaged, testStart, nil).Skipped, Skipped{Damaged: 2})
	_, err = Decode(data[:len(data)/2], DefaultLimits())
	assert.ErrorIs(t, err, ErrFormat)
}

// Guards against a capture that contains later counts: the replicated state machine continues to
// change the History while the capture is encoded.
func TestCaptureStands(t *testing.T) {
	h := NewHistory(DefaultLimits())
	event := Event{Key: Key{"s", "a", CauseJobStarted}}
	h.AddJob(testStart, event)
	capture := h.Capture()
	before, err := capture.Encode()
	assert.NilError(t, err)
	h.AddJob(testStart, event)
	after, err := capture.Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}
