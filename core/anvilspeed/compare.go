package anvilspeed

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
)

const (
	// tailFreedom is the number of degrees of freedom of the distribution (Student's t) that the work of
	// tasks is taken to have. A small number lets a few tasks that take many times as long count little.
	tailFreedom = 4
	// maxGroupRuns is the number of runs of a machine that count in one cohort. The latest ones do, so that a change
	// of speed shows in a step that goes on for long.
	maxGroupRuns = 5
	// medianLoss is the variance of the median of three or more values, relative to that of their mean.
	medianLoss = 1.4
	// centerRounds is the number of steps in which the rate of a cohort is approached.
	centerRounds = 3
)

// group has the runs of one machine in a cohort.
type group struct {
	machine *machine
	// rate is the middle of the logarithms of the rates of the runs.
	rate  float64
	count int
	// variance is that of rate, as far as rounding and the scatter of tasks explain it.
	variance float64
	// weight says how much the group counts in the rate of the cohort.
	weight float64
	// elsewhere is the speed of the machine according to all other cohorts, with its variance.
	elsewhere, elsewhereVariance float64
	// latest is when a run of the group was reported last.
	latest anvilclock.Millis
}

// reading is the measured pace of one run.
type reading struct {
	machine        *machine
	rate, variance float64
	at             anvilclock.Millis
}

// buffers is memory that is used again for each cohort and machine.
type buffers struct {
	readings           []reading
	groups             []group
	rates              []float64
	offsets, variances []float64
	// neighbours corrects the rates of runs that are slowed down by others.
	neighbours *neighbours
}

// compare compares each machine on which the cohort has run with the others.
func (c *cohort) compare(expected *scatters, buffer *buffers) {
	groups := c.groups(expected[c.kind].deviation(), buffer)
	c.addElsewhere(groups)
	c.results = c.results[:0]
	if len(groups) < 2 {
		return
	}
	weighGroups(groups, buffer)
	var weights, sum float64
	for _, g := range groups {
		weights += g.weight
		sum += g.weight * g.workRate()
	}
	for _, g := range groups {
		// The machine itself is left out of what it is compared with, or it would confirm itself.
		others := weights - g.weight
		reference := (sum - g.weight*g.workRate()) / others
		if g.count == 1 {
			expected[c.kind].add(g.rate-reference-g.elsewhere, g.variance+g.elsewhereVariance+1/others)
		}
		c.results = append(c.results, result{
			machine:    g.machine,
			comparison: comparison{at: g.latest, offset: g.rate - reference, variance: g.variance + 1/others, runs: g.count},
		})
	}
}

// groups returns the runs whose pace is known, by machine.
func (c *cohort) groups(expected float64, buffer *buffers) []group {
	readings := c.readings(buffer)
	slices.SortStableFunc(readings, func(a, b reading) int { return cmp.Compare(a.machine.number, b.machine.number) })
	groups := buffer.groups[:0]
	scatter := newScatterSum(expected)
	for len(readings) > 0 {
		end := 1
		for end < len(readings) && readings[end].machine == readings[0].machine {
			end++
		}
		groups = append(groups, newGroup(readings[:end], buffer))
		scatter.add(readings[:end], groups[len(groups)-1].rate)
		readings = readings[end:]
	}
	for i := range groups {
		groups[i].variance += groups[i].middleVariance(scatter.mean())
	}
	buffer.groups = groups
	return groups
}

func (c *cohort) readings(buffer *buffers) []reading {
	readings := buffer.readings[:0]
	for _, o := range c.runs {
		if o.reportedAt < o.machine.changedAt {
			continue
		}
		if rate, variance, ok := o.pace.measure(); ok {
			rate -= buffer.neighbours.correction(c.queue, &o.beside)
			readings = append(readings, reading{machine: o.machine, rate: rate, variance: variance, at: o.reportedAt})
		}
	}
	buffer.readings = readings
	return readings
}

// newGroup summarizes the readings of one machine. Its variance is that of rounding only.
func newGroup(readings []reading, buffer *buffers) group {
	if len(readings) > maxGroupRuns {
		slices.SortFunc(readings, func(a, b reading) int { return cmp.Compare(b.at, a.at) })
		readings = readings[:maxGroupRuns]
	}
	g := group{machine: readings[0].machine, count: len(readings)}
	rates := buffer.rates[:0]
	for _, r := range readings {
		rates = append(rates, r.rate)
		g.variance += r.variance
		g.latest = max(g.latest, r.at)
	}
	g.variance /= float64(g.count * g.count)
	g.rate, buffer.rates = median(rates), rates
	return g
}

// middleVariance returns the variance of the middle of the group's rates, given that of a single one.
func (g *group) middleVariance(single float64) float64 {
	variance := single / float64(g.count)
	if g.count >= 3 {
		variance *= medianLoss
	}
	return variance
}

// median returns the median of the values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// addElsewhere sets what other cohorts say about the machines. What the cohort itself has said is left out: a gang
// on slow machines only would otherwise confirm that they are all ordinary.
func (c *cohort) addElsewhere(groups []group) {
	next := 0
	for i := range groups {
		g := &groups[i]
		g.elsewhere, g.elsewhereVariance = g.machine.offset, g.machine.variance
		for next < len(c.results) && c.results[next].machine.number < g.machine.number {
			next++
		}
		if next < len(c.results) && c.results[next].machine == g.machine {
			g.elsewhere, g.elsewhereVariance = g.machine.without(c.results[next].comparison)
		}
	}
}

// workRate returns the logarithm of the rate that the group would have on an ordinary machine.
func (g *group) workRate() float64 { return g.rate - g.elsewhere }

// weighGroups sets the weights of the groups in the rate of their cohort. It begins at the median, so that
// outliers don't decide which groups count.
func weighGroups(groups []group, buffer *buffers) {
	rates := buffer.rates[:0]
	for i := range groups {
		rates = append(rates, groups[i].workRate())
	}
	center := median(rates)
	buffer.rates = rates
	for range centerRounds {
		var weights, sum float64
		for i := range groups {
			g := &groups[i]
			g.weight = tailWeight(g.variance+g.elsewhereVariance, g.workRate()-center)
			weights += g.weight
			sum += g.weight * g.workRate()
		}
		center = sum / weights
	}
}

// cautiousWeight is tailWeight without the part by which it exceeds 1/variance for values in the middle, for sums of weights that
// serve as a precision.
func cautiousWeight(variance, residual float64) float64 {
	return tailWeight(variance, residual) * tailFreedom / (tailFreedom + 1)
}

// tailWeight returns the weight of a value that differs by residual from the middle, for a distribution with
// long tails.
func tailWeight(variance, residual float64) float64 {
	return (tailFreedom + 1) / (tailFreedom*variance + residual*residual)
}
