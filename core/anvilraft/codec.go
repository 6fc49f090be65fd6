package anvilraft

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"anvilshunt/core/anvilcodec"
)

// Encode returns the canonical CBOR form of a value of this package, such as a
// Message or an Entry.
func Encode(value any) ([]byte, error) {
	return anvilcodec.Encode(value)
}

// Decode decodes the output of Encode into value.
func Decode(data []byte, value any) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}

// encodeMembers encodes a member list. This cannot fail, because Members contains only
// strings and slices.
func encodeMembers(members Members) []byte {
	data, err := Encode(members)
	if err != nil {
		panic(err)
	}
	return data
}

// encodeEntry encodes an entry. This cannot fail, because Entry contains only numbers and bytes.
func encodeEntry(entry Entry) []byte {
	data, err := Encode(entry)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeEntry(data []byte) (Entry, error) {
	var entry Entry
	err := Decode(data, &entry)
	return entry, err
}

func decodeMembers(data []byte) (Members, error) {
	var members Members
	err := Decode(data, &members)
	return members, err
}
