package anvilstate

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encoder writes maps in sorted order, so that equal values have equal bytes.
var encoder = mustEncoder()

// decoder accepts the large arrays of snapshots. The default limit is 131,072
// elements, and a snapshot may hold 200,000 claims.
var decoder = mustDecoder()

const maxElements = 1 << 24

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// Content types come from targets. A committed entry that can't be
		// decoded would stop every replica.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the canonical CBOR form of a value of this package.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}
