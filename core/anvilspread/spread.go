// Package anvilspread divides the targets among the instances to which they announce themselves.
//
// The load it answers: targets keep a connection each and announce themselves every one or two seconds. With a few
// thousand of them, all at the leader, they exceed its share of connections; each new connection then closes another
// one, whose target connects again, and the reconnects take the processor time that the replicated log needs.
package anvilspread

import (
	"cmp"
	"hash/fnv"
	"slices"

	"anvilshunt/core/anvilid"
)

// sharePercent is the part of the inbound connections of an instance that targets may hold. The others are left to
// callers, other instances, operators, and targets that have just been sent elsewhere.
const sharePercent = 75

// Division tells which instance holds which target.
type Division struct {
	holders []anvilid.InstanceID // not empty
}

// Among returns the division of the targets among given holders, of which there must be at least one.
func Among(holders ...anvilid.InstanceID) Division { return Division{slices.Clone(holders)} }

// Divide divides a number of targets among the leader and other voters that it reaches, each of which can hold inbound
// connections. As long as the leader's share suffices it holds all of them, as an announcement then needs no further
// call. Beyond that, the others hold them and leave the leader's processor to the log, and the leader joins in only if
// their shares don't suffice.
func Divide(leader anvilid.InstanceID, others []anvilid.InstanceID, targets, inbound int) Division {
	if LeaderSuffices(targets, inbound) || len(others) == 0 {
		return Among(leader)
	}
	d := Among(others...)
	if targets > share(inbound)*len(others) {
		d.holders = append(d.holders, leader)
	}
	return d
}

// LeaderSuffices reports whether the leader alone can hold a number of targets, so that the other voters don't matter.
func LeaderSuffices(targets, inbound int) bool { return targets <= share(inbound) }

// share returns the number of inbound connections of an instance that targets may hold.
func share(inbound int) int { return inbound * sharePercent / 100 }

// Holders returns the instances that hold targets.
func (d Division) Holders() []anvilid.InstanceID { return d.holders }

// Holder returns the instance to which a target announces itself. If an instance joins or is lost, only targets that
// it gets or had change their holder.
func (d Division) Holder(target anvilid.TargetID) anvilid.InstanceID {
	return slices.MaxFunc(d.holders, func(a, b anvilid.InstanceID) int {
		return cmp.Compare(weight(a, target), weight(b, target))
	})
}

// weight is the weight of an instance for a target in rendezvous hashing.
func weight(instance anvilid.InstanceID, target anvilid.TargetID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(instance))
	return mix(hash.Sum64())
}

// mix spreads the influence of the last bytes over the whole value, as the names of instances often differ in these only.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
