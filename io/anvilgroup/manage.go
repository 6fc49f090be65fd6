package anvilgroup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
)

// ManageMembers enrolls voters that join, and removes those that leave and surplus voters, while this voter is the leader,
// until ctx is done. It removes one voter at a time. A group with an
// even number of voters, n, tolerates no more failures than one with n-1 voters, so it has one surplus voter. A group with
// more voters than it is meant to have may have several: if two voters are replaced at the same time, both of their
// successors have joined before either of them is removed, and the number is odd again. If a voter of such a group has sent
// nothing for silentTimeout, replacedTimeout or incompleteTimeout, it is removed: either its machine was replaced, or it
// joins again when it returns.
func (g *Group) ManageMembers(ctx context.Context) error {
	silentBefore := 0
	for interval := joinInterval; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return nil
		case <-g.requested:
		case <-time.After(interval):
		}
		interval = joinInterval
		g.trackEnrollments(g.Voter.Status())
		if !g.leads() {
			continue
		}
		members := g.Voter.Status().Members
		g.updateReport(members)
		if silent := g.countSilent(members); silent != silentBefore {
			silentBefore = silent
			voters := len(members.Voters)
			g.log.Write(anvillogs.VotersSilent, zap.Int("voters", voters), zap.Int("silent", silent), zap.Int("spare", spare(voters, silent)))
		}
		wait := g.releaseLeaving(ctx)
		if g.leads() {
			if silent, ok := g.surplusVoter(g.Voter.Status().Members); ok {
				_ = g.change(ctx, anvilraft.ChangeVoters{Remove: silent}) // it is logged, and retried with the next check
			}
		}
		members = g.Voter.Status().Members
		g.checkMarked(ctx, members)
		interval = g.enrollJoining(ctx, members)
		if wait {
			interval = enrollInterval
		}
	}
	return nil
}
