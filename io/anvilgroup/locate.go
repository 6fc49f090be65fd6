package anvilgroup

import (
	"context"
	"slices"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilrpc"
)

// locateLeader asks the known voters and seeds, the instances that have sent this one messages, and those that their
// replies name, which of them leads, and returns that one, or "" if none does. A voter with a new disk knows no voters,
// and its seeds may be gone; the others still send it messages for the vote of its former disk. All are asked at the
// same time, as an instance that is gone would hold up the questions after it until its call times out.
// What the others answer is added to the round.
func (g *Group) locateLeader(ctx context.Context, round *joinRound) anvilid.InstanceID {
	search := leaderSearch{
		group: g, ctx: ctx, asked: map[anvilid.InstanceID]bool{g.settings.Instance: true},
		replies: make(chan located, maxLocated), // no call blocks after the search has ended
	}
	search.ask(slices.Concat(g.settings.Seeds(), g.Members(), g.senders())...)
	for ; search.waiting > 0; search.waiting-- {
		answer := <-search.replies
		redirection := answer.reply.GetRedirection()
		if answer.reply.GetLeading() {
			return answer.instance
		}
		round.add(answer.instance, redirection, answer.err)
		if redirection != nil {
			search.ask(anvilid.InstanceID(redirection.Leader))
			for _, voter := range redirection.Voters {
				search.ask(anvilid.InstanceID(voter))
			}
		}
	}
	return ""
}

// leaderSearch is one search for the leader.
type leaderSearch struct {
	group   *Group
	ctx     context.Context
	asked   map[anvilid.InstanceID]bool
	waiting int
	replies chan located
}

// located is the reply of an instance, or the error for which there is none.
type located struct {
	instance anvilid.InstanceID
	reply    *anvilrpc.LocateReply
	err      error
}

// ask asks instances that were not asked before, up to maxLocated in all.
func (s *leaderSearch) ask(instances ...anvilid.InstanceID) {
	for _, instance := range instances {
		if instance == "" || s.asked[instance] || len(s.asked) > maxLocated {
			continue
		}
		s.asked[instance] = true
		s.waiting++
		go func() { s.replies <- s.locate(instance) }()
	}
}

func (s *leaderSearch) locate(instance anvilid.InstanceID) located {
	ctx, cancel := context.WithTimeout(s.ctx, locateTimeout)
	defer cancel()
	fleet := s.group.links.FleetAt(Address(instance, s.group.settings.Port))
	reply, err := fleet.Locate(ctx, &anvilrpc.LocateCall{})
	return located{instance, reply, err}
}
