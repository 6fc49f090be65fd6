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

// encodeMembers cannot fail: Members holds only strings and slices.
func encodeMembers(members Members) []byte {
	data, err := encoder.Marshal(members)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeMembers(data []byte) (Members, error) {
	var members Members
	if err := cbor.Unmarshal(data, &members); err != nil {
		return Members{}, fmt.Errorf("decode members entry: %w; the log is damaged, replace this voter", err)
	}
	return members, nil
}
