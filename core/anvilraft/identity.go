package anvilraft

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// StorageID identifies a data directory. It is a random value chosen when the directory is
// created.
type StorageID string

// GroupID identifies one replicated log. It is chosen at random when the log is created and
// when ForceSoleVoter is used. Voters of different groups ignore each other.
type GroupID uint64

// VoterID identifies a member of the group: an instance together with its data directory.
// An instance that restarts with an empty disk has another StorageID, and is never counted
// as the member that it was before.
type VoterID struct {
	Instance anvilid.InstanceID `cbor:"1,keyasint" json:"instance"`
	Storage  StorageID          `cbor:"2,keyasint" json:"storage"`
}

// IsZero reports whether v is the zero value, which identifies no member.
func (v VoterID) IsZero() bool { return v == VoterID{} }

// String returns "instance/storage".
func (v VoterID) String() string { return string(v.Instance) + "/" + string(v.Storage) }

// Compare orders ids by instance, then storage.
func (v VoterID) Compare(other VoterID) int {
	return cmp.Or(cmp.Compare(v.Instance, other.Instance), cmp.Compare(v.Storage, other.Storage))
}

// Members is the membership of the group. Both lists are sorted, and no member is in both.
// A Members value is never changed in place.
type Members struct {
	Voters []VoterID `cbor:"1,keyasint" json:"voters"`
	// Learners receive the log but have no vote.
	Learners []VoterID `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
	// Forced is set by ForceSoleVoter: the list before has no say in the change to this one.
	Forced bool `cbor:"3,keyasint,omitempty" json:"forced,omitempty"`
	// Lost are the voters that are marked as lost, see ChangeVoters.Lost. Their votes and acknowledgements don't count, but they
	// are still voters, so that the quorum stays the same.
	Lost []VoterID `cbor:"4,keyasint,omitempty" json:"lost,omitempty"`
	// Successors are the present storages of instances of marked voters, at most one for each mark. Their votes count in elections,
	// see votingSuccessors.
	Successors []VoterID `cbor:"5,keyasint,omitempty" json:"successors,omitempty"`
}

// IsVoter reports whether id has a vote.
func (m Members) IsVoter(id VoterID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id receives the log without a vote.
func (m Members) IsLearner(id VoterID) bool { return slices.Contains(m.Learners, id) }

// IsLost reports whether id is a voter that is marked as lost.
func (m Members) IsLost(id VoterID) bool { return slices.Contains(m.Lost, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id VoterID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the smallest number of voters that is a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// SpareMarks returns how many further voters can be marked as lost so that the others are still a quorum.
func (m Members) SpareMarks() int { return max(0, len(m.Voters)-m.Quorum()-len(m.Lost)) }
