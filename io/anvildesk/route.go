package anvildesk

import (
	"context"
	"errors"
	"net"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilqueue"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilretry"
	"anvilshunt/core/anvilslot"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvilrpc"
)

// A request is run at most this often.
const mostRuns = 4

// After this many refusals by peers and targets a request pauses before it is
// offered again, because known free slots are then out of date.
const freeRefusals = 3

// pumpPeriod is how often waiting requests are offered to peers that had no
// free slot before.
const pumpPeriod = 10 * time.Millisecond

// hopLatency is taken off the remaining time of a forwarded request, the
// one-way latency between regions.
const hopLatency = 8 * anvilclock.Millisecond

// grant is the way that the queue gives to a request: a slot of an own
// target, or a peer with free slots.
type grant struct {
	lease anvilslot.Lease
	peer  anvilid.InstanceID
	shed  bool
}

// route brings a request to a target. A repeatable request is run again
// within the retry budget; any other is sent at most once.
func (d *Dispatcher) route(ctx context.Context, request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	for runs := 1; ; runs++ {
		answer := d.try(ctx, request, token)
		if !d.worthRetry(request, answer, runs) {
			return answer
		}
	}
}

// refused tells whether the chosen peer or target could not take a request.
func refused(answer anvilrequest.Answer) bool {
	return answer.Outcome == anvilrequest.NotRun &&
		(answer.Code == anvilrequest.CodeNoTarget || answer.Code == anvilrequest.CodeFull)
}

func (d *Dispatcher) worthRetry(request *anvilrequest.Request, answer anvilrequest.Answer, runs int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	budget := d.service(request.Service).budget
	failed := answer.Outcome == anvilrequest.Unknown || answer.Outcome == anvilrequest.Done && answer.Status >= 500
	if answer.Outcome == anvilrequest.Done && !failed {
		budget.RecordSuccess()
		return false
	}
	if !failed || !request.Repeatable || runs >= mostRuns {
		return false
	}
	now := d.clock.Now()
	return anvilretry.Deadline(request.Deadline).Remaining(now) > 0 && budget.Spend(now)
}

// try queues the request and sends it where a slot is free. If the slot is
// gone when the request gets there, the request takes its place in the queue
// again, until its deadline.
func (d *Dispatcher) try(ctx context.Context, request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	granted := make(chan grant, 1)
	ticket, verdict := d.push(request, granted)
	if ticket == nil {
		return refusal(request, verdict)
	}
	for refusals := 0; ; refusals++ {
		d.pump(request.Service)
		var way grant
		select {
		case way = <-granted:
		case <-ctx.Done():
			return d.giveUp(request, ticket, granted)
		}
		answer := d.follow(ctx, request, token, way)
		if !refused(answer) || ctx.Err() != nil {
			d.done(request, ticket, answer)
			return answer
		}
		if refusals >= freeRefusals {
			pause(ctx, pumpPeriod)
		}
		d.requeue(request, ticket)
	}
}

func (d *Dispatcher) done(request *anvilrequest.Request, ticket *anvilqueue.Ticket, answer anvilrequest.Answer) {
	d.mu.Lock()
	d.service(request.Service).queue.Done(d.clock.Now(), ticket, answer.Outcome != anvilrequest.NotRun)
	d.mu.Unlock()
	d.pump(request.Service)
}

func (d *Dispatcher) requeue(request *anvilrequest.Request, ticket *anvilqueue.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(request.Service).queue.Requeue(d.clock.Now(), ticket)
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (d *Dispatcher) push(request *anvilrequest.Request, granted chan grant) (*anvilqueue.Ticket, anvilqueue.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.service(request.Service).queue
	if account := d.directory.Account(request.Account); account != nil {
		queue.SetWeight(request.Account, account.Weight)
	}
	if service := d.directory.Service(request.Service); service != nil && service.MaxQueue > 0 {
		queue.SetMaxPerAccount(min(service.MaxQueue, d.limits.Queue))
	} else {
		queue.SetMaxPerAccount(d.limits.Queue)
	}
	return queue.Push(d.clock.Now(), anvilqueue.Request{
		Account: request.Account, Deadline: request.Deadline, Payload: granted,
	})
}

// giveUp takes an expired request out of the queue. If it was granted a slot
// at the same moment, the grant is given back.
func (d *Dispatcher) giveUp(request *anvilrequest.Request, ticket *anvilqueue.Ticket, granted chan grant) anvilrequest.Answer {
	d.mu.Lock()
	cancelled := d.service(request.Service).queue.Cancel(d.clock.Now(), ticket)
	d.mu.Unlock()
	answer := anvilrequest.Refuse(anvilrequest.CodeOverloaded, "no slot became free before the deadline")
	if !cancelled {
		if way := <-granted; !way.shed {
			d.giveBack(way)
			d.done(request, ticket, answer)
		}
	}
	return answer
}

func refusal(request *anvilrequest.Request, verdict anvilqueue.Verdict) anvilrequest.Answer {
	switch verdict {
	case anvilqueue.Full:
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "the queue of client account %q is full", request.Account)
	case anvilqueue.DeadlineTooShort:
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "requests to service %q usually take longer than the timeout", request.Service)
	}
	return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "the expected wait exceeds the timeout")
}

// pump grants free slots to waiting requests, own targets before peers.
func (d *Dispatcher) pump(name anvilid.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	for s.queue.Len() > 0 && d.directory.Leased() {
		way, ok := d.way(name)
		if !ok {
			return
		}
		ticket := s.queue.Pop(d.clock.Now())
		for _, dropped := range s.queue.TakeDropped() {
			dropped.Payload.(chan grant) <- grant{shed: true}
		}
		if ticket == nil {
			d.giveBack(way)
			return
		}
		ticket.Payload.(chan grant) <- way
	}
}

