package anvilspread

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

var others = []anvilid.InstanceID{"10.1.0.2", "10.1.0.3", "10.1.0.4", "10.1.0.5"}

func count(d Division, targets int) map[anvilid.InstanceID]int {
	held := map[anvilid.InstanceID]int{}
	for n := range targets {
		held[d.Holder(anvilid.TargetID(fmt.Sprintf("i-%05d", n)))]++
	}
	return held
}

// TestFewTargetsStayWithLeader guards against a small deployment whose announcements take a further call.
func TestFewTargetsStayWithLeader(t *testing.T) {
	d := Divide("10.1.0.1", others, 1000, 1442)
	assert.DeepEqual(t, d.Holders(), []anvilid.InstanceID{"10.1.0.1"})
	assert.DeepEqual(t, count(d, 1000), map[anvilid.InstanceID]int{"10.1.0.1": 1000})
	assert.DeepEqual(t, Divide("10.1.0.1", nil, 9000, 1442).Holders(), d.Holders()) // no other voter is reached
}

// TestThousandsOfTargets guards against the load of 3,000 targets at voters that hold 1,442 connections each: no
// instance may have more than its share, also while two voters are lost.
func TestThousandsOfTargets(t *testing.T) {
	for lost := range 3 {
		d := Divide("10.1.0.1", others[lost:], 3000, 1442)
		for instance, held := range count(d, 3000) {
			assert.Assert(t, held <= 1442*85/100, "%d lost: %s holds %d", lost, instance, held)
		}
		assert.Equal(t, count(d, 3000)["10.1.0.1"] > 0, lost == 2, "%d lost", lost)
	}
}

// TestLostHolder guards against a division in which the loss of one instance moves targets of the others, so that
// thousands of them connect anew at once.
func TestLostHolder(t *testing.T) {
	before, after := Divide("10.1.0.1", others, 3000, 1442), Divide("10.1.0.1", others[1:], 3000, 1442)
	for n := range 3000 {
		id := anvilid.TargetID(fmt.Sprintf("i-%05d", n))
		assert.Assert(t, before.Holder(id) == others[0] || before.Holder(id) == after.Holder(id), id)
	}
}
