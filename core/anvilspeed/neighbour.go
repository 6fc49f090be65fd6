package anvilspeed

import (
	"math"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// maxQueues is the number of queues whose effects on each other are learnt. The first ones with runs count, until
	// they have had none for evidenceHalfLife.
	maxQueues = 32
	// effectSpread is the standard deviation of the logarithms of effects that is expected before any is measured.
	effectSpread = 0.3
	// minEffect is the smallest slowdown, as a logarithm, that counts.
	minEffect = 0.1
	// minEffectRuns is the number of runs that must show an effect.
	minEffectRuns = 12
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
	// Runs is the number of runs that show it.
	Runs int
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

// neighbours learns which queues slow each other down, from runs whose neighbours change while they run.
type neighbours struct {
	queues   []anvilwork.QueueName
	seenAt   []anvilclock.Millis
	position map[anvilwork.QueueName]int
	effects  [maxQueues][maxQueues]effect
	keptAt   anvilclock.Millis
	// slows is the number of pairs that are known to slow each other down.
	slows int
	// corrects is set by Estimator.CorrectNeighbours.
	corrects bool
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
	if queue < 0 || n.slows == 0 || !n.corrects {
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

// contrastSum sums the effects that runs have shown for one pair of queues.
type contrastSum struct {
	weights, sum float64
	runs         int
}

// fit estimates the effects anew from the runs of the cohorts that were reported of late.
func (n *neighbours) fit(now anvilclock.Millis, cohorts []*cohort) {
	var sums [maxQueues][maxQueues]contrastSum
	for _, c := range cohorts {
		if c.kind == reruns || c.queue < 0 {
			continue
		}
		for _, o := range c.runs {
			if o.reportedAt >= now-effectInterval {
				n.addRun(c.queue, &o.beside, &sums[c.queue])
			}
		}
	}
	n.update(now, &sums)
}

// addRun adds the effects that one run has shown.
func (n *neighbours) addRun(queue int, beside *exposures, sums *[maxQueues]contrastSum) {
	for _, q := range beside.queues {
		slope, variance, ok := beside.slope(q)
		if !ok {
			continue
		}
		weight := cautiousWeight(variance, slope-n.effects[queue][q.queue].offset)
		sums[q.queue].weights += weight
		sums[q.queue].sum += weight * slope
		sums[q.queue].runs++
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
	if s.runs == 0 {
		return comparison{}
	}
	return comparison{at: now, offset: s.sum / s.weights, variance: 1 / s.weights, runs: s.runs}
}

// estimate combines the evidence. What was kept is dropped if the present runs contradict it.
func (e *effect) estimate(now anvilclock.Millis) {
	if e.kept.runs > 0 && e.present.runs >= minEffectRuns {
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

// measured reports whether the effect was shown by enough runs.
func (e *effect) measured() bool { return max(e.present.runs, e.kept.runs) >= minEffectRuns }

func (e *effect) score() float64 { return math.Abs(e.offset) / math.Sqrt(e.variance) }

// Effects returns what is known of pairs of queues that was shown by enough runs.
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
				Runs: max(known.present.runs, known.kept.runs), Slows: known.slows,
			})
		}
	}
	return effects
}

// CorrectNeighbours lets the effects of neighbours be taken out of the rates of runs before machines are compared. Without
// it, pairs of queues are only found: a pair that is found falsely would also change the speeds of machines.
func (e *Estimator) CorrectNeighbours() { e.neighbours.corrects = true }

// AnySlows reports whether any queue is known to slow down another one.
func (e *Estimator) AnySlows() bool { return e.neighbours.slows > 0 }

// Slows reports whether runs of a queue are known to slow down those of another one (victim) on the same machine.
func (e *Estimator) Slows(victim, beside anvilwork.QueueName) bool {
	a, known := e.neighbours.position[victim]
	b, alsoKnown := e.neighbours.position[beside]
	return known && alsoKnown && e.neighbours.effects[a][b].slows
}
