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
	"anvilshunt/io/anvilrpc"
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
	// seconds for one.
	changeTimeout = 10 * time.Second
	// enrollTimeout bounds one call of Enroll. It is shorter than joinTimeout, so that the voter that joins learns the reason.
	enrollTimeout = 800 * time.Millisecond
)

// Enroll makes the voter with the given id a voting member of the group. It succeeds only on the leader. The leader goes
// on with an enrollment when ctx or enrollTimeout is over; another leader knows of it once the voter asks that one. A later call for
// another data directory of the same instance takes the place of this one.
func (g *Group) Enroll(parent context.Context, id anvilraft.VoterID) error {
	ctx, cancel := context.WithTimeout(parent, enrollTimeout)
	defer cancel()
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
			return eris.Wrapf(ctx.Err(), "%s", g.enrollmentReason(id))
		}
	}
}

// noteJoining records that a voter is to be added, and wakes ManageMembers. An instance has only one data directory at
// a time, so that a former one of it is forgotten.
func (g *Group) noteJoining(id anvilraft.VoterID) {
	g.mu.Lock()
	isFormer := isOtherStorageOf(id)
	maps.DeleteFunc(g.joiningSince, func(other anvilraft.VoterID, _ anvilclock.Millis) bool { return isFormer(other) })
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

// joining returns the voters that this leader was asked to add, and the learners that a leader of an earlier build has added:
// their enrollment goes on, although they may not have asked this leader yet. A learner beside another member of the same
// instance has to ask, because only a request tells which of their data directories is the present one.
func (g *Group) joining(members anvilraft.Members) []anvilraft.VoterID {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.joiningSince, func(id anvilraft.VoterID, _ anvilclock.Millis) bool { return members.IsVoter(id) })
	ids := slices.SortedFunc(maps.Keys(g.joiningSince), anvilraft.VoterID.Compare)
	for _, learner := range members.Learners {
		others := slices.Concat(members.Voters, members.Learners, ids)
		if !slices.ContainsFunc(others, isOtherStorageOf(learner)) && !slices.Contains(ids, learner) {
			ids = append(ids, learner)
		}
	}
	return ids
}

// isOtherStorageOf returns a function that reports whether an id has the instance of the given one and another storage.
func isOtherStorageOf(id anvilraft.VoterID) func(anvilraft.VoterID) bool {
	return func(other anvilraft.VoterID) bool { return other.Instance == id.Instance && other != id }
}

// enrollJoining begins the next change for the voters that join, and returns when to go on: soon if a change was begun or may
// be possible soon. All that have caught up and take the seats of former storages get their votes by one change. Nothing waits
// for its commit, as others that join may need a change of their own meanwhile.
func (g *Group) enrollJoining(ctx context.Context, members anvilraft.Members) time.Duration {
	ids := slices.DeleteFunc(g.joining(members), func(id anvilraft.VoterID) bool { return !g.claimJoining(id) })
	if len(ids) == 0 || !g.leads() {
		return joinInterval
	}
	for _, id := range ids {
		g.sendLog(ctx, id)
	}
	change, err := g.nextEnrollment(members, ids)
	if err == nil && g.beginChange(change) {
		go func() {
			err := g.change(ctx, change)
			g.noteEnrollment(ids, err)
			g.endChange(change)
			if err == nil { // a rejected change is retried after the interval
				g.Wake()
			}
		}()
	}
	return g.noteEnrollment(ids, err)
}

// beginChange reports whether no change of the same voters is on its way, and records that this one is.
func (g *Group) beginChange(change anvilraft.ChangeVoters) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := changedVoters(change)
	if slices.ContainsFunc(ids, func(id anvilraft.VoterID) bool { return g.changing[id] }) {
		return false
	}
	for _, id := range ids {
		g.changing[id] = true
	}
	return true
}

// endChange undoes beginChange.
func (g *Group) endChange(change anvilraft.ChangeVoters) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range changedVoters(change) {
		delete(g.changing, id)
	}
}

// changedVoters returns the voters that a change seats or marks, or whose marks it takes back.
func changedVoters(change anvilraft.ChangeVoters) []anvilraft.VoterID {
	return slices.Concat(change.Seat, change.Lost, change.Found)
}

