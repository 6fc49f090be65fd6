// Package anvilcodec encodes the values that are stored in the replicated log and in
// snapshots of the state.
package anvilcodec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encoder writes map keys in sorted order, so that equal values have equal bytes.
var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return mode
}

// decoder reads whatever Encode writes, of which the defaults of the library refuse some: arrays are limited to
// 131,072 elements, and a snapshot may contain 200,000 claims.
var decoder = mustDecoder()

const maxElements = 1 << 24

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// Some text comes from targets and may not be valid UTF-8. A committed entry that can't
		// be decoded would stop every replica.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return mode
}

// Decode parses a value that Encode wrote.
func Decode(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}

// Encode returns the canonical CBOR encoding of a value.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}
