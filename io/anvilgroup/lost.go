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
		if voter != g.id && !g.lostStorages[voter] {
			asked = append(asked, voter)
		}
	}
	lost := make(chan anvilraft.VoterID, len(asked))
	for _, voter := range asked {
		go func() { lost <- g.askStorage(ctx, voter) }()
	}
	for range asked {
		if voter := <-lost; !voter.IsZero() {
			g.lostStorages[voter] = true
			g.log.Write(anvillogs.StorageLost, zap.Stringer("voter", voter))
			g.Voter.ReportLost(voter)
		}
	}
}

// checkMarked asks the instances of marked voters that can be reached for their storages. The mark of a voter that was only silent is
// taken back, as its vote would never count again.
func (g *Group) checkMarked(ctx context.Context, members anvilraft.Members) {
	for _, voter := range slices.DeleteFunc(slices.Clone(members.Lost), g.isUnreachable) {
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
	return g.replaced[voter] || voter != g.id && g.unreachableFor(voter.Instance) >= replacedTimeout
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
	g.replaced[voter] = true
	return false
}

// askStorage returns the voter if its storage is lost, and the zero value if it isn't or the instance doesn't answer.
func (g *Group) askStorage(ctx context.Context, voter anvilraft.VoterID) anvilraft.VoterID {
	storage, ok := g.storageOf(ctx, voter.Instance)
	if !ok || storage == voter.Storage {
		return anvilraft.VoterID{} // an instance that doesn't answer is asked again
	}
	return voter
}

// storageOf asks an instance for its storage. ok is false if it doesn't answer.
func (g *Group) storageOf(ctx context.Context, instance anvilid.InstanceID) (storage anvilraft.StorageID, ok bool) {
	reply, err := g.peer(instance).Introduce(ctx, &anvilrpc.IntroduceRequest{})
	if err != nil || reply.Storage == "" || anvilid.InstanceID(reply.Instance) != instance {
		return "", false
	}
	return anvilraft.StorageID(reply.Storage), true
}
