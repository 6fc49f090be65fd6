package anvilwork

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

func keepalives(count int) []Keepalive {
	list := make([]Keepalive, count)
	for n := range list {
		list[n] = Keepalive{Age: 50, Target: Target{
			ID: anvilid.TargetID(fmt.Sprintf("i-%010x", n)), Incarnation: 1_784_572_092_002, Service: "paikkavaraus", Address: "10.200.12.7:8080",
			Zone: "pohjoinen-rovaniemi", Rack: "r1-30", Labels: []string{"a", "r1-30"}, Machine: "m-0a3f1", Sequence: 400, Clock: 600_000,
			Resources: Resources{CPU: 32000, Memory: 65536, GPU: 8},
		}}
	}
	return list
}

// TestDecodeAnnouncements guards against a list of keepalives that is taken for a single announcement or the other way
// round, and against one that loses a field on its way.
func TestDecodeAnnouncements(t *testing.T) {
	for _, count := range []int{0, 1, 30, 1000} {
		data, err := cbor.Marshal(keepalives(count))
		assert.NilError(t, err)
		decoded, single, err := DecodeAnnouncements(data)
		assert.NilError(t, err)
		assert.Assert(t, !single)
		assert.DeepEqual(t, decoded, keepalives(count))
	}
	target := keepalives(1)[0].Target
	data, err := cbor.Marshal(target)
	assert.NilError(t, err)
	decoded, single, err := DecodeAnnouncements(data)
	assert.NilError(t, err)
	assert.Assert(t, single)
	assert.DeepEqual(t, decoded, []Keepalive{{Target: target}})
	for _, invalid := range [][]byte{nil, {0x60}, {0x81}, {0x83, 0x01, 0x02, 0x03}} {
		_, _, err := DecodeAnnouncements(invalid)
		assert.Assert(t, err != nil, "%x", invalid)
	}
}

// BenchmarkDecodeKeepalives shows what a batch costs the leader before it is compared with the state.
func BenchmarkDecodeKeepalives(b *testing.B) {
	data, err := cbor.Marshal(keepalives(1000))
	assert.NilError(b, err)
	for b.Loop() {
		if _, _, err := DecodeAnnouncements(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/1000, "bytes/target")
}
