package anvilburn

import "slices"

// sequenceRange is a range of batch sequence numbers, including both ends.
type sequenceRange struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
}

// sequenceSet is the set of the sequence numbers of received batches, stored as sorted ranges that
// neither overlap nor adjoin.
type sequenceSet []sequenceRange

// add adds a sequence number and returns false if the set already contains it. If the set has more
// than bound ranges, the gap between the two lowest ranges is closed. A batch that arrives so late
// that its number is in this gap is taken for a resend: its counts are lost, but no batch is ever
// counted twice.
func (r *sequenceSet) add(sequence uint64, bound int) bool {
	at, found := slices.BinarySearchFunc(*r, sequence, func(s sequenceRange, sequence uint64) int {
		switch {
		case s.To < sequence:
			return -1
		case s.From > sequence:
			return 1
		}
		return 0
	})
	if found {
		return false
	}
	list := slices.Insert(*r, at, sequenceRange{sequence, sequence})
	if at+1 < len(list) && list[at+1].From == sequence+1 {
		list[at].To = list[at+1].To
		list = slices.Delete(list, at+1, at+2)
	}
	if at > 0 && list[at-1].To+1 == sequence {
		list[at-1].To = list[at].To
		list = slices.Delete(list, at, at+1)
	}
	if len(list) > max(bound, 1) {
		list[0].To = list[1].To
		list = slices.Delete(list, 1, 2)
	}
	*r = list
	return true
}
