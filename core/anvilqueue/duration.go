package anvilqueue

import (
	"math"
	"math/bits"

	"anvilshunt/core/anvilclock"
)

const (
	// durationBuckets is the number of histogram buckets. Each power of two is split into two
	// buckets.
	durationBuckets = 64
	// decayAfterSamples is the number of added durations after which all counts are halved, so that
	// a quantile reflects about the latest 2*decayAfterSamples durations.
	decayAfterSamples = 512
	// minSamples is the number of durations that are needed for a quantile or a mean to be used.
	minSamples = 16
	// longMedianFactor defines long requests: a request is long if it takes more than this many
	// times the median duration of its service.
	longMedianFactor = 8
	// longKindShare is the share of long requests from which on a kind belongs to class Long.
	longKindShare = 0.5
	// p90PerMean is the ratio of the 90% quantile to the mean of exponentially distributed
	// durations.
	p90PerMean = 2.3
	// maxUnprovenInFlight is the number of requests of a kind without history that run as short
	// ones at the same time.
	maxUnprovenInFlight = 4
	// kindAverageWeight is the weight of the latest request in the moving averages of its kind.
	kindAverageWeight = 0.125
)

// Durations is a histogram of recent request durations. The zero value is empty.
type Durations struct {
	counts          [durationBuckets]uint32
	total           uint32
	addedSinceDecay int
	sum             float64
}

func (d *Durations) add(took anvilclock.Millis) {
	d.counts[bucketOf(took)]++
	d.total++
	d.sum += float64(took)
	d.addedSinceDecay++
	if d.addedSinceDecay >= decayAfterSamples {
		d.decay()
	}
}

