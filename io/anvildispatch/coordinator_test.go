package anvildispatch_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvildispatch"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

func newCoordinator(ids int) *anvildispatch.Dispatcher {
	clock := &anvilclock.Manual{}
	directory := anvildispatch.Directory{Instances: func() []anvilstate.Instance { return nil }}
	return anvildispatch.New(anvildispatch.Self{Instance: "i1", Incarnation: 1}, clock.Clock(), anvillogs.Discard(),
		directory, anvildispatch.Fleet{}, anvildispatch.WithLimits(anvildispatch.Limits{IDs: ids}))
}

func record(id, content, holder string) *anvilrpc.RecordRequest {
	return &anvilrpc.RecordRequest{
		Account: "agency", Service: "planner", Id: id, Digest: []byte(content), Holder: holder, Incarnation: 1,
	}
}

// Guards against a coordinator that refuses to record new ids once its table is full, instead of
// evicting the oldest ones.
func TestCoordinatorMakesRoomForNewIDs(t *testing.T) {
	coordinator := newCoordinator(10)
	for i := range 100 {
		reply := coordinator.Record(record(fmt.Sprint("r-", i), "x", "i2"))
		assert.Equal(t, reply.State, anvilrpc.RecordState_RECORD_NEW)
	}
	assert.Equal(t, coordinator.Record(record("r-99", "x", "i3")).State, anvilrpc.RecordState_RECORD_HELD)
}

// Guards against a coordinator that names the wrong instance as the holder of a known request id, or
// that does not notice that the id is used again for a request with other content.
func TestCoordinatorKnowsHolderAndContent(t *testing.T) {
	coordinator := newCoordinator(10)
	coordinator.Record(record("r-1", "x", "i2"))
	reply := coordinator.Record(record("r-1", "x", "i3"))
	assert.Equal(t, reply.State, anvilrpc.RecordState_RECORD_HELD)
	assert.Equal(t, anvilid.InstanceID(reply.Holder), anvilid.InstanceID("i2"))
	assert.Equal(t, coordinator.Record(record("r-1", "y", "i3")).State, anvilrpc.RecordState_RECORD_CONFLICT)
}