// change makes a change of the members and logs it. While it has to wait for another one it fails, and nothing is logged.
func (g *Group) change(parent context.Context, change anvilraft.ChangeVoters) error {
	ctx, cancel := context.WithTimeout(parent, changeTimeout)
	defer cancel()
	err := g.Voter.ChangeVoters(ctx, change)
	if !isPending(err) {
		g.logChange(change, err)
	}
	return err
}

// noteEnrollment records why voters that join have no vote yet, and returns when to go on.
func (g *Group) noteEnrollment(ids []anvilraft.VoterID, err error) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := joinInterval
	for _, id := range ids {
		g.joinErrors[id] = err
		if (err == nil || isPending(err)) && g.clock.Now()-g.joiningSince[id] < enrollSpan {
			interval = enrollInterval
		}
	}
	return interval
}

// sendLog has the log sent to a voter that joins. It is asked first whether this is the present storage of its instance, and
// whether it is empty. Nothing waits for the answer, as the voter may be gone.
func (g *Group) sendLog(ctx context.Context, id anvilraft.VoterID) {
	g.mu.Lock()
	introduced, asked := g.introduced[id]
	g.introduced[id] = introduced
	g.mu.Unlock()
	switch {
	case introduced:
		g.Voter.SendLog(id, false)
	case !asked:
		go g.introduce(ctx, id)
	}
}

// introduce asks a voter that joins for its storage, and has the log sent to it. If it is the present one, another storage of the
// instance that had a vote before the question is gone for good (askStorages).
func (g *Group) introduce(parent context.Context, id anvilraft.VoterID) {
	ctx, cancel := context.WithTimeout(parent, sendTimeout)
	defer cancel()
	isFormer := isOtherStorageOf(id)
	former := slices.DeleteFunc(slices.Clone(g.Voter.Status().Members.Voters), func(voter anvilraft.VoterID) bool { return !isFormer(voter) })
	reply, err := g.peer(id.Instance).Introduce(ctx, &anvilrpc.IntroduceRequest{})
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err != nil:
		delete(g.introduced, id) // it is asked again with the next check
		return
	case anvilraft.StorageID(reply.Storage) != id.Storage:
		delete(g.introduced, id)
		delete(g.joiningSince, id) // a late request of a former storage
		return
	}
	g.introduced[id] = true
	for _, voter := range former {
		g.replaced[voter] = id
	}
	g.Voter.SendLog(id, !reply.Grouped)
}

// probablyLost returns the marks to be made, for at most as many voters as leave a quorum: first for those whose instances have shown
// another storage, which the marks name, then for the silent one whose place an instance takes that joins at another address. That one may still have its disk,
// and wouldn't count if further disks were lost before the seat is stored, so that its mark waits until the seat can follow.
// A mark that names a storage that was lost again is renewed.
func (g *Group) probablyLost(members anvilraft.Members, ids []anvilraft.VoterID) (change anvilraft.ChangeVoters) {
	if len(members.Voters)%2 == 0 {
		return change
	}
	lost := g.replacedStorages(members)
	if silent, ok := g.mostSilent(members, replacedTimeout); ok && g.isComplete(len(members.Voters)) && g.hasNewInstance(members, ids) {
		lost = append(lost, silent)
	}
	lost = slices.DeleteFunc(lost, members.IsLost)
	g.mu.Lock()
	defer g.mu.Unlock()
	change.Lost = lost[:min(len(lost), members.SpareMarks())]
	for _, marked := range members.Lost {
		named, _ := members.Successor(marked)
		if present := g.replaced[marked]; present != named && g.introduced[present] {
			change.Lost = append(change.Lost, marked)
		}
	}
	for _, voter := range change.Lost {
		if successor, ok := g.replaced[voter]; ok {
			change.Successors = append(change.Successors, successor)
		}
	}
	return change
}

// replacedStorages returns the voters whose instances have shown another storage.
func (g *Group) replacedStorages(members anvilraft.Members) []anvilraft.VoterID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members.Voters), func(id anvilraft.VoterID) bool { return g.replaced[id].IsZero() })
}

// hasNewInstance reports whether an instance without a voter is among those that join and have caught up.
func (g *Group) hasNewInstance(members anvilraft.Members, ids []anvilraft.VoterID) bool {
	return slices.ContainsFunc(ids, func(id anvilraft.VoterID) bool {
		return !slices.ContainsFunc(members.Voters, isOtherStorageOf(id)) && g.Voter.HasCaughtUp(id) && !g.isSilent(id)
	})
}

