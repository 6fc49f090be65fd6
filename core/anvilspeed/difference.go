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
)

// markDifferences makes the speeds relative to the median one, and finds the machines whose speed differs from
// it by more than their error. How much more is necessary depends on how many machines differ
// (Benjamini-Hochberg): among thousands of equal machines some seem to differ by three errors, while a clear
// difference of many makes smaller ones credible.
func (e *Estimator) markDifferences() {
	var measured []*machine
	var offsets []float64
	for _, m := range e.known {
		m.differs = false
		if len(m.live)+len(m.kept) > 0 {
			measured = append(measured, m)
			offsets = append(offsets, m.offset)
		}
	}
	if len(measured) == 0 {
		return
	}
	center := median(offsets)
	scores := make([]float64, 0, len(measured))
	for _, m := range measured {
		m.offset -= center
		scores = append(scores, m.score())
	}
	limit := scoreLimit(scores)
	for _, m := range measured {
		m.differs = m.score() >= limit && math.Abs(m.offset) >= minDifference
	}
}

// score returns the difference of a machine from the ordinary speed in standard errors.
func (m *machine) score() float64 { return math.Abs(m.offset) / math.Sqrt(m.variance) }

// scoreLimit returns the smallest score that shows a difference, given the scores of all machines, which it sorts.
func scoreLimit(scores []float64) float64 {
	slices.Sort(scores)
	for i, score := range scores {
		// The probability of a score as high as this on an ordinary machine, and the share that score so high.
		chance, share := math.Erfc(score/math.Sqrt2), float64(len(scores)-i)/float64(len(scores))
		if chance <= falseFindings*share {
			return score
		}
	}
	return math.Inf(1)
}
