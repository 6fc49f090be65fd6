package anvilstate

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"anvilshunt/core/anvilcodec"
)

// decoder accepts the large arrays of snapshots. The default limit is 131,072 elements,
// and a snapshot may contain 200,000 claims.
var decoder = mustDecoder()

const maxElements = 1 << 24

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// Content types come from targets and may not be valid UTF-8. A committed entry
		// that can't be decoded would stop every replica.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return mode
}

// Encode returns the canonical CBOR encoding of a value.
func Encode(value any) ([]byte, error) {
	return anvilcodec.Encode(value)
}

// Decode parses a value that Encode wrote.
func Decode(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}
