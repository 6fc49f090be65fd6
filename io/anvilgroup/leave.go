package anvilgroup

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

// leaveTimeout bounds the time for which the end of a voter waits for its removal. It is well below the grace period of
// a process.
const leaveTimeout = 2 * time.Second

// Leave removes this voter from a group that is larger than it is meant to be, before its process ends. Its successor
// has joined already, and until the leader noticed the silence, the voters that have lost nothing might be no majority
// after further losses. In a group that isn't larger, it does nothing: the voter is probably restarted.
func (g *Group) Leave(parent context.Context) {
	status := g.Voter.Status()
	if !g.isLarger(status.Members) || !status.Members.IsVoter(g.id) {
		return
	}
	g.leaving.Store(true)
	ctx, cancel := context.WithTimeout(parent, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if g.requestRemoval(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(enrollInterval):
		}
	}
	g.log.Write(anvillogs.LeaveFailed, zap.Stringer("voter", g.id), zap.Error(ctx.Err()))
}

// requestRemoval asks the leader, which may be this voter, to remove this voter, and reports whether it has done so.
func (g *Group) requestRemoval(ctx context.Context) bool {
	if g.Voter.Status().HasQuorum {
		return g.Release(ctx, g.id) == nil
	}
	leader := g.locateLeader(ctx, &joinRound{})
	if leader == "" {
		return false
	}
	reply, err := g.callJoin(ctx, leader, true)
	return err == nil && reply.Done // an error is retried, and logged at last
}

// Release removes a voter that ends, as long as the group is larger than it is meant to be. It succeeds only on the
// leader.
func (g *Group) Release(ctx context.Context, id anvilraft.VoterID) error {
	g.mu.Lock()
	g.releases[id] = true
	g.mu.Unlock()
	g.Wake()
	retry := time.NewTicker(enrollInterval)
	defer retry.Stop()
	for {
		g.mu.Lock()
		waiting := g.releases[id]
		g.mu.Unlock()
		status := g.Voter.Status()
		switch {
		case !waiting && !(g.isLarger(status.Members) && status.Members.IsVoter(id)):
			return nil
		case !waiting || status.Role != anvilraft.Leader:
			return eris.Wrapf(&anvilvoter.NotLeaderError{Leader: status.Leader}, "remove voter %s", id)
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "remove voter %s", id)
		}
	}
}

// isLarger reports whether the group has more voters than it is meant to have.
func (g *Group) isLarger(members anvilraft.Members) bool {
	return g.settings.Voters > 0 && len(members.Voters) > g.settings.Voters
}

// releaseLeaving removes the voters that have asked for it. The members are read again for each of them, as the group must
// not become smaller than it is meant to be. It reports whether one of them has to wait.
func (g *Group) releaseLeaving(ctx context.Context) (wait bool) {
	g.mu.Lock()
	ids := slices.Collect(maps.Keys(g.releases))
	g.mu.Unlock()
	for _, id := range ids {
		members := g.Voter.Status().Members
		if g.isLarger(members) && members.IsVoter(id) {
			if err := g.change(ctx, anvilraft.ChangeVoters{Remove: id}); err != nil {
				wait = true
				continue
			}
		}
		g.mu.Lock()
		delete(g.releases, id)
		g.mu.Unlock()
	}
	return wait
}
