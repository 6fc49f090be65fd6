package anvilspeed

import "anvilshunt/core/anvilclock"

// maxSlopeError is the largest standard error of the effect that one machine may show and still count.
const maxSlopeError = 1.0

// queueSet is a set of queues, as bits by their position in the table of neighbours.
type queueSet uint32

// exposures has for how long queues had runs beside a run. Shares of its time are used and not whether a queue was there at all or
// all the time: short runs are more often beside a queue all the time, or never, so that their length would pass for an effect.
type exposures struct {
	from, latest anvilclock.Millis
	times        []exposure
}

// exposure is for how long one queue had runs beside a run.
type exposure struct {
	queue uint8
	span  anvilclock.Millis
}

// reset begins anew at a time.
func (e *exposures) reset(at anvilclock.Millis) {
	e.from, e.latest, e.times = at, at, e.times[:0]
}

// add records that the queues had runs beside the run since the latest report.
func (e *exposures) add(at anvilclock.Millis, beside queueSet) {
	span := at - e.latest
	e.latest = max(e.latest, at)
	if span <= 0 {
		return
	}
	for i := range e.times {
		if bit := queueSet(1) << e.times[i].queue; beside&bit != 0 {
			e.times[i].span += span
			beside &^= bit
		}
	}
	for queue := uint8(0); beside != 0; queue++ {
		if bit := queueSet(1) << queue; beside&bit != 0 {
			e.times = append(e.times, exposure{queue, span})
			beside &^= bit
		}
	}
}

// share returns the share of the time in which a queue had runs beside the run.
func (e *exposures) share(queue int) float64 {
	if e.latest <= e.from {
		return 0
	}
	for _, t := range e.times {
		if int(t.queue) == queue {
			return float64(t.span) / float64(e.latest-e.from)
		}
	}
	return 0
}

// regression fits a line to weighted points.
type regression struct{ w, x, xx, y, xy float64 }

func (r *regression) add(x, y, weight float64) {
	r.w += weight
	r.x += weight * x
	r.xx += weight * x * x
	r.y += weight * y
	r.xy += weight * x * y
}

// slope returns the slope of the line and its variance, or false if the points hardly differ in x.
func (r *regression) slope() (slope, variance float64, ok bool) {
	spread := r.xx - r.x*r.x/r.w
	if spread < 1/(maxSlopeError*maxSlopeError) {
		return 0, 0, false
	}
	return (r.xy - r.x*r.y/r.w) / spread, 1 / spread, true
}
