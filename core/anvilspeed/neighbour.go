package anvilspeed

import (
	"cmp"
	"math"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// maxQueues is the number of queues whose effects on each other are learnt. The first ones with runs count, until
	// they have had none for evidenceHalfLife.
	maxQueues = 32
	// maxNeighbourRuns bounds the runs from which effects are learnt in one fit.
	maxNeighbourRuns = 20_000
	// effectSpread is the standard deviation of the logarithms of effects that is expected before any is measured.
	effectSpread = 0.3
	// minEffect is the smallest slowdown, as a logarithm, that counts.
	minEffect = 0.1
	// minEffectMachines is the number of machines on which a slowdown must have been measured.
	minEffectMachines = 8
	// falseEffects is the share of pairs that may be found although they have no effect. It is smaller than that of machines,
	// as a pair concerns many machines.
	falseEffects = 0.01
	// effectInterval is how often the evidence of the present runs is added to that of earlier ones. Runs that ended
	// longer ago are left out of the present ones.
	effectInterval = 20 * anvilclock.Second
	// effectHalfLife is the age at which evidence of earlier runs counts half. Effects change with what runs at the time.
	effectHalfLife = 20 * anvilclock.Second
	// effectContradiction is the difference from earlier evidence, in standard errors, from which on that is dropped.
	effectContradiction = 2.5
)

// Effect is how the runs of a queue change the speed of runs of another one on the same machine.
type Effect struct {
	// Victim is the queue whose runs change their speed, and Beside the queue that has runs beside them.
	Victim, Beside anvilwork.QueueName
	// Factor is the speed beside runs of the other queue, relative to that without them.
	Factor Factor
	// Error is the standard error of the natural logarithm of Factor.
	Error float64
	// Machines is the number of machines on which it was measured.
	Machines int
	// Slows means that the effect is a slowdown by more than its error.
	Slows bool
}

// effect is the evidence about a pair of queues.
type effect struct {
	// present is what the present runs show, and kept what earlier ones have shown.
	present, kept comparison
	// offset and variance are the estimate from both.
	offset, variance float64
	slows            bool
}

// neighbours learns which queues slow each other down. Runs of a queue on one machine are compared with and without runs of
// the other queue beside them, so that the speed of the machine cancels out. A long task is as likely in either case.
type neighbours struct {
	queues   []anvilwork.QueueName
	seenAt   []anvilclock.Millis
	position map[anvilwork.QueueName]int
	effects  [maxQueues][maxQueues]effect
	keptAt   anvilclock.Millis
	// slows is the number of pairs that are known to slow each other down.
	slows int
	// runs is memory that is used again in each fit.
	runs []neighbourRun
}

// neighbourRun is a run with what its pace says about its neighbours.
type neighbourRun struct {
	machine uint64
	queue   int
	beside  *exposures
	// residual is the logarithm of its rate relative to that of its cohort.
	residual, weight float64
}

// positionOf returns the position of a queue in the table, or -1 if the table is full of others.
func (n *neighbours) positionOf(now anvilclock.Millis, queue anvilwork.QueueName) int {
	if at, known := n.position[queue]; known {
		n.seenAt[at] = now
		return at
	}
	if n.position == nil {
		n.position = map[anvilwork.QueueName]int{}
	}
	at := len(n.queues)
	if at < maxQueues {
		n.queues, n.seenAt = append(n.queues, queue), append(n.seenAt, now)
	} else if at = slices.IndexFunc(n.seenAt, func(seen anvilclock.Millis) bool { return now-seen > evidenceHalfLife }); at < 0 {
		return -1
	} else {
		delete(n.position, n.queues[at])
		n.forget(at)
		n.queues[at], n.seenAt[at] = queue, now
	}
	n.position[queue] = at
	return at
}

// forget removes the evidence about the queue at a position.
func (n *neighbours) forget(at int) {
	for other := range maxQueues {
		n.effects[at][other], n.effects[other][at] = effect{}, effect{}
	}
}

