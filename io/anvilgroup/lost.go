package anvilgroup

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// An instance has one data directory. If it answers with another storage than the one that has a vote, that one is gone for
// good: the question was asked after the vote was known, so that the answer doesn't come from a process of an earlier
// storage. A voter without a leader collects these losses, because with an even number of voters they decide whether the
// voters that are left can elect one (anvilraft.StorageLost).

// askStorages asks the other voters for their storages, and reports those that are lost.
func (g *Group) askStorages(parent context.Context, electors []anvilraft.VoterID) {
	ctx, cancel := context.WithTimeout(parent, locateTimeout)
	defer cancel()
	var asked []anvilraft.VoterID
	for _, voter := range electors {
		if voter != g.id {
			asked = append(asked, voter)
		}
	}
	answers := make(chan replacedVoter, len(asked))
	for _, voter := range asked {
		go func() { answers <- g.askStorage(ctx, voter) }()
	}
	for range asked {
		answer := <-answers
		if answer.former.IsZero() || g.lostStorages[answer.former] == answer.successor {
			continue
		}
		g.lostStorages[answer.former] = answer.successor
		g.noteSuccessor(answer.successor)
		g.log.Write(anvillogs.StorageLost, zap.Stringer("voter", answer.former))
		g.Voter.ReportLost(answer.former, answer.successor)
	}
}

// replacedVoter is a voter whose storage is lost, and the storage that its instance has now.
type replacedVoter struct{ former, successor anvilraft.VoterID }

// noteSuccessor notes a storage that an instance has shown in place of that of a voter. If this voter is elected, it enrolls that one
// without waiting for its request, which may come a whole joinInterval and a few calls later.
func (g *Group) noteSuccessor(id anvilraft.VoterID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.successors[id] = g.clock.Now()
}

// joinSuccessors records the successors that were noted in the last enrollSpan as voters that join. If one of them has lost its disk
// again, introduce finds that out. g.mu must be held.
func (g *Group) joinSuccessors() {
	for id, at := range g.successors {
		if g.clock.Now()-at < enrollSpan {
			g.claim(id)
		}
	}
	clear(g.successors)
}

// checkMarked asks the instances of marked voters that can be reached for their storages. The mark of a voter that was only silent is
// taken back, as its vote would never count again. One whose successor is named is known to be lost.
func (g *Group) checkMarked(ctx context.Context, members anvilraft.Members) {
	isLost := func(voter anvilraft.VoterID) bool {
		_, named := members.Successor(voter)
		return named || g.isUnreachable(voter)
	}
	for _, voter := range slices.DeleteFunc(slices.Clone(members.Lost), isLost) {
		if change := (anvilraft.ChangeVoters{Found: []anvilraft.VoterID{voter}}); g.beginChange(change) {
			go func() {
				defer g.endChange(change)
				if g.isPresent(ctx, voter) {
					_ = g.change(ctx, change) // it is logged, and retried with the next check
				}
			}()
		}
	}
}

// isUnreachable reports whether a marked voter is known to be replaced, or has been silent for too long to be asked.
func (g *Group) isUnreachable(voter anvilraft.VoterID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isReplaced := g.replaced[voter]
	return isReplaced || voter != g.id && g.unreachableFor(voter.Instance) >= replacedTimeout
}

// isPresent asks the instance of a voter for its storage, and reports whether it is still that of the voter.
func (g *Group) isPresent(parent context.Context, voter anvilraft.VoterID) bool {
	ctx, cancel := context.WithTimeout(parent, sendTimeout)
	defer cancel()
	storage, ok := g.storageOf(ctx, voter.Instance)
	if !ok || storage == voter.Storage {
		return ok
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replaced[voter] = anvilraft.VoterID{Instance: voter.Instance, Storage: storage}
	return false
}

// askStorage returns the voter and its successor if its storage is lost, and the zero value if it isn't or the instance doesn't answer.
func (g *Group) askStorage(ctx context.Context, voter anvilraft.VoterID) replacedVoter {
	storage, ok := g.storageOf(ctx, voter.Instance)
	if !ok || storage == voter.Storage {
		return replacedVoter{} // an instance that doesn't answer is asked again
	}
	return replacedVoter{voter, anvilraft.VoterID{Instance: voter.Instance, Storage: storage}}
}

// storageOf asks an instance for its storage. ok is false if it doesn't answer.
func (g *Group) storageOf(ctx context.Context, instance anvilid.InstanceID) (storage anvilraft.StorageID, ok bool) {
	reply, err := g.peer(instance).Introduce(ctx, &anvilrpc.IntroduceRequest{})
	if err != nil || reply.Storage == "" || anvilid.InstanceID(reply.Instance) != instance {
		return "", false
	}
	return anvilraft.StorageID(reply.Storage), true
}
