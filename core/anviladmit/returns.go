package anviladmit

import "anvilshunt/core/anvilclock"

// maxReturnsPerSecond is how many callers one instance tells to come back in the same second, unless all seconds are full. The
// unit of the delay that callers are given is a second.
const maxReturnsPerSecond = 20

// Returns spreads the times at which refused callers come back: it counts how many were sent to each second.
type Returns struct {
	first  anvilclock.Millis // the second that counts[0] is about
	counts []int
}

// Delay returns the delay until a caller that is refused at the time now should come back: at least shortest,
// and longer by whole seconds, up to longest, if many callers come back earlier.
func (r *Returns) Delay(now, shortest, longest anvilclock.Millis) anvilclock.Millis {
	r.forget(now)
	delay := shortest
	for delay+anvilclock.Second <= longest && r.at(now+delay) >= maxReturnsPerSecond {
		delay += anvilclock.Second
	}
	r.add(now + delay)
	return delay
}

// forget discards the seconds that have passed.
func (r *Returns) forget(now anvilclock.Millis) {
	passed := int((now - r.first) / anvilclock.Second)
	if passed <= 0 {
		return
	}
	r.first += anvilclock.Millis(passed) * anvilclock.Second
	r.counts = r.counts[min(passed, len(r.counts)):]
}

func (r *Returns) at(t anvilclock.Millis) int {
	if i := r.index(t); i < len(r.counts) {
		return r.counts[i]
	}
	return 0
}

func (r *Returns) add(t anvilclock.Millis) {
	i := r.index(t)
	for len(r.counts) <= i {
		r.counts = append(r.counts, 0)
	}
	r.counts[i]++
}

func (r *Returns) index(t anvilclock.Millis) int { return int((t - r.first) / anvilclock.Second) }
