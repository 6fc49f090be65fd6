package anvillead

import (
	"cmp"
	"slices"
	"sync"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// relayFresh is how long an instance that asked who leads counts as able to
	// pass calls on. Instances ask several times in that span.
	relayFresh = 3 * anvilclock.Second
	// relaysNamed bounds the instances that one answer names.
	relaysNamed = 8
)

// relays are the instances that pass calls on, as they ask who leads. The zero
// value is empty. A new leader knows them all within one interval of asking.
type relays struct {
	mu    sync.Mutex
	heard map[anvilid.InstanceID]anvilclock.Millis
}

// others notes that an instance asked and returns the ones that asked last
// besides it.
func (r *relays) others(now anvilclock.Millis, asking anvilid.InstanceID) []string {
	if asking == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = map[anvilid.InstanceID]anvilclock.Millis{}
	}
	r.heard[asking] = now
	var found []anvilid.InstanceID
	for instance, at := range r.heard {
		switch {
		case now-at > relayFresh:
			delete(r.heard, instance)
		case instance != asking:
			found = append(found, instance)
		}
	}
	slices.SortFunc(found, func(a, b anvilid.InstanceID) int {
		return cmp.Or(cmp.Compare(r.heard[b], r.heard[a]), cmp.Compare(a, b))
	})
	var names []string
	for _, instance := range found[:min(len(found), relaysNamed)] {
		names = append(names, string(instance))
	}
	return names
}
