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
	// its last Locate call. Instances make several Locate calls in that time.
	relayTTL = 3 * anvilclock.Second
	// maxRelays bounds the number of relays in one answer.
	maxRelays = 8
)

// relays is the set of instances through which other instances can send calls to
// the leader when they cannot reach it directly. An instance is added when it
// makes a Locate call. All instances repeat this call, so a new leader knows all of
// them after one interval of these calls. The zero value is an empty set.
type relays struct {
	mu          sync.Mutex
	lastRequest map[anvilid.InstanceID]anvilclock.Millis
}

// refresh records a Locate call of an instance and returns up to maxRelays other
// instances that can relay calls, those with the most recent calls first.
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