// nextEnrollment returns the next change for voters that join, or why there is none yet. Marks for the voters that they replace come
// first: the group bears further losses as soon as the change that follows them is stored, and needs no quorum of the voters before.
// Voters that take the seats of former storages, or that the group lacks, come next and together. No voter is removed for one
// that may be gone: the silent one may still have its disk.
func (g *Group) nextEnrollment(members anvilraft.Members, ids []anvilraft.VoterID) (anvilraft.ChangeVoters, error) {
	if marks := g.probablyLost(members, ids); len(marks.Lost) > 0 {
		return marks, nil
	}
	ids = slices.DeleteFunc(slices.Clone(ids), func(id anvilraft.VoterID) bool { return !g.Voter.HasCaughtUp(id) || g.isSilent(id) })
	if len(ids) == 0 {
		return anvilraft.ChangeVoters{}, anvilraft.ErrNotCaughtUp
	}
	var change anvilraft.ChangeVoters
	var others []anvilraft.VoterID
	count := len(members.Voters)
	for _, id := range ids {
		hasSeat := slices.ContainsFunc(members.Voters, isOtherStorageOf(id))
		if !hasSeat && !g.isComplete(count) {
			count++
			hasSeat = true
		}
		if hasSeat {
			change.Seat = append(change.Seat, id)
		} else {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return change, nil
	}
	former, err := g.replacedBy(others[0], members)
	_, named := members.Successor(former)
	switch {
	case len(change.Seat) == 0:
		return anvilraft.ChangeVoters{Seat: others[:1], Remove: former}, err
	case err == nil && members.IsLost(former) && !named:
		change.Seat, change.Remove = append(change.Seat, others[0]), former
	}
	return change, nil
}

// isComplete reports whether a number of voters is what the group is meant to have.
func (g *Group) isComplete(voters int) bool {
	return g.settings.Voters > 0 && voters >= g.settings.Voters
}

// claimJoining records a learner like a voter that this leader was asked to add. It returns
// false if the instance has asked with another data directory meanwhile.
func (g *Group) claimJoining(id anvilraft.VoterID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claim(id)
}

// claim is claimJoining. g.mu must be held.
func (g *Group) claim(id anvilraft.VoterID) bool {
	for other := range g.joiningSince {
		if isOtherStorageOf(id)(other) {
			return false
		}
	}
	g.recordJoining(id)
	return true
}

func isPending(err error) bool {
	return errors.Is(err, anvilraft.ErrChangePending) || errors.Is(err, anvilraft.ErrNotCaughtUp)
}

// logChange writes a line for each voter that a change concerns.
func (g *Group) logChange(change anvilraft.ChangeVoters, err error) {
	write := func(field string, ids ...anvilraft.VoterID) {
		for _, id := range ids {
			g.log.Write(anvillogs.MembersChanged, zap.Stringer(field, id), zap.Error(err))
		}
	}
	write("add", change.Seat...)
	write("lost", change.Lost...)
	write("found", change.Found...)
	if !change.Remove.IsZero() {
		write("remove", change.Remove)
	}
}

// replacedBy returns which voter a joining one replaces that has no former storage in the group. If the group already has as
// many voters as it is meant to have, that is the one that has sent nothing for replacedTimeout. It is removed before
// the new one gets its vote: with both of them in the group, the voters that have lost nothing may be no majority
// if the new one is lost, too. The new voter waits as long, because the former one may have been lost just now.
func (g *Group) replacedBy(id anvilraft.VoterID, members anvilraft.Members) (anvilraft.VoterID, error) {
	if !g.isComplete(len(members.Voters)) {
		return anvilraft.VoterID{}, nil
	}
	g.mu.Lock()
	since, known := g.joiningSince[id]
	g.mu.Unlock()
	if !known {
		since = g.clock.Now()
	}
	silent, ok := g.mostSilent(members, replacedTimeout)
	if !ok && g.clock.Now()-max(since, g.leadsSince()) < replacedTimeout {
		return anvilraft.VoterID{}, anvilraft.ErrChangePending
	}
	return silent, nil
}
