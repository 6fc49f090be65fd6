package anvilspeed

import (
	"math"
	"slices"
)

const (
	// falseFindings is the share of machines that may be found to differ in speed although they don't. If all
	// machines are equal, it is the probability that any is found.
	falseFindings = 0.05
	// minDifference is the smallest difference of the logarithm of a speed that is reported.
	minDifference = 0.1
	// minUnequalShare is the share of the compared machines that must be found to differ before the measured speeds of
	// the others count too. It is above falseFindings, so that equal machines don't seem unequal.
	minUnequalShare = 0.1
)

// center makes the speeds relative to the median one.
func (e *Estimator) center() {
	var offsets []float64
	for _, m := range e.known {
		if m.compared() {
			offsets = append(offsets, m.offset)
		}
	}
	if len(offsets) == 0 {
		return
	}
	shift := median(offsets)
	for _, m := range e.known {
		m.shift(shift)
	}
	for _, c := range e.order {
		for i := range c.results {
			c.results[i].comparison.offset -= shift
		}
	}
}

// shift makes the estimate and its evidence relative to another speed.
func (m *machine) shift(by float64) {
	if !m.compared() {
		return
	}
	m.offset -= by
	for i := range m.kept {
		m.kept[i].offset -= by
	}
}

// compared reports whether the machine was compared with others.
func (m *machine) compared() bool { return len(m.live)+len(m.kept) > 0 }

// markDifferences finds the machines whose speed differs from the ordinary one by more than their error. How much
// more is necessary depends on how many machines differ (Benjamini-Hochberg): among thousands of equal machines some
// seem to differ by three errors, while a clear difference of many makes smaller ones credible.
func (e *Estimator) markDifferences() {
	var scores []float64
	for _, m := range e.known {
		if m.compared() {
			scores = append(scores, m.score())
		}
	}
	limit := scoreLimit(scores, falseFindings)
	found := 0
	for _, m := range e.known {
		m.differs = m.compared() && m.score() >= limit && math.Abs(m.offset) >= minDifference
		if m.differs {
			found++
		}
	}
	e.unequal = found > 0 && float64(found) >= minUnequalShare*float64(len(scores))
}

// score returns the difference of a machine from the ordinary speed in standard errors.
func (m *machine) score() float64 { return math.Abs(m.offset) / math.Sqrt(m.variance) }

// scoreLimit returns the smallest score that shows a difference, given all scores, which it sorts, and the share of findings that
// may be false.
func scoreLimit(scores []float64, falseShare float64) float64 {
	slices.Sort(scores)
	for i, score := range scores {
		// The probability of a score as high as this on an ordinary machine, and the share that score so high.
		chance, share := math.Erfc(score/math.Sqrt2), float64(len(scores)-i)/float64(len(scores))
		if chance <= falseShare*share {
			return score
		}
	}
	return math.Inf(1)
}
