package anvilraft_test

import (
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
)

// A driver writes each Save to disk, reports it as persisted, and applies the committed
// commands. This one drives the only voter of a group.
func Example() {
	self := anvilraft.VoterID{Instance: "palermo-1", Storage: "disk-1"}
	disk := anvilraft.PersistentState{Storage: self.Storage}
	disk.Apply(anvilraft.Bootstrap(1, self))
	node := anvilraft.New(self.Instance, disk)

	var step func(now anvilclock.Millis, event anvilraft.Event) anvilraft.Effects
	step = func(now anvilclock.Millis, event anvilraft.Event) anvilraft.Effects {
		effects := node.Step(now, event)
		for _, entry := range effects.Committed {
			if entry.Kind == anvilraft.KindCommand {
				fmt.Printf("apply entry %d: %s\n", entry.Index, entry.Data)
			}
		}
		if effects.Save != nil {
			disk.Apply(*effects.Save) // a real driver syncs the disk here
			step(now, anvilraft.Persisted{Sequence: effects.Save.Sequence})
		}
		return effects
	}

	var now anvilclock.Millis
	for node.Status().Role != anvilraft.Leader {
		now += 25
		step(now, anvilraft.Tick{})
	}
	fmt.Println("leader in term", node.Status().Term)
	step(now, anvilraft.Propose{Commands: [][]byte{[]byte("set weight 3")}})
	// Output:
	// leader in term 2
	// apply entry 3: set weight 3
}
