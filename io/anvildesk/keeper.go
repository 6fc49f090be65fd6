package anvildesk

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

// keepersTried bounds the keepers asked for one request. If none answers, the
// request runs without a record, which may run it twice; it is repeatable.
const keepersTried = 2

// recordTimeout bounds one call to a keeper.
const recordTimeout = 250 * anvilclock.Millisecond

// repeatable runs a request whose id the caller chose and that may be
// repeated. The keeper of the id knows whether another instance holds it.
func (d *Dispatcher) repeatable(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest) anvilrequest.Answer {
	if id, ok := issuer(request.ID); ok {
		if answer, ok := d.fetchFrom(ctx, request, id); ok {
			return answer
		}
		return d.hold(ctx, request, digest, 0)
	}
	reply := d.recordAtKeeper(ctx, request, digest)
	switch reply.State {
	case anvilrpc.RecordState_RECORD_CONFLICT:
		return reused(request.ID)
	case anvilrpc.RecordState_RECORD_HELD:
		if holder := anvilid.InstanceID(reply.Holder); holder != d.self.Instance {
			if answer, ok := d.fetchFrom(ctx, request, holder); ok {
				return answer
			}
		}
	}
	return d.hold(ctx, request, digest, 0)
}

// recordAtKeeper notes the request at the first keeper that answers.
func (d *Dispatcher) recordAtKeeper(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest) *anvilrpc.RecordReply {
	record := &anvilrpc.RecordRequest{
		Account: string(request.Account), Service: string(request.Service), Id: string(request.ID), Digest: digest[:],
		Holder: string(d.self.Instance), Incarnation: uint64(d.joined()),
	}
	keepers := d.keepers(keyOf(request))
	for _, keeper := range keepers[:min(len(keepers), keepersTried)] {
		if keeper.ID == d.self.Instance {
			return d.Record(record)
		}
		call, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
		reply, err := d.record(keeper.Peer).Record(call, record)
		cancel()
		if err == nil {
			return reply
		}
	}
	return &anvilrpc.RecordReply{}
}

// Record notes a request id that this instance keeps for the region.
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
	found := d.kept.Begin(d.clock.Now(), key, digest, holder)
	reply := &anvilrpc.RecordReply{Holder: string(found.Holder.Instance), Incarnation: uint64(found.Holder.Incarnation)}
	switch found.State {
	case anvildedup.New:
		reply.State = anvilrpc.RecordState_RECORD_NEW
		// The keeper only tells who holds the id. It is noted as ended at
		// once, so that the oldest ids make room; a resend whose holder
		// doesn't know it any more runs again, which is allowed.
		d.kept.Complete(d.clock.Now(), key, holder, nil)
	case anvildedup.Conflict:
		reply.State = anvilrpc.RecordState_RECORD_CONFLICT
	case anvildedup.Full:
		reply.State = anvilrpc.RecordState_RECORD_FULL
	default:
		reply.State = anvilrpc.RecordState_RECORD_HELD
	}
	return reply
}

// keepers ranks the instances of the region for a key by rendezvous hashing:
// when an instance joins or leaves, only the keys that it keeps move.
func (d *Dispatcher) keepers(key anvildedup.Key) []anvilstate.Instance {
	type candidate struct {
		instance anvilstate.Instance
		weight   uint64
	}
	var candidates []candidate
	for _, instance := range d.directory.Instances() {
		if instance.Region == d.self.Region {
			candidates = append(candidates, candidate{instance, keeperWeight(key, instance.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	ranked := make([]anvilstate.Instance, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.instance
	}
	return ranked
}

func keeperWeight(key anvildedup.Key, instance anvilid.InstanceID) uint64 {
	var hash xxh3.Hasher
	for _, part := range []string{string(key.Account), string(key.Service), string(key.ID), string(instance)} {
		var length [4]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	return hash.Sum64()
}

// fetchFrom asks another instance for the answer that it holds.
func (d *Dispatcher) fetchFrom(ctx context.Context, request *anvilrequest.Request, holder anvilid.InstanceID) (anvilrequest.Answer, bool) {
	if holder == d.self.Instance {
		return d.Fetch(ctx, keyOf(request), request.Deadline-d.clock.Now())
	}
	address, ok := d.addressOf(holder)
	if !ok {
		return anvilrequest.Answer{}, false
	}
	reply, err := d.fetch(address).Fetch(ctx, &anvilrpc.FetchRequest{
		Account: string(request.Account), Service: string(request.Service), Id: string(request.ID),
		Remaining: int64(request.Deadline - d.clock.Now()),
	})
	if err != nil || !reply.Found {
		return anvilrequest.Answer{}, false
	}
	return AnswerFromReply(reply.Answer), true
}

func (d *Dispatcher) addressOf(id anvilid.InstanceID) (anvilid.Address, bool) {
	for _, instance := range d.directory.Instances() {
		if instance.ID == id {
			return instance.Peer, true
		}
	}
	return "", false
}
