package anvillead

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
)

// Guards against a negative waiting time in the log event of a job that was
// cancelled before its first run.
func TestWaited(t *testing.T) {
	job := &anvilwork.Job{Accepted: 1_000_000, Ended: 1_000_212}
	assert.Equal(t, waited(job, 0), anvilclock.Millis(212))
	assert.Equal(t, waited(job, 1_000_040), anvilclock.Millis(40))
}

// TestFullResultQueue guards against the result of a call that is dropped because the goroutine of the term is busy:
// a poll would stay in flight for the rest of the term, and each start that waits for an answer of its target with it.
// It also guards against calls that wait for a term that has ended.
func TestFullResultQueue(t *testing.T) {
	for _, c := range []struct {
		name        string
		ended       bool
		wantHandled int
	}{{"busy", false, 3}, {"ended", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &leadership{callResults: make(chan func(anvilclock.Millis) anvilorder.Effects, 1), ended: make(chan struct{})}
				handled := 0
				for range 3 {
					go r.enqueueResult(func(anvilclock.Millis) anvilorder.Effects {
						handled++
						return anvilorder.Effects{}
					})
				}
				synctest.Wait()
				if c.ended {
					close(r.ended)
					synctest.Wait()
				}
				for len(r.callResults) > 0 {
					(<-r.callResults)(0)
					synctest.Wait()
				}
				assert.Equal(t, handled, c.wantHandled)
			})
		})
	}
}
