package anvilguard

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// freeFields is the number of fields that any message may have.
	freeFields = 4096
	// minFieldBytes is how many bytes a field has on average in a message with more.
	minFieldBytes = 32
)

// fieldCounter counts the fields of a protobuf message that arrives in pieces. An empty element of a list takes two bytes in
// the message and up to a hundred in memory.
type fieldCounter struct {
	bytes, fields int
	// state says what the present varint is, value has its bits so far, and shift is the place of the next ones.
	state counterState
	value uint64
	shift uint
	skip  uint64 // the bytes of the present field that are left
}

type counterState int

const (
	readsTag counterState = iota
	readsVarint
	readsLength
)

// count takes the next piece of the message. The error is ErrTooLarge if the message has too many fields for its size.
func (f *fieldCounter) count(piece []byte) error {
	f.bytes += len(piece)
	for len(piece) > 0 {
		if f.skip > 0 {
			skipped := min(f.skip, uint64(len(piece)))
			f.skip -= skipped
			piece = piece[skipped:]
			continue
		}
		f.addByte(piece[0])
		piece = piece[1:]
	}
	if most := freeFields + f.bytes/minFieldBytes; f.fields > most {
		return fmt.Errorf("%w: the message has more than %d fields", ErrTooLarge, most)
	}
	return nil
}

// addByte takes the next byte of a varint.
func (f *fieldCounter) addByte(b byte) {
	f.value |= uint64(b&0x7f) << f.shift
	f.shift += 7
	if b&0x80 != 0 {
		return
	}
	value := f.value
	f.value, f.shift = 0, 0
	switch f.state {
	case readsLength:
		f.skip = value
		f.state = readsTag
	case readsVarint:
		f.state = readsTag
	case readsTag:
		f.fields++
		f.beginField(protowire.Type(value & 7))
	}
}

func (f *fieldCounter) beginField(kind protowire.Type) {
	switch kind {
	case protowire.VarintType:
		f.state = readsVarint
	case protowire.BytesType:
		f.state = readsLength
	case protowire.Fixed32Type:
		f.skip = 4
	case protowire.Fixed64Type:
		f.skip = 8
	}
}
