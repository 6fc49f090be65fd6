package anvilspeed

import "anvilshunt/core/anvilclock"

const (
	// stretchScatter is the standard deviation of the logarithms of the rates of one run in different stretches, beside rounding.
	stretchScatter = 0.05
	// maxSlopeError is the largest standard error of the effect of a queue that one run may show and still count.
	maxSlopeError = 0.5
)

// queueSet is a set of queues, as bits by their position in the table of neighbours.
type queueSet uint32

// exposures relates the rate of a run, stretch by stretch, to the queues that had runs beside it. As a run is compared with itself
// only, neither its work nor its machine matters. Runs can't be compared with others for this: the longest tasks of a step
// outlast those that were started beside them, so that few neighbours would seem to make them slow.
type exposures struct {
	// latest is the latest report, and span the time since the stretch began.
	latest, span anvilclock.Millis
	// weight and rate are the sums over all stretches.
	weight, rate float64
	queues       []exposure
}

// exposure is the part of exposures about one queue.
type exposure struct {
	queue int
	// span is for how long the queue had runs beside the run in the present stretch.
	span anvilclock.Millis
	// share, square and product are the weighted sums over all stretches of the share of time beside the queue, of its square and
	// of its product with the rate.
	share, square, product float64
}

// add records the queues that had runs beside the run since the latest report.
func (e *exposures) add(at anvilclock.Millis, beside queueSet) {
	span := at - e.latest
	if e.latest == 0 || span <= 0 {
		e.latest = max(at, e.latest)
		return
	}
	e.latest = at
	e.span += span
	for i := range e.queues {
		if bit := queueSet(1) << e.queues[i].queue; beside&bit != 0 {
			e.queues[i].span += span
			beside &^= bit
		}
	}
	for queue := 0; beside != 0; queue++ {
		if bit := queueSet(1) << queue; beside&bit != 0 {
			e.queues = append(e.queues, exposure{queue: queue, span: span})
			beside &^= bit
		}
	}
}

// end ends a stretch.
func (e *exposures) end(s stretch) {
	if e.span > 0 {
		rate := logRate(s.from, s.to)
		weight := 1 / (roundingVariance(s.from, s.to) + stretchScatter*stretchScatter)
		e.weight += weight
		e.rate += weight * rate
		for i := range e.queues {
			q := &e.queues[i]
			share := float64(q.span) / float64(e.span)
			q.share += weight * share
			q.square += weight * share * share
			q.product += weight * share * rate
			q.span = 0
		}
	}
	e.span = 0
}

// share returns the share of the time in which a queue had runs beside the run.
func (e *exposures) share(queue int) float64 {
	for _, q := range e.queues {
		if q.queue == queue && e.weight > 0 {
			return q.share / e.weight
		}
	}
	return 0
}

// slope returns the change of the logarithm of the rate beside a queue and its variance, or false if the run was beside it for
// about the same share of each stretch.
func (e *exposures) slope(q exposure) (slope, variance float64, ok bool) {
	if e.weight == 0 {
		return 0, 0, false
	}
	spread := q.square - q.share*q.share/e.weight
	if spread < 1/(maxSlopeError*maxSlopeError) {
		return 0, 0, false
	}
	return (q.product - q.share*e.rate/e.weight) / spread, 1 / spread, true
}
