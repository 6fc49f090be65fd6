package anvilspeed

import (
	"math"
	"math/rand/v2"
	"testing"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// benchMachines is the number of machines of the largest deployment that is planned for.
const benchMachines = 29_000

// largeSamples returns one report of each run of a large deployment: on each machine four tasks of wide steps and one
// member of a gang of five.
func largeSamples() ([]Sample, []float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var samples []Sample
	var rates []float64
	for i := range 5 * benchMachines {
		s := Sample{Machine: machineName(i % benchMachines), Run: 1, Task: anvilwork.Task{Index: i % 40}}
		s.Gang = i >= 4*benchMachines
		width := 40
		if s.Gang {
			width = 5
		}
		s.Task.Job, s.Task.Index = anvilid.JobID("j"+string(machineName(i/width+i/(4*benchMachines)*benchMachines))), i%width
		samples = append(samples, s)
		rates = append(rates, 5*threeSpeeds(i%benchMachines)*math.Exp(0.3*random.NormFloat64()))
	}
	return samples, rates
}

// reportAll reports the progress of all runs after a number of seconds, in a cycle of ten.
func reportAll(e *Estimator, samples []Sample, rates []float64, second int) {
	for i := range samples {
		samples[i].Percent = min(int(rates[i]*float64(second%10)), 99)
		samples[i].At = anvilclock.Millis(second) * anvilclock.Second
		e.Observe(anvilclock.Millis(second)*anvilclock.Second, samples[i])
	}
}

// BenchmarkObserve measures a report of one run on a large deployment.
func BenchmarkObserve(b *testing.B) {
	e := NewEstimator()
	samples, rates := largeSamples()
	for second := 1; b.Loop(); second++ {
		reportAll(e, samples, rates, second)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(samples)), "ns/report")
}

// BenchmarkFit measures an estimate of all speeds of a large deployment.
func BenchmarkFit(b *testing.B) {
	e := NewEstimator()
	samples, rates := largeSamples()
	for second := 1; second < 8; second++ {
		reportAll(e, samples, rates, second)
	}
	for now := 10 * anvilclock.Second; b.Loop(); now += 10 * anvilclock.Second {
		e.Fit(now)
	}
	b.ReportMetric(float64(e.Counts().Compared), "machines")
}
