package anvilwork

import "math"

// UnorderedSequence marks an announcement that counts whatever number the record has, and that any later one
// replaces. The leader sets it if the number of the record doesn't count any more; Check refuses it from
// targets.
const UnorderedSequence uint64 = math.MaxUint64

// sentBefore reports whether an announcement was sent before the one that the record of the same incarnation
// is from. Announcements may overtake each other on their way. One without a sequence number counts as the
// earliest. A record whose number no target can reach has no place in the order.
func (t *Target) sentBefore(record *Target) bool {
	return record.Sequence <= maxSequence && t.Sequence < record.Sequence
}

// updatedBy returns the record of a target after an announcement of the same incarnation. Of one that was sent
// before the latest one, only the notice that the target leaves counts, which a target never takes back.
func (t *Target) updatedBy(announced Target) Target {
	updated := announced
	if announced.sentBefore(t) {
		updated = *t
	}
	updated.Cursor, updated.RegisteredAt, updated.LeavesAt = t.Cursor, t.RegisteredAt, t.LeavesAt
	updated.DepartedAt, updated.Displaced, updated.Silence = t.DepartedAt, t.Displaced, t.Silence
	updated.Leaving = t.Leaving || announced.Leaving
	if announced.Leaving && (!t.Leaving || !announced.sentBefore(t)) {
		updated.LeavesAt = announced.LeavesAt
	}
	return updated
}

// IsOutdated reports whether the record of a target is from a later announcement of the same incarnation.
func (s *State) IsOutdated(announced Target) bool {
	known, ok := s.targets[announced.ID]
	return ok && known.Incarnation == announced.Incarnation && announced.sentBefore(known)
}