// way finds a free slot of the service.
func (d *Dispatcher) way(name anvilid.ServiceName) (grant, bool) {
	if lease, ok := d.runner.Acquire(name); ok {
		return grant{lease: lease}, true
	}
	if peer, ok := d.peers.Pick(d.clock.Now(), name); ok {
		return grant{peer: peer}, true
	}
	return grant{}, false
}

func (d *Dispatcher) giveBack(way grant) {
	if way.peer == "" {
		d.runner.Release(way.lease)
	}
}

// follow sends a request on the way that it was granted.
func (d *Dispatcher) follow(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, way grant) anvilrequest.Answer {
	if way.shed {
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "the wait exceeded the timeout")
	}
	started := d.clock.Now()
	answer := d.sendOn(ctx, request, token, way)
	if course := &request.Progress; !course.Ran && answer.Outcome != anvilrequest.NotRun {
		course.Ran, course.Started = true, started
	}
	return answer
}

func (d *Dispatcher) sendOn(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, way grant) anvilrequest.Answer {
	if ctx.Err() != nil {
		d.giveBack(way)
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "no slot became free before the deadline")
	}
	if way.peer != "" {
		return d.forward(ctx, request, token, way.peer)
	}
	lease := way.lease
	if request.Repeatable {
		lease = d.runner.Probe(lease, request.Service)
	}
	return d.runner.Dispatch(ctx, lease, request, token)
}

// forward sends a request to a peer that owns a target with a free slot.
func (d *Dispatcher) forward(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, peer anvilid.InstanceID) anvilrequest.Answer {
	address, ok := d.addressOf(peer)
	if !ok {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q has left", peer)
	}
	call := &anvilrpc.RunRequest{
		Account: string(request.Account), Service: string(request.Service), Id: string(request.ID),
		Token: uint64(token), Repeatable: request.Repeatable,
		Remaining:   int64(anvilretry.Deadline(request.Deadline).HopTimeout(d.clock.Now(), hopLatency)),
		ContentType: request.ContentType, Body: request.Body,
	}
	for _, pair := range request.Metadata {
		call.Metadata = append(call.Metadata, &anvilrpc.Field{Name: pair.Name, Value: pair.Value})
	}
	reply, err := d.peer(address).Run(ctx, call)
	if err != nil {
		d.hear(request.Service, peer, 0)
		if notConnected(err) {
			return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q can't be reached", peer)
		}
		return anvilrequest.UnknownOutcome(anvilrequest.CodeLostAnswer, "instance %q did not answer: %v", peer, err)
	}
	d.hear(request.Service, peer, anvilid.SlotCount(reply.Free))
	return AnswerFromReply(reply)
}

// notConnected tells whether a call failed before a connection stood, so that
// the peer can't have seen it.
func notConnected(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// hear notes the free slots that a peer has told of.
func (d *Dispatcher) hear(name anvilid.ServiceName, peer anvilid.InstanceID, free anvilid.SlotCount) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.UpdateFreeSlots(d.clock.Now(), peer, name, free)
}

// RunForPeer runs a request that a peer forwarded, if a slot is free and no
// own request waits for it. It is never forwarded again.
func (d *Dispatcher) RunForPeer(request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	if d.draining.Load() {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q is shutting down", d.self.Instance)
	}
	d.admitted.Add(1)
	defer d.admitted.Add(-1)
	d.mu.Lock()
	waiting := d.service(request.Service).queue.Len()
	d.mu.Unlock()
	if waiting > 0 {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "requests wait at instance %q", d.self.Instance)
	}
	lease, ok := d.runner.Acquire(request.Service)
	if !ok {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q has no free slot", d.self.Instance)
	}
	ctx, cancel := d.until(request.Deadline)
	defer cancel()
	answer := d.runner.Dispatch(ctx, lease, request, token)
	d.pump(request.Service)
	return answer
}

// HandleSlotsFreed grants slots that became free.
func (d *Dispatcher) HandleSlotsFreed(name anvilid.ServiceName) { d.pump(name) }

// Serve offers waiting requests to own targets and peers until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	return anvilduty.Every(ctx, pumpPeriod, func(context.Context) {
		d.setSlots()
		d.Resume()
	})
}

// setSlots tells the queues how many slots their services have here.
func (d *Dispatcher) setSlots() {
	loads := d.runner.Loads()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, load := range loads {
		d.service(load.Service).queue.SetSlots(int(load.Slots))
	}
}

// Resume grants slots after the instance has regained its lease.
func (d *Dispatcher) Resume() {
	for name := range d.Queued() {
		d.pump(name)
	}
}

// UpdatePeerLoads takes in the loads of all instances. Peers of other regions count only
// for services without a target in the own region.
func (d *Dispatcher) UpdatePeerLoads(loads []*anvilrpc.InstanceLoad) {
	regions := map[anvilid.InstanceID]anvilid.RegionName{}
	for _, instance := range d.directory.Instances() {
		regions[instance.ID] = instance.Region
	}
	services := map[anvilid.ServiceName]bool{}
	for _, instance := range loads {
		id := anvilid.InstanceID(instance.Instance)
		region, known := regions[id]
		if !known || id == d.self.Instance {
			continue
		}
		for _, load := range instance.Load {
			name := anvilid.ServiceName(load.Service)
			if region == d.self.Region || !d.directory.HasLocalTarget(name) {
				d.hear(name, id, anvilid.SlotCount(load.Free))
				services[name] = true
			}
		}
	}
	for name := range services {
		d.pump(name)
	}
}
