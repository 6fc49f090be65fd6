package anvildedup

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// The seed of the property tests is fixed; the command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "3000")

// expectedEntry is the state that the test expects an id to have in the table. The test scans all
// expected entries instead of keeping them in lists ordered by time, as the table does.
type expectedEntry struct {
	digest   Digest
	holder   Holder
	changed  anvilclock.Millis
	endOrder int // position in the order in which requests ended, 0 while in flight
	answer   *Answer
}

// TestTable guards against requests that run twice or get the answer of another request. Ids in
// flight must stay until the request ends, the id expires or the run of its holder ends. Ids of ended
// requests must be evicted in the order of their ends, and the table must never exceed its limits on
// ids and bytes.
func TestTable(t *testing.T) {
	const maxIDs, maxBytes = 4, 30
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(WithMaxIDs(maxIDs), WithAnswerBytes(maxBytes))
		now, ends := anvilclock.Millis(0), 0
		known := map[Key]*expectedEntry{}
		endedRuns := map[Holder]bool{}
		key := func() Key {
			return Key{Account: "a", ID: anvilid.RequestID(rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "id"))}
		}
		holder := func() Holder {
			return Holder{Instance: anvilid.InstanceID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "instance")), Incarnation: anvilid.Incarnation(rapid.IntRange(1, 2).Draw(t, "run"))}
		}
		removeExpired := func() {
			for k, r := range known {
				if now-r.changed >= Retention {
					assert.Equal(t, table.Lookup(now, k).State, Unknown)
					delete(known, k)
				}
			}
		}
		begin := func(k Key, digest Digest, h Holder) {
			count := table.Len()
			got := table.Begin(now, k, digest, h)
			r := known[k]
			switch {
			case endedRuns[h]:
				assert.Equal(t, got.State, CallerEnded)
			case r == nil || r.digest == digest && r.endOrder == 0 && endedRuns[r.holder]:
				if got.State == Full {
					assert.Equal(t, count, maxIDs)
					for _, other := range known {
						assert.Assert(t, other.endOrder == 0 && !endedRuns[other.holder], "refused although an id could be evicted")
					}
				}
				if got.State != Full {
					assert.Equal(t, got.State, New)
					known[k] = &expectedEntry{digest: digest, holder: h, changed: now}
				}
			case r.digest != digest:
				assert.Equal(t, got.State, Conflict)
			case r.endOrder == 0:
				assert.Equal(t, got, Result{State: InFlight, Holder: r.holder})
			default:
				assert.Equal(t, got.State, Done)
				assert.Equal(t, got.Holder, r.holder)
				assert.Assert(t, got.Answer == nil || got.Answer == r.answer)
			}
		}
		// removeEvicted removes ids from the expected entries that the table has evicted.
		removeEvicted := func() {
			newest := 0
			for k, r := range known {
				if r.endOrder == 0 && endedRuns[r.holder] {
					if _, ok := table.entries[k]; !ok {
						delete(known, k)
					}
				} else if table.Lookup(now, k).State == Unknown {
					assert.Assert(t, r.endOrder > 0, "evicted %v in flight", k)
					newest = max(newest, r.endOrder)
					delete(known, k)
				}
			}
			for _, r := range known {
				assert.Assert(t, r.endOrder == 0 || r.endOrder > newest, "evicted a newer id first")
			}
		}
		for range 60 {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				now += anvilclock.Millis(rapid.Int64Range(0, int64(Retention)).Draw(t, "advance"))
			case 1:
				h := holder()
				table.MarkHolderEnded(h)
				for run := anvilid.Incarnation(1); run <= h.Incarnation; run++ {
					endedRuns[Holder{h.Instance, run}] = true
				}
			case 2, 3, 4:
				k, h := key(), holder()
				answer := &Answer{Body: make([]byte, rapid.IntRange(0, 20).Draw(t, "size"))}
				r := known[k]
				held := r != nil && r.endOrder == 0 && r.holder == h && now-r.changed < Retention && !endedRuns[h]
				assert.Equal(t, table.Complete(now, k, h, answer), held, "end by %v", h)
				if held {
					ends++
					r.endOrder, r.changed, r.answer = ends, now, answer
				}
			case 5:
				k, h := key(), holder()
				r := known[k]
				held := r != nil && r.endOrder == 0 && r.holder == h && now-r.changed < Retention && !endedRuns[h]
				assert.Equal(t, table.Remove(now, k, h), held)
				if held {
					delete(known, k)
				}
			default:
				removeExpired()
				begin(key(), Digest{byte(rapid.IntRange(0, 1).Draw(t, "digest"))}, holder())
			}
			removeExpired()
			removeEvicted()
			assert.Assert(t, table.Len() <= maxIDs && table.Bytes() <= maxBytes)
		}
	})
}

// TestLostIDExpires guards against a conflict with an expired id that is still in the table. It can
// be there because the run of its holder ended after the run of the holder of a younger id, so that
// it comes after the younger id in Table.orphans.
func TestLostIDExpires(t *testing.T) {
	table := NewTable()
	x, y := Holder{"x", 1}, Holder{"y", 1}
	table.Begin(0, Key{ID: "old"}, Digest{}, x)
	table.Begin(1, Key{ID: "young"}, Digest{}, y)
	table.MarkHolderEnded(y)
	table.MarkHolderEnded(x)
	assert.Equal(t, table.Begin(Retention, Key{ID: "old"}, Digest{1}, Holder{"x", 2}).State, New)
}

func BenchmarkBegin(b *testing.B) {
	table := NewTable()
	h := Holder{"x", 1}
	keys := make([]Key, 2*MaxIDs)
	for i := range keys {
		keys[i] = Key{Account: "agency", Service: "planner", ID: anvilid.RequestID(fmt.Sprintf("request-%d", i))}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() { // the table is full from the 200,000th id on, and evicts ids
		k := keys[i%len(keys)]
		i++
		if table.Begin(anvilclock.Millis(i/100), k, Digest{}, h).State == New {
			table.Complete(anvilclock.Millis(i/100), k, h, nil)
		}
	}
}
