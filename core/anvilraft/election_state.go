package anvilraft

import "slices"

// Electorate is a list of voters of which an election needs a quorum.
type Electorate struct {
	Voters []VoterID
	Needed int // votes that are a quorum of the list
	// Marked are the voters that Members.Lost names, and Lost the others whose storage this node knows to be lost (StorageLost).
	// None of them can vote.
	Marked, Lost []VoterID
	// Successors can vote in place of marked voters.
	Successors []VoterID
}

// ElectionState is what an election needs, by the log of a node.
type ElectionState struct {
	Latest Electorate
	// Before is the list before, which counts as well while the change to the latest one isn't known to be committed. It has no
	// voters if the latest list counts alone.
	Before Electorate
	// Campaigns is how often this node has asked for votes since it last knew a leader. Before each campaign, a quorum of
	// both lists has granted a pre-vote.
	Campaigns int
}

// ElectionState returns what an election needs now.
func (n *Node) ElectionState() ElectionState {
	latest, before := n.electorates(n.lost.at(n.now))
	return ElectionState{Latest: n.describe(latest), Before: n.describe(before), Campaigns: n.campaignsSinceLeader}
}

func (n *Node) describe(e electorate) Electorate {
	described := Electorate{Voters: e.voters, Needed: quorumWithout(e.voters, e.lost), Successors: e.successors}
	for _, id := range e.voters {
		switch {
		case slices.Contains(e.marked, id):
			described.Marked = append(described.Marked, id)
		case n.lost.has(id):
			described.Lost = append(described.Lost, id)
		}
	}
	return described
}
