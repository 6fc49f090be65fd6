package anvildispatch

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilrpc"
)

// maxCoordinatorAttempts limits the coordinators asked for one request. If none answers, the
// request runs without being recorded, so that a resend at another instance may run it a second
// time. That is allowed, because only repeatable requests are recorded at coordinators.
const maxCoordinatorAttempts = 2

// recordTimeout limits one call to a coordinator.
const recordTimeout = 250 * anvilclock.Millisecond

// runRepeatable runs a repeatable request whose id the caller chose. The coordinator of the id
// knows whether another instance holds the request; its answer is then fetched from there.
func (d *Dispatcher) runRepeatable(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest) anvilrequest.Answer {
	if id, ok := issuerOf(request.ID); ok {
		if answer, ok := d.fetchFrom(ctx, request, id); ok {
			return answer
		}
		return d.runDeduplicated(ctx, request, digest, 0)
	}
	reply := d.recordAtCoordinator(ctx, request, digest)
	switch reply.State {
	case anvilrpc.RecordState_RECORD_CONFLICT:
		return idReused(request.ID)
	case anvilrpc.RecordState_RECORD_HELD:
		if holder := anvilid.InstanceID(reply.Holder); holder != d.self.Instance {
			if answer, ok := d.fetchFrom(ctx, request, holder); ok {
				return answer
			}
		}
	}
	return d.runDeduplicated(ctx, request, digest, 0)
}

// recordAtCoordinator records the request at the first coordinator that answers.
func (d *Dispatcher) recordAtCoordinator(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest) *anvilrpc.RecordReply {
	record := &anvilrpc.RecordRequest{
		Account: string(request.Account), Service: string(request.Service), Id: string(request.ID), Digest: digest[:],
		Holder: string(d.self.Instance), Incarnation: uint64(d.joinedIncarnation()),
	}
	coordinators := d.rankCoordinators(keyOf(request))
	for _, coordinator := range coordinators[:min(len(coordinators), maxCoordinatorAttempts)] {
		if coordinator.ID == d.self.Instance {
			return d.Record(record)
		}
		call, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
		reply, err := d.recordClient(coordinator.Peer).Record(call, record)
		cancel()
		if err == nil {
			return reply
		}
	}
	return &anvilrpc.RecordReply{}
}

// Record records the holder of a request id of which this instance is the coordinator.
func (d *Dispatcher) Record(request *anvilrpc.RecordRequest) *anvilrpc.RecordReply {
	key := anvildedup.Key{
		Account: anvilid.AccountID(request.Account), Service: anvilid.ServiceName(request.Service),
		ID: anvilid.RequestID(request.Id),
	}
	holder := anvildedup.Holder{
		Instance: anvilid.InstanceID(request.Holder), Incarnation: anvilid.Incarnation(request.Incarnation),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var digest anvildedup.Digest
	copy(digest[:], request.Digest)
	found := d.coordinatedIDs.Begin(d.clock.Now(), key, digest, holder)
	reply := &anvilrpc.RecordReply{Holder: string(found.Holder.Instance), Incarnation: uint64(found.Holder.Incarnation)}
	switch found.State {
	case anvildedup.New:
		reply.State = anvilrpc.RecordState_RECORD_NEW
		// A coordinator only records which instance holds the id. The id is marked as ended at
		// once, so that it can be evicted when the table is full. If the holder no longer knows the
		// id, a resend runs again, which is allowed for a repeatable request.
		d.coordinatedIDs.Complete(d.clock.Now(), key, holder, nil)
	case anvildedup.Conflict:
		reply.State = anvilrpc.RecordState_RECORD_CONFLICT
	case anvildedup.Full:
		reply.State = anvilrpc.RecordState_RECORD_FULL
	default:
		reply.State = anvilrpc.RecordState_RECORD_HELD
	}
	return reply
}

// rankCoordinators ranks the instances of the region as coordinators of a key by rendezvous
// hashing: when an instance joins or leaves, only the keys that it coordinates move.
func (d *Dispatcher) rankCoordinators(key anvildedup.Key) []anvilstate.Instance {
	type candidate struct {
		instance anvilstate.Instance
		weight   uint64
	}
	var candidates []candidate
	for _, instance := range d.directory.Instances() {
		if instance.Region == d.self.Region {
			candidates = append(candidates, candidate{instance, rendezvousWeight(key, instance.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	ranked := make([]anvilstate.Instance, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.instance
	}
	return ranked
}

// rendezvousWeight returns the weight of an instance for a key. Each part is hashed with its
// length, so that different parts never hash as the same sequence of bytes.
func rendezvousWeight(key anvildedup.Key, instance anvilid.InstanceID) uint64 {
	var hash xxh3.Hasher
	for _, part := range []string{string(key.Account), string(key.Service), string(key.ID), string(instance)} {
		var length [4]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	return hash.Sum64()
}

// fetchFrom fetches the answer of a request from the instance that holds it. It returns false if
// that instance cannot be reached or does not have the answer.
func (d *Dispatcher) fetchFrom(ctx context.Context, request *anvilrequest.Request, holder anvilid.InstanceID) (anvilrequest.Answer, bool) {
	if holder == d.self.Instance {
		return d.Fetch(ctx, keyOf(request), request.Deadline-d.clock.Now())
	}
	address, ok := d.addressOf(holder)
	if !ok {
		return anvilrequest.Answer{}, false
	}
	reply, err := d.fetchClient(address).Fetch(ctx, &anvilrpc.FetchRequest{
		Account: string(request.Account), Service: string(request.Service), Id: string(request.ID),
		Remaining: int64(request.Deadline - d.clock.Now()),
	})
	if err != nil || !reply.Found {
		return anvilrequest.Answer{}, false
	}
	return AnswerFromReply(reply.Answer), true
}

// addressOf returns the peer address of an instance.
func (d *Dispatcher) addressOf(id anvilid.InstanceID) (anvilid.Address, bool) {
	for _, instance := range d.directory.Instances() {
		if instance.ID == id {
			return instance.Peer, true
		}
	}
	return "", false
}
