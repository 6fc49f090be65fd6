package anvilguard

import (
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"anvilshunt/io/anvilrpc"
)

// Guards against fields that are counted wrongly, so that calls of instances are refused or messages of empty fields aren't.
func TestFieldCounter(t *testing.T) {
	large := &anvilrpc.DeliverRequest{Messages: [][]byte{make([]byte, 300)}, Silent: map[string]int64{"i": -1}}
	for range 10_000 {
		large.Messages = append(large.Messages, make([]byte, minFieldBytes))
	}
	for name, test := range map[string]struct {
		message proto.Message
		fields  int
	}{
		"empty": {&anvilrpc.LocateCall{}, 0},
		"job":   {&anvilrpc.JobCall{Host: "h", Path: strings.Repeat("p", 200), Spec: make([]byte, 1<<20)}, 3},
		"large": {large, 10_002},
	} {
		data, err := proto.Marshal(test.message)
		assert.NilError(t, err)
		for _, size := range []int{1, 7, 4096, len(data) + 1} {
			var counter fieldCounter
			for rest := data; len(rest) > 0; {
				n := min(size, len(rest))
				assert.NilError(t, counter.count(rest[:n]), "%s, %d bytes at a time", name, size)
				rest = rest[n:]
			}
			assert.Equal(t, counter.fields, test.fields, "%s, %d bytes at a time", name, size)
		}
	}
	var counter fieldCounter
	err := counter.count([]byte(strings.Repeat("\x12\x00", 2*freeFields)))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}
