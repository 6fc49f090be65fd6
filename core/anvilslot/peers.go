package anvilslot

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// trialAfter is the age of the news of a full peer after which one request
// is forwarded to it nevertheless. Slots turn over much faster than load is
// exchanged, and the reply tells the peer's free slots.
const trialAfter = 10 * anvilclock.Millisecond

// PeerSelector chooses the peer that a request is forwarded to, from the free slots
// that peers made known with their load and with the reply to each forwarded
// request. It is not safe for concurrent use.
type PeerSelector struct {
	random   *rand.Rand
	services map[anvilid.ServiceName][]peer
}

type peer struct {
	id    anvilid.InstanceID
	free  anvilid.SlotCount // less what was forwarded since
	heard anvilclock.Millis
}

// NewPeerSelector returns an empty set. The seed decides between peers.
func NewPeerSelector(seed uint64) *PeerSelector {
	return &PeerSelector{random: rand.New(rand.NewPCG(seed, seed)), services: map[anvilid.ServiceName][]peer{}}
}

// UpdateFreeSlots notes the free slots of a peer. Call it for each exchanged load and
// for each reply of the peer.
func (p *PeerSelector) UpdateFreeSlots(now anvilclock.Millis, id anvilid.InstanceID, service anvilid.ServiceName, free anvilid.SlotCount) {
	peers := p.services[service]
	i, ok := slices.BinarySearchFunc(peers, id, func(a peer, id anvilid.InstanceID) int { return cmp.Compare(a.id, id) })
	if !ok {
		peers = slices.Insert(peers, i, peer{id: id})
		p.services[service] = peers
	}
	peers[i].free, peers[i].heard = max(0, free), now
}

// Remove removes a peer.
func (p *PeerSelector) Remove(id anvilid.InstanceID) {
	for service, peers := range p.services {
		p.services[service] = slices.DeleteFunc(peers, func(a peer) bool { return a.id == id })
	}
}

// Pick chooses a peer at random, with odds by its known free slots. If none
// is known to have any, it chooses the one heard of longest ago, unless that
// is too recent.
func (p *PeerSelector) Pick(now anvilclock.Millis, service anvilid.ServiceName) (anvilid.InstanceID, bool) {
	peers := p.services[service]
	sum, oldest := anvilid.SlotCount(0), -1
	for i := range peers {
		sum += peers[i].free
		if oldest < 0 || peers[i].heard < peers[oldest].heard {
			oldest = i
		}
	}
	if sum > 0 {
		at := anvilid.SlotCount(p.random.IntN(int(sum)))
		for i := range peers {
			if at -= peers[i].free; at < 0 {
				peers[i].free--
				return peers[i].id, true
			}
		}
	}
	if oldest < 0 || now-peers[oldest].heard < trialAfter {
		return "", false
	}
	peers[oldest].heard = now
	return peers[oldest].id, true
}
