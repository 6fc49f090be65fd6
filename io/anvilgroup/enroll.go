package anvilgroup

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

const (
	// enrollInterval is the interval at which the leader retries the next change for a voter that joins, and at which
	// Enroll checks whether it has its vote.
	enrollInterval = 20 * time.Millisecond
	// enrollSpan is how long the leader retries at that interval. A voter that has no vote by then is retried at
	// joinInterval: it may be gone.
	enrollSpan = 10 * anvilclock.Second
	// changeTimeout bounds one change of the members. It needs a sync on a majority of the voters, and slow disks take
	// seconds for one. No other change can be made meanwhile.
	changeTimeout = 10 * time.Second
)

// Enroll makes the voter with the given id a voting member of the group. It succeeds only on the leader. The leader goes
// on with an enrollment when ctx is done, and another leader goes on with a learner that it finds. A later call for
// another data directory of the same instance takes the place of this one.
func (g *Group) Enroll(ctx context.Context, id anvilraft.VoterID) error {
	g.noteJoining(id)
	retry := time.NewTicker(enrollInterval)
	defer retry.Stop()
	for {
		status := g.Voter.Status()
		switch {
		case status.Members.IsVoter(id):
			return nil
		case status.Role != anvilraft.Leader:
			return eris.Wrapf(&anvilvoter.NotLeaderError{Leader: status.Leader}, "enroll voter %s", id)
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "enroll voter %s: %v", id, g.enrollError(id))
		}
	}
}

// noteJoining records that a voter is to be added, and wakes ManageMembers. An instance has only one data directory at
// a time, so that a former one of it is forgotten.
func (g *Group) noteJoining(id anvilraft.VoterID) {
	g.mu.Lock()
	maps.DeleteFunc(g.joiningSince, func(other anvilraft.VoterID, _ anvilclock.Millis) bool {
		return other.Instance == id.Instance && other != id
	})
	g.recordJoining(id)
	g.mu.Unlock()
	g.Wake()
}

// recordJoining records since when a voter is to be added. g.mu must be held.
func (g *Group) recordJoining(id anvilraft.VoterID) {
	if _, known := g.joiningSince[id]; !known {
		g.joiningSince[id] = g.clock.Now()
	}
}

// Wake lets ManageMembers act at once, after an election or a request.
func (g *Group) Wake() {
	select {
	case g.requested <- struct{}{}:
	default:
	}
}

// enrollError returns why a voter has no vote yet.
func (g *Group) enrollError(id anvilraft.VoterID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joinErrors[id]
}

// joining returns the voters that this leader was asked to add, and the learners that a former leader has added: their
// enrollment goes on, although they may not have asked this leader yet. A learner beside another member of the same
// instance has to ask, because only a request tells which of their data directories is the present one.
func (g *Group) joining(members anvilraft.Members) []anvilraft.VoterID {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.joiningSince, func(id anvilraft.VoterID, _ anvilclock.Millis) bool { return members.IsVoter(id) })
	ids := slices.SortedFunc(maps.Keys(g.joiningSince), anvilraft.VoterID.Compare)
	for _, learner := range members.Learners {
		same := func(other anvilraft.VoterID) bool { return other.Instance == learner.Instance }
		others := slices.Concat(members.Voters, members.Learners, ids)
		if !slices.ContainsFunc(slices.DeleteFunc(others, func(other anvilraft.VoterID) bool { return other == learner }), same) && !slices.Contains(ids, learner) {
			ids = append(ids, learner)
		}
	}
	return ids
}

// enrollJoining makes one change for each voter that joins, and returns when to go on: soon if a change was made or may
// be possible soon.
func (g *Group) enrollJoining(ctx context.Context, members anvilraft.Members) time.Duration {
	interval := joinInterval
	for _, id := range g.joining(members) {
		if !g.leads() {
			break
		}
		if !g.claimJoining(id) {
			continue
		}
		err := g.enrollNext(ctx, id)
		g.mu.Lock()
		g.joinErrors[id] = err
		if (err == nil || isPending(err)) && g.clock.Now()-g.joiningSince[id] < enrollSpan {
			interval = enrollInterval
		}
		g.mu.Unlock()
	}
	return interval
}

// claimJoining records a learner that a former leader has added like a voter that this leader was asked to add. It returns
// false if the instance has asked with another data directory meanwhile.
func (g *Group) claimJoining(id anvilraft.VoterID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other := range g.joiningSince {
		if other.Instance == id.Instance && other != id {
			return false
		}
	}
	g.recordJoining(id)
	return true
}

func isPending(err error) bool {
	return errors.Is(err, anvilraft.ErrChangePending) || errors.Is(err, anvilraft.ErrNotCaughtUp)
}

// enrollNext makes the next change for a voter that joins. No voter is removed for one that may be gone: the silent one
// may still have its disk.
func (g *Group) enrollNext(parent context.Context, id anvilraft.VoterID) error {
	ctx, cancel := context.WithTimeout(parent, changeTimeout)
	defer cancel()
	replaced := g.replacedBy(id)
	step, done, err := g.Voter.EnrollStep(ctx, id, func(members anvilraft.Members) (anvilraft.VoterID, error) {
		if g.isSilent(id) {
			return anvilraft.VoterID{}, anvilraft.ErrNotCaughtUp
		}
		return replaced(members)
	})
	if !done && !isPending(err) {
		g.logChange(step, err)
	}
	return err
}

func (g *Group) logChange(change anvilraft.ChangeVoters, err error) {
	var fields []zap.Field
	for _, member := range []struct {
		key string
		id  anvilraft.VoterID
	}{{"learn", change.AddLearner}, {"add", change.AddVoter}, {"remove", change.Remove}} {
		if !member.id.IsZero() {
			fields = append(fields, zap.String(member.key, member.id.String()))
		}
	}
	g.log.Write(anvillogs.MembersChanged, append(fields, zap.Error(err))...)
}

// replacedBy returns the function that tells which voter a joining one replaces. If the group already has as many
// voters as it is meant to have, that is the one that has sent nothing for replacedTimeout. It is removed before
// the new one gets its vote: with both of them in the group, the voters that have lost nothing may be no majority
// if the new one is lost, too. The new voter waits as long, because the former one may have been lost just now.
func (g *Group) replacedBy(id anvilraft.VoterID) anvilvoter.Replaced {
	g.mu.Lock()
	since, known := g.joiningSince[id]
	g.mu.Unlock()
	if !known {
		since = g.clock.Now()
	}
	return func(members anvilraft.Members) (anvilraft.VoterID, error) {
		if g.settings.Voters == 0 || len(members.Voters) < g.settings.Voters {
			return anvilraft.VoterID{}, nil
		}
		silent, ok := g.mostSilent(members, replacedTimeout)
		if !ok && g.clock.Now()-max(since, g.leadsSince()) < replacedTimeout {
			return anvilraft.VoterID{}, anvilraft.ErrChangePending
		}
		return silent, nil
	}
}