// setOf returns the set of queues.
func (n *neighbours) setOf(now anvilclock.Millis, queues []anvilwork.QueueName) queueSet {
	var set queueSet
	for _, queue := range queues {
		if at := n.positionOf(now, queue); at >= 0 {
			set |= 1 << at
		}
	}
	return set
}

// correction returns the logarithm of the slowdown of a run of the queue at a position by those beside it.
func (n *neighbours) correction(queue int, beside *exposures) float64 {
	if queue < 0 || n.slows == 0 {
		return 0
	}
	sum := 0.0
	for other := range n.queues {
		if e := &n.effects[queue][other]; e.slows {
			sum += e.offset * beside.share(other)
		}
	}
	return sum
}

// fit estimates the effects anew from the runs of the cohorts.
func (n *neighbours) fit(now anvilclock.Millis, cohorts []*cohort) {
	n.collect(now, cohorts)
	slices.SortFunc(n.runs, func(a, b neighbourRun) int {
		return cmp.Or(cmp.Compare(a.machine, b.machine), cmp.Compare(a.queue, b.queue))
	})
	var sums [maxQueues][maxQueues]contrastSum
	for runs := n.runs; len(runs) > 0; {
		end := 1
		for end < len(runs) && runs[end].machine == runs[0].machine && runs[end].queue == runs[0].queue {
			end++
		}
		n.contrast(runs[:end], &sums[runs[0].queue])
		runs = runs[end:]
	}
	n.update(now, &sums)
}

// collect gathers the runs whose pace is known, of some of the machines if there are too many.
func (n *neighbours) collect(now anvilclock.Millis, cohorts []*cohort) {
	n.runs = n.runs[:0]
	total := 0
	for _, c := range cohorts {
		total += len(c.runs)
	}
	every := uint64(total/maxNeighbourRuns + 1)
	for _, c := range cohorts {
		if c.kind == reruns || c.queue < 0 {
			continue
		}
		for _, o := range c.runs {
			if o.machine.number%every == 0 && o.reportedAt >= max(o.machine.changedAt, now-effectInterval) {
				n.add(c, o)
			}
		}
	}
}

func (n *neighbours) add(c *cohort, o *observation) {
	rate, variance, ok := o.pace.measure()
	if !ok {
		return
	}
	at, found := slices.BinarySearchFunc(c.results, o.machine.number, func(r result, number uint64) int {
		return cmp.Compare(r.machine.number, number)
	})
	if !found {
		return
	}
	r := &c.results[at]
	n.runs = append(n.runs, neighbourRun{
		machine: o.machine.number, queue: c.queue, beside: &o.beside,
		residual: rate - r.reference, weight: cautiousWeight(variance+r.single, rate-r.reference-o.machine.offset),
	})
}

// contrastSum sums the contrasts of one pair of queues.
type contrastSum struct {
	weights, sum float64
	machines     int
}

// contrast relates the rates of the runs of one queue on one machine to the share of their time in which each other queue had
// runs beside them.
func (n *neighbours) contrast(runs []neighbourRun, sums *[maxQueues]contrastSum) {
	if len(runs) < 2 {
		return
	}
	for other := range n.queues {
		var line regression
		for i := range runs {
			line.add(runs[i].beside.share(other), runs[i].residual, runs[i].weight)
		}
		slope, variance, ok := line.slope()
		if !ok {
			continue
		}
		weight := cautiousWeight(variance, slope-n.effects[runs[0].queue][other].offset)
		sums[other].weights += weight
		sums[other].sum += weight * slope
		sums[other].machines++
	}
}

