package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Node is one member of the group.
type Node struct {
	self VoterID
}

// New returns a node that continues from the restored state.
func New(id anvilid.InstanceID, restored Restored, opts ...Option) *Node {
	settings := defaults()
	for _, opt := range opts {
		opt(&settings)
	}
	return &Node{self: VoterID{Instance: id, Storage: restored.Storage}}
}

// Step advances the node by one event at the given time.
func (n *Node) Step(now anvilclock.Millis, event Event) Effects {
	_, _ = now, event
	return Effects{}
}
