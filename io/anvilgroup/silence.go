package anvilgroup

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

// surplusVoter returns the voter to remove, if there is one: the number of voters
// must be even and at least four, or above the one that the group is meant to have, and
// the voter must have sent nothing for at least silentTimeout, replacedTimeout or
// incompleteTimeout and for longer than the others.
func (g *Group) surplusVoter(members anvilraft.Members) (anvilraft.VoterID, bool) {
	count := len(members.Voters)
	large := g.settings.Voters > 0 && count > g.settings.Voters && count >= minLargeGroup
	if !large && (count < 4 || count%2 == 1) {
		return anvilraft.VoterID{}, false
	}
	switch {
	case large:
		return g.mostSilent(members, replacedTimeout)
	case count < g.settings.Voters:
		return g.mostSilent(members, incompleteTimeout)
	}
	return g.mostSilent(members, silentTimeout)
}

// mostSilent returns the voter that has sent nothing for the longest time, if that is at least the given one.
func (g *Group) mostSilent(members anvilraft.Members, span anvilclock.Millis) (anvilraft.VoterID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent anvilraft.VoterID
	longest := span
	for _, voter := range members.Voters {
		if quiet := g.silentFor(voter); quiet >= longest {
			silent, longest = voter, quiet
		}
	}
	return silent, !silent.IsZero()
}

// silentFor returns how long this leader has had no sign of a voter: neither a message nor an answer of its process. That
// isn't known before noteLeading has been called, as followers send messages to the leader only. After confirmTimeout, what
// the former leaders have reported counts as well. A voter that sends nothing for incompleteTimeout is silent even if its
// process answers; for a shorter time it may wait for a sync. g.mu must be held.
func (g *Group) silentFor(voter anvilraft.VoterID) anvilclock.Millis {
	if voter == g.id || g.leadingSince < 0 {
		return 0
	}
	now := g.clock.Now()
	unheard := now - max(g.lastHeard[voter.Instance], g.leadingSince)
	if unheard >= incompleteTimeout {
		return unheard
	}
	if now-g.leadingSince >= confirmTimeout {
		return g.unreachableFor(voter.Instance)
	}
	return min(unheard, now-max(g.lastReached[voter.Instance], g.leadingSince))
}

// noteTerm forgets since when this voter leads if its term is another one. It may have lost the leadership and won it
// again since the last call, and heard nothing of the others in between.
func (g *Group) noteTerm(term anvilid.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term {
		g.stopLeading()
		g.term = term
	}
}

// leads reports whether this voter is the leader and has a quorum now. It must be called before each decision about
// members, because a change may take long and the term may end meanwhile.
func (g *Group) leads() bool {
	status := g.Voter.Status()
	g.noteTerm(status.Term)
	if status.Role == anvilraft.Leader && !status.HasQuorum {
		g.noteQuorumLost()
		return false
	}
	return g.noteLeading(status.Role == anvilraft.Leader)
}

// noteQuorumLost counts the silence of the others anew, because this process may not have run. The voters that it was asked
// to add or remove are kept.
func (g *Group) noteQuorumLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopLeading()
}

// noteLeading records whether this voter leads now, and returns that.
func (g *Group) noteLeading(leads bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !leads:
		g.stopLeading()
		clear(g.joiningSince)
		clear(g.introduced)
		clear(g.joinErrors)
		clear(g.releases)
	case g.leadingSince < 0:
		g.leadingSince = g.clock.Now()
		g.joinSuccessors()
	}
	return leads
}

// leadsSince returns when this voter was first seen as the leader of its term with a quorum, or the present time if it
// isn't.
func (g *Group) leadsSince() anvilclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leadingSince < 0 {
		return g.clock.Now()
	}
	return g.leadingSince
}

// countSilent returns the number of voters that have sent nothing for replacedTimeout. They count for the quorum.
func (g *Group) countSilent(members anvilraft.Members) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := 0
	for _, voter := range members.Voters {
		if g.silentFor(voter) >= replacedTimeout {
			silent++
		}
	}
	return silent
}

// isSilent reports whether a voter that joins has sent nothing for replacedTimeout. It sends messages once it gets the log.
func (g *Group) isSilent(id anvilraft.VoterID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard, ok := g.lastHeard[id.Instance]
	return !ok || g.clock.Now()-heard >= replacedTimeout
}
