package anvilqueue

import (
	"math"
	"math/bits"

	"anvilshunt/core/anvilclock"
)

const (
	// Durations are kept in buckets of half powers of two.
	durationBuckets = 64
	// decayEvery halves the counts, so that about the last twice as many
	// durations matter.
	decayEvery = 512
	// fewest durations before a quantile is trusted.
	fewest = 16
	// longTimes: a request is long if it takes this many times the median of
	// its service.
	longTimes = 8
	// longKind is the share of long requests that makes a kind long.
	longKind = 0.5
	// usualMeans is the 90% quantile of exponential durations over their mean.
	usualMeans = 2.3
	// mostUnproven requests of a kind without history run as short ones.
	mostUnproven = 4
	// kindGain is the weight of the latest request of a kind.
	kindGain = 0.125
)

// Durations learns the distribution of durations. The zero value is empty.
type Durations struct {
	counts [durationBuckets]uint32
	total  uint32
	added  int
	sum    float64
}

func (d *Durations) add(took anvilclock.Millis) {
	d.counts[bucketOf(took)]++
	d.total++
	d.sum += float64(took)
	d.added++
	if d.added >= decayEvery {
		d.decay()
	}
}

func (d *Durations) decay() {
	d.added = 0
	before := d.total
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
	if before > 0 {
		d.sum *= float64(d.total) / float64(before)
	}
}

func (d *Durations) mean() float64 {
	if d.total == 0 {
		return 0
	}
	return d.sum / float64(d.total)
}

// Quantile returns the duration that the given share (percent) of requests
// stays within, or 0 while too few are known.
func (d *Durations) Quantile(percent int) anvilclock.Millis {
	if d.total < fewest {
		return 0
	}
	rank := (uint64(d.total)*uint64(percent) + 99) / 100
	seen := uint64(0)
	for i := range d.counts {
		seen += uint64(d.counts[i])
		if seen >= rank {
			return boundOf(i)
		}
	}
	return boundOf(durationBuckets - 1)
}

// history holds the durations of a service. A request is long in comparison
// with all, so that the comparison follows a service that gets slower as a
// whole. What a short request needs is taken from the short kinds alone.
type history struct{ all, short Durations }

func (h *history) add(took anvilclock.Millis, class Class) {
	h.all.add(took)
	if class == Short {
		h.short.add(took)
	}
}

func (h *history) long(took anvilclock.Millis) bool {
	median := h.all.Quantile(50)
	return median > 0 && took > longTimes*median
}

// bucketOf returns 2e for [2^e, 1.5*2^e) and 2e+1 for [1.5*2^e, 2^(e+1)).
func bucketOf(took anvilclock.Millis) int {
	v := uint64(max(1, took))
	exponent := bits.Len64(v) - 1
	half := 0
	if exponent > 0 && v&(1<<(exponent-1)) != 0 {
		half = 1
	}
	return min(2*exponent+half, durationBuckets-1)
}

// boundOf returns the largest duration of a bucket.
func boundOf(bucket int) anvilclock.Millis {
	base := anvilclock.Millis(1) << (bucket / 2)
	if bucket%2 == 0 {
		return max(1, base+base/2-1)
	}
	return 2*base - 1
}

// kind is the history of one kind of request of one account.
type kind struct {
	seen     int
	inflight int
	long     float64 // moving share of long requests
	mean     float64 // moving mean duration
}

func (a *account) kind(name string) *kind {
	k, ok := a.kinds[name]
	if !ok {
		if len(a.kinds) >= mostKinds {
			return a.kind("")
		}
		k = &kind{}
		a.kinds[name] = k
	}
	return k
}

// mostKinds bounds the memory that one account can take by inventing kinds.
const mostKinds = 256

func (k *kind) add(took anvilclock.Millis, long bool) {
	k.seen++
	gain := math.Max(kindGain, 1/float64(k.seen))
	share := 0.0
	if long {
		share = 1
	}
	k.long += gain * (share - k.long)
	k.mean += gain * (float64(took) - k.mean)
}

// class is Long for a kind that has run long, and for one of which several
// requests run and none has ended while the service's durations are known.
func (k *kind) class(h *history) Class {
	unproven := k.seen == 0 && k.inflight >= mostUnproven && h.all.total >= fewest
	if k.long >= longKind || unproven {
		return Long
	}
	return Short
}

// usual returns the time that a request is given when its wait is estimated:
// about the 90% quantile.
func (k *kind) usual(h *history) anvilclock.Millis {
	if k.class(h) == Long {
		return anvilclock.Millis(k.mean)
	}
	usual := h.short.Quantile(90)
	if k.seen >= fewest {
		usual = min(usual, anvilclock.Millis(usualMeans*k.mean))
	}
	return usual
}

// least returns the time without which a request is not started: about the
// median.
func (k *kind) least(h *history) anvilclock.Millis {
	if k.class(h) == Long {
		return anvilclock.Millis(k.mean / 2)
	}
	least := max(1, h.short.Quantile(50))
	if k.seen >= fewest {
		least = min(least, anvilclock.Millis(k.mean))
	}
	return max(1, least)
}

// expected returns the slot time that a request is charged with in advance.
func (k *kind) expected(h *history) anvilclock.Millis {
	if k.seen > 0 {
		return anvilclock.Millis(math.Max(1, k.mean))
	}
	return max(1, h.short.Quantile(50))
}

// rate measures the service rate while requests are waiting.
type rate struct {
	buckets [rateBuckets]struct {
		at     anvilclock.Millis
		served int
		busy   anvilclock.Millis
	}
	since  anvilclock.Millis // of the backlog, or of the latest account of it
	behind bool
}

const (
	rateBuckets = 10
	rateSpan    = 100 * anvilclock.Millisecond
	// rateFewest is the busy time that a measurement needs.
	rateFewest = 100 * anvilclock.Millisecond
)

func (r *rate) backlog(now anvilclock.Millis) { r.behind, r.since = true, now }

func (r *rate) cleared(now anvilclock.Millis) {
	r.spend(now)
	r.behind = false
}

// spend books the busy time since the latest call.
func (r *rate) spend(now anvilclock.Millis) {
	if !r.behind {
		return
	}
	r.since = max(r.since, now-rateBuckets*rateSpan)
	for r.since < now {
		end := min(now, (r.since/rateSpan+1)*rateSpan)
		r.bucket(r.since).busy += end - r.since
		r.since = end
	}
}

func (r *rate) bucket(at anvilclock.Millis) *struct {
	at     anvilclock.Millis
	served int
	busy   anvilclock.Millis
} {
	at /= rateSpan
	b := &r.buckets[at%rateBuckets]
	if b.at != at {
		b.at, b.served, b.busy = at, 0, 0
	}
	return b
}

func (r *rate) served(now anvilclock.Millis) {
	r.spend(now)
	if b := r.bucket(now); b.busy > 0 {
		b.served++
	}
}

// measured returns the requests served per millisecond of backlog.
func (r *rate) measured(now anvilclock.Millis) (float64, bool) {
	r.spend(now)
	oldest := now/rateSpan - rateBuckets + 1
	served, busy := 0, anvilclock.Millis(0)
	for i := range r.buckets {
		if r.buckets[i].at >= oldest {
			served += r.buckets[i].served
			busy += r.buckets[i].busy
		}
	}
	if busy < rateFewest || served == 0 {
		return 0, false
	}
	return float64(served) / float64(busy), true
}
