package anvillead

import (
	"cmp"
	"slices"
	"sync"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// relayTTL is how long an instance is considered able to relay calls after
	// its last request for the leader. Instances send several such requests in
	// that time.
	relayTTL = 3 * anvilclock.Second
	// maxRelays bounds the number of relays in one answer.
	maxRelays = 8
)

// relays is the set of instances that can relay calls to the leader. An instance
// enters it by asking for the leader, so a new leader knows all of them after
// one interval of these requests. The zero value is an empty set.
type relays struct {
	mu          sync.Mutex
	lastRequest map[anvilid.InstanceID]anvilclock.Millis
}

// refresh records a request of an instance and returns the other instances,
// those with the most recent requests first.
func (r *relays) refresh(now anvilclock.Millis, requester anvilid.InstanceID) []string {
	if requester == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastRequest == nil {
		r.lastRequest = map[anvilid.InstanceID]anvilclock.Millis{}
	}
	r.lastRequest[requester] = now
	var found []anvilid.InstanceID
	for instance, at := range r.lastRequest {
		switch {
		case now-at > relayTTL:
			delete(r.lastRequest, instance)
		case instance != requester:
			found = append(found, instance)
		}
	}
	slices.SortFunc(found, func(a, b anvilid.InstanceID) int {
		return cmp.Or(cmp.Compare(r.lastRequest[b], r.lastRequest[a]), cmp.Compare(a, b))
	})
	var names []string
	for _, instance := range found[:min(len(found), maxRelays)] {
		names = append(names, string(instance))
	}
	return names
}