func (d *Durations) decay() {
	d.addedSinceDecay = 0
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

// Quantile returns the duration that is not exceeded by the given percentage of requests, or 0
// while fewer than minSamples durations are known.
func (d *Durations) Quantile(percent int) anvilclock.Millis {
	if d.total < minSamples {
		return 0
	}
	rank := (uint64(d.total)*uint64(percent) + 99) / 100
	seen := uint64(0)
	for i := range d.counts {
		seen += uint64(d.counts[i])
		if seen >= rank {
			return bucketMax(i)
		}
	}
	return bucketMax(durationBuckets - 1)
}

// history holds the durations of a service. Whether a request is long is decided in comparison with
// the durations of all requests, so that the threshold follows a service that becomes slower as a
// whole. Estimates for short requests use the durations of the short kinds alone.
type history struct{ all, short Durations }

func (h *history) add(took anvilclock.Millis, class Class) {
	h.all.add(took)
	if class == Short {
		h.short.add(took)
	}
}

func (h *history) isLong(took anvilclock.Millis) bool {
	median := h.all.Quantile(50)
	return median > 0 && took > longMedianFactor*median
}

// bucketOf returns the histogram bucket of a duration: 2e for [2^e, 1.5*2^e) and 2e+1 for [1.5*2^e,
// 2^(e+1)).
func bucketOf(took anvilclock.Millis) int {
	v := uint64(max(1, took))
	exponent := bits.Len64(v) - 1
	half := 0
	if exponent > 0 && v&(1<<(exponent-1)) != 0 {
		half = 1
	}
	return min(2*exponent+half, durationBuckets-1)
}

// bucketMax returns the largest duration of a bucket.
func bucketMax(bucket int) anvilclock.Millis {
	base := anvilclock.Millis(1) << (bucket / 2)
	if bucket%2 == 0 {
		return max(1, base+base/2-1)
	}
	return 2*base - 1
}

// kind holds the history of one kind of request of one account.
type kind struct {
	samples   int
	inflight  int
	longShare float64 // moving average of the share of long requests
	mean      float64 // moving average of the duration in ms
}

func (a *account) kind(name string) *kind {
	k, ok := a.kinds[name]
	if !ok {
		if len(a.kinds) >= maxKinds {
			return a.kind("")
		}
		k = &kind{}
		a.kinds[name] = k
	}
	return k
}

// maxKinds limits the memory that one account can use up by sending requests of ever new kinds.
const maxKinds = 256

func (k *kind) add(took anvilclock.Millis, long bool) {
	k.samples++
	weight := math.Max(kindAverageWeight, 1/float64(k.samples))
	share := 0.0
	if long {
		share = 1
	}
	k.longShare += weight * (share - k.longShare)
	k.mean += weight * (float64(took) - k.mean)
}

// class returns the size class of the kind. It is Long if at least the share longKindShare of
// recent requests was long. It is also Long if maxUnprovenInFlight requests of the kind are running
// and none has ended, provided that durations of the service are known.
func (k *kind) class(h *history) Class {
	unproven := k.samples == 0 && k.inflight >= maxUnprovenInFlight && h.all.total >= minSamples
	if k.longShare >= longKindShare || unproven {
		return Long
	}
	return Short
}

// p90 returns about the 90% quantile of the duration, which is the run time assumed for a request
// when the queue estimates whether it finishes within its deadline.
func (k *kind) p90(h *history) anvilclock.Millis {
	if k.class(h) == Long {
		return anvilclock.Millis(k.mean)
	}
	estimate := h.short.Quantile(90)
	if k.samples >= minSamples {
		estimate = min(estimate, anvilclock.Millis(p90PerMean*k.mean))
	}
	return estimate
}

// minRunTime returns about the median duration. A request that has less time left is not started.
func (k *kind) minRunTime(h *history) anvilclock.Millis {
	if k.class(h) == Long {
		return anvilclock.Millis(k.mean / 2)
	}
	estimate := max(1, h.short.Quantile(50))
	if k.samples >= minSamples {
		estimate = min(estimate, anvilclock.Millis(k.mean))
	}
	return max(1, estimate)
}

// expectedSlotTime returns the slot time that is charged for a request at its start.
func (k *kind) expectedSlotTime(h *history) anvilclock.Millis {
	if k.samples > 0 {
		return anvilclock.Millis(math.Max(1, k.mean))
	}
	return max(1, h.short.Quantile(50))
}

// rateMeter measures the rate at which requests are served while others are waiting.
type rateMeter struct {
	buckets [rateBuckets]struct {
		at     anvilclock.Millis // start time divided by rateBucketSpan
		served int
		busy   anvilclock.Millis // time during which requests were waiting
	}
	backlogSince anvilclock.Millis // start of the part of the backlog that is not yet added to busy
	backlogged   bool
}

const (
	rateBuckets    = 10
	rateBucketSpan = 100 * anvilclock.Millisecond
	// minBusyTime is the busy time that a measurement of the rate needs.
	minBusyTime = 100 * anvilclock.Millisecond
)

func (r *rateMeter) startBacklog(now anvilclock.Millis) { r.backlogged, r.backlogSince = true, now }

func (r *rateMeter) endBacklog(now anvilclock.Millis) {
	r.addBusy(now)
	r.backlogged = false
}

// addBusy adds the time since the latest call to the busy time of the buckets.
func (r *rateMeter) addBusy(now anvilclock.Millis) {
	if !r.backlogged {
		return
	}
	r.backlogSince = max(r.backlogSince, now-rateBuckets*rateBucketSpan)
	for r.backlogSince < now {
		end := min(now, (r.backlogSince/rateBucketSpan+1)*rateBucketSpan)
		r.bucketAt(r.backlogSince).busy += end - r.backlogSince
		r.backlogSince = end
	}
}

func (r *rateMeter) bucketAt(at anvilclock.Millis) *struct {
	at     anvilclock.Millis
	served int
	busy   anvilclock.Millis
} {
	at /= rateBucketSpan
	b := &r.buckets[at%rateBuckets]
	if b.at != at {
		b.at, b.served, b.busy = at, 0, 0
	}
	return b
}

func (r *rateMeter) recordServed(now anvilclock.Millis) {
	r.addBusy(now)
	if b := r.bucketAt(now); b.busy > 0 {
		b.served++
	}
}

// measure returns the number of requests served per millisecond of backlog. It returns false if too
// little is known.
func (r *rateMeter) measure(now anvilclock.Millis) (float64, bool) {
	r.addBusy(now)
	oldest := now/rateBucketSpan - rateBuckets + 1
	served, busy := 0, anvilclock.Millis(0)
	for i := range r.buckets {
		if r.buckets[i].at >= oldest {
			served += r.buckets[i].served
			busy += r.buckets[i].busy
		}
	}
	if busy < minBusyTime || served == 0 {
		return 0, false
	}
	return float64(served) / float64(busy), true
}
