package anvilguard

import (
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"anvilshunt/io/anvilrpc"
)

// Guards against fields that are counted wrongly, so that calls of instances are refused or messages of empty fields aren't.
func TestFieldCounter(t *testing.T) {
	data, err := proto.Marshal(&anvilrpc.DeliverRequest{
		Messages: slices.Repeat([][]byte{make([]byte, 300), make([]byte, minFieldBytes)}, freeFields), Silent: map[string]int64{"i": -1},
	})
	assert.NilError(t, err)
	for _, size := range []int{1, 7, 4096, len(data)} {
		var counter fieldCounter
		for piece := range slices.Chunk(data, size) {
			assert.NilError(t, counter.count(piece), "%d bytes at a time", size)
		}
		assert.Equal(t, counter.fields, 2*freeFields+1, "%d bytes at a time", size)
	}
	var counter fieldCounter
	assert.ErrorIs(t, counter.count([]byte(strings.Repeat("\x12\x00", 2*freeFields))), ErrTooLarge)
}
