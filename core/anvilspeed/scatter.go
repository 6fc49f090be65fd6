package anvilspeed

import "math"

// kind tells cohorts apart by how alike the work of their runs is.
type kind int

// Kinds of cohorts.
const (
	tasks   kind = iota // independent tasks of a step
	members             // of a gang, whose work is divided evenly as they end together
	reruns              // of one task
	kinds
)

// expectedScatter has the standard deviations of the logarithms of the work of runs of one cohort that are expected
// before any is measured.
var expectedScatter = [kinds]float64{tasks: 0.3, members: 0.15, reruns: 0.1}

const (
	// minScatter and maxScatter bound the scatter that is learnt. No two runs progress exactly alike.
	minScatter = 0.05
	maxScatter = 1.0
	// scatterPrior is the number of measured differences that the expected scatter counts for.
	scatterPrior = 8
	// kindPrior is the same for the scatter of a kind.
	kindPrior = 20
	// scatterLimit is the largest difference that counts in full where scatter is measured, in expected standard
	// deviations. Single tails then don't hide what is learnt from all others.
	scatterLimit = 3
)

// scatterSum measures how much the work of the runs of a cohort differs, from runs on the same machine. The
// speeds of machines don't matter for it.
type scatterSum struct{ variance, count, limit float64 }

func newScatterSum(expected float64) scatterSum {
	return scatterSum{variance: expected * expected * scatterPrior, count: scatterPrior, limit: scatterLimit * expected}
}

// add adds the runs of one machine.
func (s *scatterSum) add(readings []reading, middle float64) {
	for _, r := range readings {
		difference := min(math.Abs(r.rate-middle), s.limit)
		s.variance += difference * difference
	}
	s.count += float64(len(readings) - 1)
}

func (s *scatterSum) mean() float64 { return max(s.variance/s.count, minScatter*minScatter) }

// kindScatter learns the scatter that is expected of a kind, from how far comparisons are from what other cohorts say
// about the same machine.
type kindScatter struct {
	initial, variance float64
	// slope and weight are the sums of the present fit for a step of Fisher scoring.
	slope, weight float64
}

// scatters has the scatter of each kind.
type scatters [kinds]kindScatter

func newScatters() scatters {
	var s scatters
	for k, deviation := range expectedScatter {
		s[k].initial, s[k].variance = deviation*deviation, deviation*deviation
	}
	return s
}

// deviation returns the expected standard deviation.
func (s *kindScatter) deviation() float64 { return math.Sqrt(s.variance) }

// add adds a difference and the variance that was expected of it, which includes that of the kind.
func (s *kindScatter) add(difference, expected float64) {
	square := min(difference*difference, scatterLimit*scatterLimit*expected)
	s.slope += (square - expected) / (expected * expected)
	s.weight += 1 / (expected * expected)
}

// learn updates the scatters from the differences that were added, by a factor of two at most.
func (s *scatters) learn() {
	for k := range s {
		s[k].learn()
	}
}

func (s *kindScatter) learn() {
	prior := kindPrior / (s.initial * s.initial)
	updated := s.variance + (s.slope+prior*(s.initial-s.variance))/(s.weight+prior)
	updated = min(max(updated, s.variance/2), 2*s.variance)
	s.variance = min(max(updated, minScatter*minScatter), maxScatter*maxScatter)
	s.slope, s.weight = 0, 0
}
