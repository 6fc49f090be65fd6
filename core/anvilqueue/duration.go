package anvilqueue

import (
	"math"
	"math/bits"

	"anvilshunt/core/anvilclock"
)

const (
	// durationBuckets is the number of histogram buckets. Two buckets cover the durations between a
	// power of two and the next one; see bucketOf.
	durationBuckets = 64
	// decayAfterSamples is the number of added durations after which all bucket counts are halved, so
	// that a quantile reflects about the latest 2*decayAfterSamples durations.
	decayAfterSamples = 512
	// minSamples is the number of durations that are needed for a quantile or a mean to be used.
	minSamples = 16
	// longMedianFactor defines long requests: a request is long if it takes more than this many
	// times the median duration of its service.
	longMedianFactor = 8
	// longKindShare is the minimum share of long requests in a kind that makes the whole kind class
	// Long.
	longKindShare = 0.5
	// p90PerMean is the ratio of the 90% quantile to the mean of exponentially distributed
	// durations.
	p90PerMean = 2.3
	// maxUnprovenInFlight is the number of requests of a kind that may run at the same time in class
	// Short before the first request of that kind has ended.
	maxUnprovenInFlight = 4
	// kindAverageWeight is the weight of the latest request in the moving averages of its kind.
	kindAverageWeight = 0.125
)

// Durations is a histogram of recent request durations. The zero value is empty.
type Durations struct {
	counts          [durationBuckets]uint32
	total           uint32
	addedSinceDecay int
	sum             float64 // in ms
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

// history contains the recent durations of a service's requests: of all requests, and of those of
// class Short. Whether a request is long is decided in comparison with the durations of all requests,
// so that the threshold rises if the whole service becomes slower. Estimates for short requests use
// only the durations of class Short.
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

// kind contains the history of one kind of request of one account; see Request.Kind.
type kind struct {
	samples   int     // requests that have ended
	inflight  int     // requests that are running
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

// maxKinds is the largest number of kinds that are tracked for one account. It limits the memory that
// an account can use up by always sending requests of new kinds; further kinds share the kind "".
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

// p90 returns the run time that the queue assumes for a request when it estimates whether the request
// finishes within its deadline: about the 90% quantile of the duration, or the mean for class Long.
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

// minRunTime returns about the median duration, or half of the mean for class Long. A request that
// has less time left until its deadline is not started.
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

// rateMeter measures the rate at which requests of a class, or of an account and class, are started
// while a backlog exists, that is, while others of them are waiting.
type rateMeter struct {
	buckets [rateBuckets]struct {
		at     anvilclock.Millis // start time divided by rateBucketSpan
		served int
		busy   anvilclock.Millis // time during which requests were waiting
	}
	backlogSince anvilclock.Millis // time up to which the current backlog is already added to busy
	backlogged   bool
}

const (
	rateBuckets    = 10
	rateBucketSpan = 100 * anvilclock.Millisecond
	// minBusyTime is the minimum time with a backlog, within the buckets, for a rate to be measured.
	minBusyTime = 100 * anvilclock.Millisecond
)

func (r *rateMeter) startBacklog(now anvilclock.Millis) { r.backlogged, r.backlogSince = true, now }

func (r *rateMeter) endBacklog(now anvilclock.Millis) {
	r.addBusy(now)
	r.backlogged = false
}

// addBusy adds the time since the latest call to the busy time of the buckets if a backlog exists.
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

// measure returns the number of requests started per millisecond in which a backlog existed. It
// returns false if no request was started, or if a backlog existed for less than minBusyTime.
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
