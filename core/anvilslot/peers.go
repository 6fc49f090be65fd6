package anvilslot

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// fullPeerRetryInterval is the time after which a peer that last reported no free slots is sent one
// request all the same. By then it may have free slots, because slots are released much more often
// than peers exchange their load. The reply to the request contains the current number.
const fullPeerRetryInterval = 10 * anvilclock.Millisecond

// PeerSelector selects the peer to which a request is forwarded. It uses the numbers of free slots
// that peers send with their load and with the reply to each forwarded request. It is not safe for
// concurrent use.
type PeerSelector struct {
	random   *rand.Rand
	services map[anvilid.ServiceName][]peer
}

type peer struct {
	id      anvilid.InstanceID
	free    anvilid.SlotCount // free slots that the peer last reported, less the requests forwarded since
	updated anvilclock.Millis // when free was last reported, or when the latest request was sent without free slots
}

// NewPeerSelector returns an empty selector. The seed initializes the random selection.
func NewPeerSelector(seed uint64) *PeerSelector {
	return &PeerSelector{random: rand.New(rand.NewPCG(seed, seed)), services: map[anvilid.ServiceName][]peer{}}
}

// UpdateFreeSlots records the free slots of a peer. Call it for each load received from the peer
// and for each of its replies.
func (p *PeerSelector) UpdateFreeSlots(now anvilclock.Millis, id anvilid.InstanceID, service anvilid.ServiceName, free anvilid.SlotCount) {
	peers := p.services[service]
	i, ok := slices.BinarySearchFunc(peers, id, func(a peer, id anvilid.InstanceID) int { return cmp.Compare(a.id, id) })
	if !ok {
		peers = slices.Insert(peers, i, peer{id: id})
		p.services[service] = peers
	}
	peers[i].free, peers[i].updated = max(0, free), now
}

// Remove removes a peer, for all services, so that Pick no longer selects the peer.
func (p *PeerSelector) Remove(id anvilid.InstanceID) {
	for service, peers := range p.services {
		p.services[service] = slices.DeleteFunc(peers, func(a peer) bool { return a.id == id })
	}
}

// Pick selects a peer at random, with a probability proportional to its known free slots. If no
// peer is known to have free slots, it selects the peer whose latest report is the oldest, provided
// that the report is at least fullPeerRetryInterval old. Otherwise it returns false.
func (p *PeerSelector) Pick(now anvilclock.Millis, service anvilid.ServiceName) (anvilid.InstanceID, bool) {
	peers := p.services[service]
	totalFree, oldest := anvilid.SlotCount(0), -1
	for i := range peers {
		totalFree += peers[i].free
		if oldest < 0 || peers[i].updated < peers[oldest].updated {
			oldest = i
		}
	}
	if totalFree > 0 {
		draw := anvilid.SlotCount(p.random.IntN(int(totalFree)))
		for i := range peers {
			if draw -= peers[i].free; draw < 0 {
				peers[i].free--
				return peers[i].id, true
			}
		}
	}
	if oldest < 0 || now-peers[oldest].updated < fullPeerRetryInterval {
		return "", false
	}
	peers[oldest].updated = now
	return peers[oldest].id, true
}
