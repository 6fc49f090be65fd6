package anvilvoter

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
)

// LogCopy is what leaders have sent of the log in this process.
type LogCopy struct {
	// From is the leader that has sent the latest part, or zero if there is none. Changes counts the parts that came from another
	// leader than the one before.
	From    anvilraft.VoterID
	Changes int
	// First and Latest are when the first and the latest part came, by the monotonic clock.
	First, Latest anvilclock.Millis
}

// note records an event if it is a part of the log, or of a snapshot, from the given leader.
func (c *LogCopy) note(now anvilclock.Millis, event anvilraft.Event, leader anvilraft.VoterID) {
	receive, ok := event.(anvilraft.Receive)
	if !ok || receive.Message.From != leader || len(receive.Message.Entries) == 0 && receive.Message.Chunk == nil {
		return
	}
	switch {
	case c.From.IsZero():
		c.First = now
	case c.From != leader:
		c.Changes++
	}
	c.From, c.Latest = leader, now
}
