package anvillead

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// Guards against a Locate answer that names as a relay a stopped instance or the
// calling instance itself, and against one that grows with the number of
// instances.
func TestRelays(t *testing.T) {
	var r relays
	assert.Equal(t, len(r.refresh(0, "")), 0, "a voter is not a relay")
	assert.Equal(t, len(r.refresh(0, "a")), 0)
	assert.DeepEqual(t, r.refresh(10, "b"), []string{"a"})
	assert.DeepEqual(t, r.refresh(20, "a"), []string{"b"})
	assert.DeepEqual(t, r.refresh(relayTTL+15, "c"), []string{"a"}) // the last request of b is older than relayTTL
	for n := range 40 {
		r.refresh(relayTTL+20, anvilid.InstanceID(fmt.Sprint(n)))
	}
	assert.Equal(t, len(r.refresh(relayTTL+20, "a")), maxRelays)
}
