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

// Encode returns the canonical CBOR encoding of a value.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}
