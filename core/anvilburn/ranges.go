package anvilburn

import "slices"

// span is a run of sequences, both ends included.
type span struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
}

// ranges is a set of sequences as sorted runs that don't touch.
type ranges []span

// add adds a sequence and returns false if the set has it. Beyond the bound
// the gap between the two lowest runs closes: a batch that is so late is taken
// for a resend, which loses its counts and never counts them twice.
func (r *ranges) add(sequence uint64, bound int) bool {
	at, found := slices.BinarySearchFunc(*r, sequence, func(s span, sequence uint64) int {
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
	list := slices.Insert(*r, at, span{sequence, sequence})
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
