package anvilraft

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encoder writes maps in sorted order, so that equal values have equal bytes.
var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the canonical CBOR form of a value of this package, such as a
// Message or an Entry.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte, value any) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}

// encodeMembers cannot fail: Members holds only strings and slices.
func encodeMembers(members Members) []byte {
	data, err := Encode(members)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeMembers(data []byte) (Members, error) {
	var members Members
	err := Decode(data, &members)
	return members, err
}