// update combines what the present runs show with what was kept, and finds the pairs that slow each other down.
func (n *neighbours) update(now anvilclock.Millis, sums *[maxQueues][maxQueues]contrastSum) {
	var scores []float64
	for a := range n.queues {
		for b := range n.queues {
			e := &n.effects[a][b]
			e.present = sums[a][b].comparison(now)
			e.estimate(now)
			if e.measured() {
				scores = append(scores, e.score())
			}
		}
	}
	limit := scoreLimit(scores, falseEffects)
	n.slows = 0
	keeps := now-n.keptAt >= effectInterval
	for a := range n.queues {
		for b := range n.queues {
			e := &n.effects[a][b]
			e.slows = e.measured() && e.score() >= limit && e.offset <= -minEffect
			if e.slows {
				n.slows++
			}
			if keeps {
				e.keep(now)
			}
		}
	}
	if keeps {
		n.keptAt = now
	}
}

func (s *contrastSum) comparison(now anvilclock.Millis) comparison {
	if s.machines == 0 {
		return comparison{}
	}
	return comparison{at: now, offset: s.sum / s.weights, variance: 1 / s.weights, runs: s.machines}
}

// estimate combines the evidence. What was kept is dropped if the present runs contradict it.
func (e *effect) estimate(now anvilclock.Millis) {
	if e.kept.runs > 0 && e.present.runs >= minEffectMachines {
		difference := e.present.offset - e.kept.offset
		if difference*difference > effectContradiction*effectContradiction*(e.present.variance+e.keptVariance(now)) {
			e.kept = comparison{}
		}
	}
	weights, sum := 1/(effectSpread*effectSpread), 0.0
	if e.present.runs > 0 {
		weights += 1 / e.present.variance
		sum += e.present.offset / e.present.variance
	}
	if e.kept.runs > 0 {
		weights += 1 / e.keptVariance(now)
		sum += e.kept.offset / e.keptVariance(now)
	}
	e.offset, e.variance = sum/weights, 1/weights
}

// keep adds the evidence of the present runs, which will have ended too long ago at the next time, to that of earlier ones.
func (e *effect) keep(now anvilclock.Millis) {
	if e.present.runs == 0 {
		return
	}
	if e.kept.runs == 0 {
		e.kept = e.present
		return
	}
	earlier := 1 / e.keptVariance(now)
	present := 1 / e.present.variance
	e.kept = comparison{
		at: now, offset: (e.kept.offset*earlier + e.present.offset*present) / (earlier + present),
		variance: 1 / (earlier + present), runs: max(e.kept.runs, e.present.runs),
	}
}

// keptVariance returns the variance of the kept evidence, which grows with its age.
func (e *effect) keptVariance(now anvilclock.Millis) float64 {
	return e.kept.variance * math.Exp2(float64(now-e.kept.at)/float64(effectHalfLife))
}

// measured reports whether the effect was measured on enough machines.
func (e *effect) measured() bool { return max(e.present.runs, e.kept.runs) >= minEffectMachines }

func (e *effect) score() float64 { return math.Abs(e.offset) / math.Sqrt(e.variance) }

// Effects returns what is known of pairs of queues that was measured on enough machines.
func (e *Estimator) Effects() []Effect {
	var effects []Effect
	n := &e.neighbours
	for a, victim := range n.queues {
		for b, beside := range n.queues {
			known := &n.effects[a][b]
			if !known.measured() {
				continue
			}
			effects = append(effects, Effect{
				Victim: victim, Beside: beside, Factor: Factor(math.Exp(known.offset)), Error: math.Sqrt(known.variance),
				Machines: max(known.present.runs, known.kept.runs), Slows: known.slows,
			})
		}
	}
	return effects
}

// AnySlows reports whether any queue is known to slow down another one.
func (e *Estimator) AnySlows() bool { return e.neighbours.slows > 0 }

// Slows reports whether runs of a queue are known to slow down those of another one (victim) on the same machine.
func (e *Estimator) Slows(victim, beside anvilwork.QueueName) bool {
	a, known := e.neighbours.position[victim]
	b, alsoKnown := e.neighbours.position[beside]
	return known && alsoKnown && e.neighbours.effects[a][b].slows
}
