package anvilspeed

import (
	"math"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// priorSpread is the standard deviation of the logarithms of the speeds of machines that is expected before
	// anything is known.
	priorSpread = 0.4
	// maxKept is the number of comparisons that are kept for a machine after their runs have ended.
	maxKept = 6
	// evidenceHalfLife is the age at which a kept comparison counts half.
	evidenceHalfLife = 10 * anvilclock.Minute
	// recentTime is the age up to which comparisons count as recent where they are compared with earlier ones.
	recentTime = 5 * anvilclock.Second
	// minContradictions is the number of runs or of cohorts that must contradict earlier evidence before that
	// is dropped: a single task may have a long tail.
	minContradictions = 2
	// contradiction is the difference from earlier evidence, in standard errors, from which on a machine has
	// changed its speed.
	contradiction = 3.5
	// offsetRounds is the number of steps in which the speed of a machine is approached.
	offsetRounds = 8
)

// comparison is the outcome of comparing the runs of one machine with the runs of one cohort on others.
type comparison struct {
	at anvilclock.Millis
	// offset is the logarithm of the machine's speed according to this comparison.
	offset, variance float64
	runs             int
}

// machine is what is known about the speed of one machine.
type machine struct {
	id     anvilid.MachineID
	number uint64 // in the order in which the machines were seen first
	// offset is the logarithm of the estimated speed, relative to an ordinary machine.
	offset, variance float64
	// live has the comparisons in the present cohorts, and kept those in former ones.
	live, kept []comparison
	// differs reports that the speed differs by more than its error from the ordinary one.
	differs bool
	// changedAt is when the machine changed its speed: what ended before says nothing about it.
	changedAt anvilclock.Millis
	seenAt    anvilclock.Millis
}

// keep keeps a comparison whose runs have ended. The one that says least gives way to others.
func (m *machine) keep(c comparison) {
	m.kept = append(m.kept, c)
	if len(m.kept) <= maxKept {
		return
	}
	least := 0
	for i, other := range m.kept {
		if other.agedVariance(c.at) > m.kept[least].agedVariance(c.at) {
			least = i
		}
	}
	m.kept = slices.Delete(m.kept, least, least+1)
}

// update estimates the speed from the comparisons. It starts at the ordinary speed, so that a single extreme
// value counts as a tail and not as the speed.
func (m *machine) update(now anvilclock.Millis, buffer *buffers) {
	m.dropContradicted(now)
	m.offset, m.variance = 0, priorSpread*priorSpread
	if !m.compared() {
		return
	}
	buffer.offsets, buffer.variances = buffer.offsets[:0], buffer.variances[:0]
	for _, evidence := range [2][]comparison{m.live, m.kept} {
		for _, c := range evidence {
			buffer.offsets = append(buffer.offsets, c.offset)
			buffer.variances = append(buffer.variances, c.agedVariance(now))
		}
	}
	for range offsetRounds {
		weights, sum := 1/(priorSpread*priorSpread), 0.0
		for i, offset := range buffer.offsets {
			weight := tailWeight(buffer.variances[i], offset-m.offset)
			weights += weight
			sum += weight * offset
		}
		m.offset, m.variance = sum/weights, 1/weights
	}
}

// without returns the estimate that follows from all comparisons but one, with its variance.
func (m *machine) without(c comparison) (offset, variance float64) {
	weight := tailWeight(c.variance, c.offset-m.offset)
	others := max(1/m.variance-weight, 1/(priorSpread*priorSpread))
	return (m.offset/m.variance - weight*c.offset) / others, 1 / others
}

// agedVariance returns the variance of a comparison, which grows with its age.
func (c comparison) agedVariance(now anvilclock.Millis) float64 {
	return c.variance * math.Exp2(float64(now-c.at)/float64(evidenceHalfLife))
}

// dropContradicted drops the comparisons from before recentTime if those after it show another speed.
func (m *machine) dropContradicted(now anvilclock.Millis) {
	var recent, earlier mean
	isEarlier := func(c comparison) bool { return now-c.at > recentTime }
	for _, evidence := range [2][]comparison{m.live, m.kept} {
		for _, c := range evidence {
			if isEarlier(c) {
				earlier.add(c, now)
			} else {
				recent.add(c, now)
			}
		}
	}
	if earlier.count == 0 || recent.count < minContradictions && recent.runs <= minContradictions {
		return
	}
	difference := recent.value() - earlier.value()
	if difference*difference <= contradiction*contradiction*(1/recent.weights+1/earlier.weights) {
		return
	}
	m.changedAt = now - recentTime
	m.kept = slices.DeleteFunc(m.kept, isEarlier)
	m.live = slices.DeleteFunc(m.live, isEarlier)
}

// mean is a mean of comparisons that is weighted by their variances.
type mean struct {
	weights, sum float64
	count, runs  int
}

func (m *mean) add(c comparison, now anvilclock.Millis) {
	weight := 1 / c.agedVariance(now)
	m.weights += weight
	m.sum += weight * c.offset
	m.count++
	m.runs += c.runs
}

func (m *mean) value() float64 { return m.sum / m.weights }
