package anvilgroup

import (
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvilrpc"
)

// A voter sends messages to the leader only, so that a new leader knows nothing of the silence of the others. Where
// leaders change every second or two, no voter would ever be silent for long enough to be removed. Each leader
// therefore reports to the others which voters it and the leaders before it have not reached, and for how long. Only time
// with a leader counts, not that of the elections between.

const (
	// confirmTimeout is how long a leader must have led before it counts the silence that former leaders have
	// reported. In that time it has tried at least twice to reach the voter.
	confirmTimeout = anvilclock.Millis(2 * sendTimeout / time.Millisecond)
	// minReported is the shortest silence that is reported. A healthy voter is reached more often.
	minReported = 300 * anvilclock.Millisecond
)

// silenceReport says which voters a leader can't reach, and for how long.
type silenceReport struct {
	term   anvilid.Term
	at     anvilclock.Millis // when it was received, or made by this voter
	silent map[anvilid.InstanceID]anvilclock.Millis
}

// unreachableFor returns for how long no leader has reached a voter: neither has the voter sent a message nor has its
// process answered one. A voter that waits for a slow sync sends nothing, but its process answers. g.mu must be held,
// and this voter must lead.
func (g *Group) unreachableFor(instance anvilid.InstanceID) anvilclock.Millis {
	now, contact := g.clock.Now(), max(g.lastHeard[instance], g.lastReached[instance])
	if contact >= g.leadingSince {
		return now - contact
	}
	before := min(g.inherited.silent[instance], max(0, g.inherited.at-contact))
	return now - g.leadingSince + before
}

// updateReport renews the report of this leader.
func (g *Group) updateReport(members anvilraft.Members) {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := &silenceReport{term: g.term, at: g.clock.Now(), silent: map[anvilid.InstanceID]anvilclock.Millis{}}
	for _, voter := range members.Voters {
		if quiet := g.unreachableFor(voter.Instance); voter != g.id && quiet >= minReported {
			report.silent[voter.Instance] = quiet
		}
	}
	g.report = report
}

// stopLeading keeps the last report, as this voter may be the next leader again. g.mu must be held.
func (g *Group) stopLeading() {
	if g.report != nil {
		g.inherited, g.report = *g.report, nil
	}
	g.leadingSince = -1
}

// addReport adds the report of this leader to a request.
func (g *Group) addReport(request *anvilrpc.DeliverRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.report == nil {
		return
	}
	request.Term, request.Silent = uint64(g.report.term), map[string]int64{}
	for instance, quiet := range g.report.silent {
		request.Silent[string(instance)] = int64(quiet)
	}
}

// receiveReport keeps the report in a request, unless it is of an earlier leader than the last one. g.mu must be held.
func (g *Group) receiveReport(request *anvilrpc.DeliverRequest) {
	term := anvilid.Term(request.Term)
	if term == 0 || term < g.inherited.term {
		return
	}
	g.inherited = silenceReport{term: term, at: g.clock.Now(), silent: map[anvilid.InstanceID]anvilclock.Millis{}}
	for instance, quiet := range request.Silent {
		g.inherited.silent[anvilid.InstanceID(instance)] = anvilclock.Millis(quiet)
	}
}

// noteReached records that the process of an instance has answered.
func (g *Group) noteReached(instance anvilid.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastReached[instance] = g.clock.Now()
}
