// Package anvilcodec encodes values of the replicated log and state.
package anvilcodec

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

// Encode returns the canonical CBOR form of a value.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}
