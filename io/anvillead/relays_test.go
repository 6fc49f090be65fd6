package anvillead

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// Guards against naming instances that are gone, or the asking one itself, and
// against answers that grow with the deployment.
func TestRelays(t *testing.T) {
	var r relays
	assert.Equal(t, len(r.others(0, "")), 0, "a voter passes nothing on")
	assert.Equal(t, len(r.others(0, "a")), 0)
	assert.DeepEqual(t, r.others(10, "b"), []string{"a"})
	assert.DeepEqual(t, r.others(20, "a"), []string{"b"})
	assert.DeepEqual(t, r.others(relayFresh+15, "c"), []string{"a"}) // b asked too long ago
	for n := range 40 {
		r.others(relayFresh+20, anvilid.InstanceID(fmt.Sprint(n)))
	}
	assert.Equal(t, len(r.others(relayFresh+20, "a")), relaysNamed)
}
