package anvilspeed

import (
	"math"

	"anvilshunt/core/anvilclock"
)

const (
	// minPaceSpan is the shortest stretch over which the pace of a run is measured.
	minPaceSpan = 700 * anvilclock.Millisecond
	// minPacePercent is the smallest progress over which the pace is measured, as reports are in whole
	// percent.
	minPacePercent = 3
	// paceSettleTime is how long a pace must last after a change in the middle of a run before it counts as
	// lasting. Disruptions that end sooner are left to the Monitor.
	paceSettleTime = 4 * anvilclock.Second
	// maxPaceDrift is the difference of the logarithms of two rates of one run from which on its pace has
	// changed, in addition to what rounding explains.
	maxPaceDrift = 0.4
	// roundingError is the standard error in percent of a difference of two rounded reports.
	roundingError = 0.41
)

// point is the progress of a run at a time.
type point struct {
	at      anvilclock.Millis
	percent int
}

// pace measures the lasting rate of one run.
type pace struct {
	// base is the first report of the present pace, and mark the last one that is known to belong to it. The stretch
	// from there to the latest report is compared with it once it is long enough.
	base, mark, latest point
	// stretches is the number of stretches between base and mark.
	stretches int
	// reported is set with the first report.
	reported bool
	// moving reports that the run has begun its work, which may be some time after its start.
	moving bool
	// changed reports that the run had another pace before base.
	changed bool
}

// stretch is a part of a run over which its rate was measured.
type stretch struct{ from, to point }

// add adds a report, and returns the stretch that ends with it, if one does. Reports from the end of the work on are left
// out: a member of a gang waits there for the others.
func (p *pace) add(r point) (ended stretch, ends bool) {
	switch {
	case r.percent >= 100:
		return stretch{}, false
	case !p.reported || r.percent < p.latest.percent:
		*p = pace{base: r, mark: r, latest: r, reported: true}
		return stretch{}, false
	case !p.moving:
		p.moving = r.percent > p.base.percent
		p.base, p.mark, p.latest = r, r, r
		return stretch{}, false
	}
	p.latest = r
	if r.at-p.mark.at < minPaceSpan || r.percent-p.mark.percent < minPacePercent {
		return stretch{}, false
	}
	if p.stretches > 0 && hasDrifted(p.base, p.mark, r) {
		p.base, p.stretches, p.changed = p.mark, 0, true
	}
	ended = stretch{p.mark, r}
	p.mark = r
	p.stretches++
	return ended, true
}

// hasDrifted reports whether the rate from mark to last differs from the one from base to mark.
func hasDrifted(base, mark, last point) bool {
	tolerance := maxPaceDrift + 2*math.Sqrt(roundingVariance(base, mark)+roundingVariance(mark, last))
	return math.Abs(logRate(mark, last)-logRate(base, mark)) > tolerance
}

// logRate returns the natural logarithm of a rate in percent per millisecond.
func logRate(from, to point) float64 {
	return math.Log(float64(to.percent-from.percent) / float64(to.at-from.at))
}

// roundingVariance returns the variance of logRate that the rounding of the reports causes.
func roundingVariance(from, to point) float64 {
	relative := roundingError / float64(to.percent-from.percent)
	return relative * relative
}

// measure returns the logarithm of the present rate and its variance, or false if it isn't known yet. After a change,
// a second stretch must confirm it: the first one may have been a pause.
func (p *pace) measure() (rate, variance float64, ok bool) {
	if p.stretches == 0 || p.changed && (p.stretches < 2 || p.mark.at-p.base.at < paceSettleTime) {
		return 0, 0, false
	}
	return logRate(p.base, p.mark), roundingVariance(p.base, p.mark), true
}
