package anvildispatch

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

// maxRuns limits how often a repeatable request is sent to a target, including retries after failures.
const maxRuns = 4

// refusalsBeforePause is the number of times that peers or targets may refuse a request for lack of a
// slot before each further attempt is delayed by grantInterval. More refusals mean that the numbers of
// free slots known to this instance are outdated.
const refusalsBeforePause = 3

// grantInterval is the interval at which this instance looks for free slots, of its own targets and of
// peers, for the waiting requests.
const grantInterval = 10 * time.Millisecond

// hopLatency is the assumed one-way latency between regions. It is subtracted from the remaining
// time of a forwarded request.
const hopLatency = 8 * anvilclock.Millisecond

// slotGrant tells a waiting request where it may run: in a leased slot of a target of this instance,
// or, if peer is set, at a peer that reported free slots. expired is set instead if the queue dropped
// the request because it could no longer finish before its deadline.
type slotGrant struct {
	lease   anvilslot.Lease
	peer    anvilid.InstanceID
	expired bool
}

// route runs a request on a target of this instance or of a peer. A repeatable request that fails is
// run again, at most maxRuns times in total and within the retry budget of its service. Any other
// request is sent at most once. If a retry is refused, the answer is that of the run before it, because
// the request may have run.
func (d *Dispatcher) route(ctx context.Context, request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	var failed anvilrequest.Answer
	for runs := 1; ; runs++ {
		answer := d.queueAndSend(ctx, request, token)
		if runs > 1 && answer.Outcome == anvilrequest.NotRun {
			return failed
		}
		if !d.shouldRetry(request, answer, runs) {
			return answer
		}
		failed = answer
	}
}

// slotRefused reports whether the chosen peer or target had no slot for a request.
func slotRefused(answer anvilrequest.Answer) bool {
	return answer.Outcome == anvilrequest.NotRun &&
		(answer.Code == anvilrequest.CodeNoTarget || answer.Code == anvilrequest.CodeFull)
}

// shouldRetry reports whether a request must be run again because it failed: its outcome is unknown
// or its status is 500 or higher. If so, it takes one retry from the budget of the service.
func (d *Dispatcher) shouldRetry(request *anvilrequest.Request, answer anvilrequest.Answer, runs int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	budget := d.serviceState(request.Service).budget
	failed := answer.Outcome == anvilrequest.Unknown || answer.Outcome == anvilrequest.Done && answer.Status >= 500
	if answer.Outcome == anvilrequest.Done && !failed {
		budget.RecordSuccess()
		return false
	}
	if !failed || !request.Repeatable || runs >= maxRuns {
		return false
	}
	now := d.clock.Now()
	return anvilretry.Deadline(request.Deadline).Remaining(now) > 0 && budget.Spend(now)
}

// queueAndSend queues a request and sends it when it is granted a slot. If the target or the peer
// refuses it because the slot is no longer free, the request returns to its former place in the queue.
// This is repeated until the deadline of the request.
func (d *Dispatcher) queueAndSend(ctx context.Context, request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	granted := make(chan slotGrant, 1)
	ticket, verdict := d.enqueue(request, granted)
	if ticket == nil {
		return queueRefusal(request, verdict)
	}
	for refusals := 0; ; refusals++ {
		d.grantSlots(request.Service)
		var slot slotGrant
		select {
		case slot = <-granted:
		case <-ctx.Done():
			return d.cancelQueued(request, ticket, granted)
		}
		answer := d.sendGranted(ctx, request, token, slot)
		if !slotRefused(answer) || ctx.Err() != nil {
			d.finish(request, ticket, answer)
			return answer
		}
		if refusals >= refusalsBeforePause {
			sleep(ctx, grantInterval)
		}
		d.requeue(request, ticket)
	}
}

// finish reports to the queue that a granted request has ended, and grants the slot that it may have
// freed to the next waiting request.
func (d *Dispatcher) finish(request *anvilrequest.Request, ticket *anvilqueue.Ticket, answer anvilrequest.Answer) {
	d.mu.Lock()
	d.serviceState(request.Service).queue.Done(d.clock.Now(), ticket, answer.Outcome != anvilrequest.NotRun)
	d.mu.Unlock()
	d.grantSlots(request.Service)
}

func (d *Dispatcher) requeue(request *anvilrequest.Request, ticket *anvilqueue.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serviceState(request.Service).queue.Requeue(d.clock.Now(), ticket)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// enqueue pushes a request to the queue of its service, under the limits of the configuration in
// force.
func (d *Dispatcher) enqueue(request *anvilrequest.Request, granted chan slotGrant) (*anvilqueue.Ticket, anvilqueue.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.serviceState(request.Service).queue
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

// cancelQueued removes a request from the queue at its deadline. If the request was granted a slot
// at the same moment, the slot is released.
func (d *Dispatcher) cancelQueued(request *anvilrequest.Request, ticket *anvilqueue.Ticket, granted chan slotGrant) anvilrequest.Answer {
	d.mu.Lock()
	cancelled := d.serviceState(request.Service).queue.Cancel(d.clock.Now(), ticket)
	d.mu.Unlock()
	answer := anvilrequest.Refuse(anvilrequest.CodeOverloaded, "no slot became free before the deadline")
	if !cancelled {
		if slot := <-granted; !slot.expired {
			d.releaseSlot(slot)
			d.finish(request, ticket, answer)
		}
	}
	return answer
}

// queueRefusal returns the answer to a request that the queue did not accept.
func queueRefusal(request *anvilrequest.Request, verdict anvilqueue.Verdict) anvilrequest.Answer {
	switch verdict {
	case anvilqueue.Full:
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded,
			"the request queue of client account %q is full; retry later", request.Account)
	case anvilqueue.DeadlineTooShort:
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded,
			"requests to service %q usually take longer than this request's timeout", request.Service)
	}
	return anvilrequest.Refuse(anvilrequest.CodeOverloaded,
		"the expected queueing time exceeds the timeout of the request")
}

// grantSlots grants free slots to the waiting requests of a service. Slots of targets of this
// instance are preferred to peers.
func (d *Dispatcher) grantSlots(name anvilid.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceState(name)
	for s.queue.Len() > 0 && d.directory.Leased() {
		slot, ok := d.findSlot(name)
		if !ok {
			return
		}
		ticket := s.queue.Pop(d.clock.Now())
		for _, dropped := range s.queue.TakeDropped() {
			dropped.Payload.(chan slotGrant) <- slotGrant{expired: true}
		}
		if ticket == nil {
			d.releaseSlot(slot)
			return
		}
		ticket.Payload.(chan slotGrant) <- slot
	}
}

// findSlot returns a free slot of the service: one of a target of this instance, or else a peer that
// has reported free slots. It returns false if there is none.
func (d *Dispatcher) findSlot(name anvilid.ServiceName) (slotGrant, bool) {
	if lease, ok := d.fleet.Acquire(name); ok {
		return slotGrant{lease: lease}, true
	}
	if peer, ok := d.peers.Pick(d.clock.Now(), name); ok {
		return slotGrant{peer: peer}, true
	}
	return slotGrant{}, false
}

func (d *Dispatcher) releaseSlot(slot slotGrant) {
	if slot.peer == "" {
		d.fleet.Release(slot.lease)
	}
}

// sendGranted sends a request to the slot or the peer that it was granted. It records the time of the
// first time that the request ran.
func (d *Dispatcher) sendGranted(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, slot slotGrant) anvilrequest.Answer {
	if slot.expired {
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded,
			"the request waited too long in the queue to finish before its timeout")
	}
	started := d.clock.Now()
	answer := d.sendToSlot(ctx, request, token, slot)
	if progress := &request.Progress; !progress.Ran && answer.Outcome != anvilrequest.NotRun {
		progress.Ran, progress.Started = true, started
	}
	return answer
}

func (d *Dispatcher) sendToSlot(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, slot slotGrant) anvilrequest.Answer {
	if ctx.Err() != nil {
		d.releaseSlot(slot)
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "no slot became free before the deadline")
	}
	if slot.peer != "" {
		return d.forward(ctx, request, token, slot.peer)
	}
	lease := slot.lease
	if request.Repeatable {
		lease = d.fleet.Probe(lease, request.Service)
	}
	return d.fleet.Dispatch(ctx, lease, request, token)
}

// forward sends a request to a peer that owns a target with a free slot.
func (d *Dispatcher) forward(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, peer anvilid.InstanceID) anvilrequest.Answer {
	address, ok := d.addressOf(peer)
	if !ok {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q has left the control group", peer)
	}
	call := &anvilrpc.RunRequest{
		Account: string(request.Account), Service: string(request.Service), Id: string(request.ID),
		Token: uint64(token), Repeatable: request.Repeatable,
		Remaining:   int64(anvilretry.Deadline(request.Deadline).HopTimeout(d.clock.Now(), hopLatency)),
		ContentType: request.ContentType, Body: request.Body,
	}
	for _, field := range request.Metadata {
		call.Metadata = append(call.Metadata, &anvilrpc.Field{Name: field.Name, Value: field.Value})
	}
	reply, err := d.runClient(address).Run(ctx, call)
	if err != nil {
		d.updateFreeSlots(request.Service, peer, 0)
		if dialFailed(err) {
			return anvilrequest.Refuse(anvilrequest.CodeFull, "connecting to instance %q failed", peer)
		}
		return anvilrequest.UnknownOutcome(anvilrequest.CodeLostAnswer,
			"no answer from instance %q, to which the request was forwarded: %v", peer, err)
	}
	d.updateFreeSlots(request.Service, peer, anvilid.SlotCount(reply.Free))
	return AnswerFromReply(reply)
}

// dialFailed reports whether a call failed before a connection was established, so that the peer
// cannot have received the request.
func dialFailed(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// updateFreeSlots records the number of free slots of a service at a peer.
func (d *Dispatcher) updateFreeSlots(name anvilid.ServiceName, peer anvilid.InstanceID, free anvilid.SlotCount) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.UpdateFreeSlots(d.clock.Now(), peer, name, free)
}

// RunForPeer runs a request that a peer forwarded, if a slot is free and no request of this
// instance waits for it. The request is not forwarded again.
func (d *Dispatcher) RunForPeer(request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	if d.draining.Load() {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q is shutting down", d.self.Instance)
	}
	d.admitted.Add(1)
	defer d.admitted.Add(-1)
	d.mu.Lock()
	waiting := d.serviceState(request.Service).queue.Len()
	d.mu.Unlock()
	if waiting > 0 {
		return anvilrequest.Refuse(anvilrequest.CodeFull,
			"instance %q has waiting requests of its own for the service", d.self.Instance)
	}
	lease, ok := d.fleet.Acquire(request.Service)
	if !ok {
		return anvilrequest.Refuse(anvilrequest.CodeFull, "instance %q has no free slot", d.self.Instance)
	}
	ctx, cancel := d.contextUntil(request.Deadline)
	defer cancel()
	answer := d.fleet.Dispatch(ctx, lease, request, token)
	d.grantSlots(request.Service)
	return answer
}

// HandleSlotsFreed grants slots of a service that became free to waiting requests.
func (d *Dispatcher) HandleSlotsFreed(name anvilid.ServiceName) { d.grantSlots(name) }

// Serve grants slots to waiting requests at fixed intervals until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	return anvilduty.Every(ctx, grantInterval, func(context.Context) {
		d.updateQueueSlots()
		d.Resume()
	})
}

// updateQueueSlots tells the queue of each service how many slots the service has on the targets of
// this instance.
func (d *Dispatcher) updateQueueSlots() {
	loads := d.fleet.Loads()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, load := range loads {
		d.serviceState(load.Service).queue.SetSlots(int(load.Slots))
	}
}

// Resume grants free slots to the waiting requests of all services, for example after the instance
// has regained its lease.
func (d *Dispatcher) Resume() {
	for name := range d.Queued() {
		d.grantSlots(name)
	}
}

// UpdatePeerLoads records the free slots that other instances reported. Free slots in other regions
// are recorded only for services that have no target in the region of this instance.
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
				d.updateFreeSlots(name, id, anvilid.SlotCount(load.Free))
				services[name] = true
			}
		}
	}
	for name := range services {
		d.grantSlots(name)
	}
}
