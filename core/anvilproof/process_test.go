package anvilproof_test

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillease"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilstate"
	"anvilshunt/core/anvilview"
)

// process is one simulated instance, which may also be a voter.
type process struct {
	world       *world
	number      int
	id          anvilid.InstanceID
	seed        uint64
	run         anvilid.Incarnation // number of the run of the process, with which it first joins
	up          bool
	frozen      bool
	sendDelay   int64 // in microseconds, for everything that it sends
	clockRate   float64
	clockOffset float64
	// undelivered are the packets that arrived while the process was frozen.
	undelivered []packet

	replica // used only by voters
	session // used by all instances
}

// session is the part of a process that every instance has: it joins the control group and
// renews the lease of the instance.
type session struct {
	view            *anvilview.View
	targets         []anvilstate.Target // targets of the view
	lease           anvillease.Holder
	incarnation     anvilid.Incarnation
	joined          bool
	leader          int // number of the voter to which calls are sent
	pendingRenewal  uint64
	renewalDeadline anvilclock.Millis
	released        map[anvilid.TargetID]anvilid.Epoch
	calls           []*call
	attempts        []*attempt
	delayedDeltas   []delayedDelta
}

// delayedDelta is a delta that an instance applies only after a delay, if deltaBeforeLease
// is disabled.
type delayedDelta struct {
	due   int64
	delta anvilstate.Delta
}

// call is a command sent to the leader, which is resent until it is answered or its deadline
// passes.
type call struct {
	id       uint64
	command  anvilstate.Command
	deadline anvilclock.Millis
	resendAt anvilclock.Millis
	done     func(outcome, bool) // the bool is false if there was no answer before the deadline
}

// Messages between instances.
type (
	proposal struct {
		call       uint64
		from       int
		run        anvilid.Incarnation
		command    anvilstate.Command
		everywhere bool
	}
	outcome struct {
		call       uint64
		refused    bool
		result     anvilstate.Result
		everywhere bool
	}
	renewal struct {
		call    uint64
		from    int
		run     anvilid.Incarnation
		session anvillease.Session
		applied anvilid.Index
		sent    anvilclock.Millis
	}
	renewalReply struct {
		call    uint64
		refused bool
		known   bool
		session anvillease.Session
		sent    anvilclock.Millis
		span    anvilclock.Millis
		delta   anvilstate.Delta
	}
)

// clock reads the monotonic clock of the process. Its rate and offset are constant during
// one run of the process.
func (p *process) clock() anvilclock.Millis {
	return anvilclock.Millis((float64(p.world.now)*p.clockRate + p.clockOffset) / 1000)
}

func (p *process) start() {
	if p.up {
		return
	}
	w := p.world
	p.up, p.frozen, p.undelivered = true, false, nil
	p.run = anvilid.Incarnation(w.nextNumber())
	p.clockRate = []float64{0.99, 1, 1.01}[w.random.IntN(3)]
	p.clockOffset = float64(w.random.Int64N(1000 * second))
	p.session = session{
		view: anvilview.New(), incarnation: p.run, leader: w.random.IntN(voterCount),
		released: map[anvilid.TargetID]anvilid.Epoch{},
	}
	if p.disk != nil {
		p.startReplica()
	}
}

func (p *process) kill() {
	if !p.up {
		return
	}
	p.up, p.frozen = false, false
	for _, c := range p.calls {
		c.done(outcome{}, false)
	}
	if p.disk != nil {
		p.crashDisk()
	}
}

func (p *process) unfreeze() {
	if !p.frozen {
		return
	}
	p.frozen = false
	for _, packet := range p.undelivered {
		packet.due = p.world.now + p.world.random.Int64N(3*millisecond)
		packet.order = p.world.nextNumber()
		p.world.network.push(packet)
	}
	p.undelivered = nil
}

func (p *process) receive(packet packet) {
	switch body := packet.body.(type) {
	case anvilraft.Message:
		if p.disk != nil {
			p.step(anvilraft.Receive{Message: body})
		}
	case proposal:
		p.propose(body)
	case renewal:
		p.receiveRenewal(body)
	case outcome:
		p.receiveOutcome(body)
	case readCall:
		p.read(body)
	case renewalReply:
		p.receiveRenewalReply(body)
	}
}

// advance performs the work of the process for one millisecond of simulated time.
func (p *process) advance() {
	if p.disk != nil {
		p.advanceReplica()
	}
	p.advanceSession()
	p.advanceAttempts()
}

func (p *process) advanceSession() {
	w := p.world
	for len(p.delayedDeltas) > 0 && p.delayedDeltas[0].due <= w.now {
		p.applyDelta(&p.delayedDeltas[0].delta)
		p.delayedDeltas = p.delayedDeltas[1:]
	}
	now := p.clock()
	for _, c := range slices.Clone(p.calls) {
		switch {
		case now >= c.deadline:
			p.removeCall(c)
			c.done(outcome{}, false)
		case now >= c.resendAt:
			p.leader = (p.leader + 1) % voterCount
			p.transmit(c)
		}
	}
	switch {
	case p.pendingRenewal != 0 && now >= p.renewalDeadline:
		p.pendingRenewal = 0
		p.leader = (p.leader + 1) % voterCount
	case p.pendingRenewal == 0 && !p.joined:
		p.join()
	case p.pendingRenewal == 0:
		p.renew()
	}
}

// join asks to join the control group. While the call is unanswered, pendingRenewal is set,
// which prevents further calls.
func (p *process) join() {
	instance := anvilstate.Instance{ID: p.id, Incarnation: p.incarnation, Region: "west", Zone: "z"}
	p.pendingRenewal = p.world.nextNumber()
	p.renewalDeadline = p.clock() + 1000
	p.call(anvilstate.Command{Join: &anvilstate.JoinInstance{Instance: instance}}, 900, func(o outcome, ok bool) {
		p.pendingRenewal = 0
		if ok && o.result.Code != "" {
			p.rejoin()
		} else if ok {
			p.joined = true
		}
	})
}

// rejoin gives up the lease and prepares to join under a new incarnation.
func (p *process) rejoin() {
	p.lease.Revoke()
	p.joined = false
	p.incarnation = anvilid.Incarnation(p.world.nextNumber())
}

func (p *process) renew() {
	p.pendingRenewal = p.world.nextNumber()
	p.renewalDeadline = p.clock() + renewalHold + callTimeout
	p.world.send(p.number, p.leader, 0, renewal{
		p.pendingRenewal, p.number, p.run, anvillease.Session{Instance: p.id, Incarnation: p.incarnation}, p.view.Index, p.clock(),
	})
}

// receiveRenewalReply handles the answer to a renewal, which may be late or duplicated.
func (p *process) receiveRenewalReply(r renewalReply) {
	current := r.call == p.pendingRenewal
	if current {
		p.pendingRenewal = 0
	}
	if r.refused {
		if current {
			p.leader = (p.leader + 1) % voterCount
			p.pendingRenewal, p.renewalDeadline = p.world.nextNumber(), p.clock()+25
		}
		return
	}
	if r.session.Incarnation != p.incarnation {
		return
	}
	if p.world.disabled == deltaBeforeLease {
		p.delayedDeltas = append(p.delayedDeltas, delayedDelta{p.world.now + p.world.random.Int64N(100*millisecond), r.delta})
	} else {
		p.applyDelta(&r.delta)
	}
	if !r.known {
		p.rejoin()
		return
	}
	p.lease.Granted(r.sent, r.span)
}

// applyDelta applies a delta to the view, and releases the targets that are to be handed
// over to another instance.
func (p *process) applyDelta(delta *anvilstate.Delta) {
	if p.world.disabled == staleDeltaIgnored {
		p.view.Index = 0
	}
	p.view.Apply(delta)
	p.targets = p.view.Targets()
	for _, target := range p.targets {
		if target.Owner != p.id || target.NextOwner == "" || p.released[target.ID] >= target.Epoch {
			continue
		}
		p.released[target.ID] = target.Epoch
		release := anvilstate.ReleaseTarget{ID: target.ID, Owner: p.id, Epoch: target.Epoch}
		// The call is repeated until it is answered, because only the owner can release the target.
		p.call(anvilstate.Command{Release: &release}, anvilclock.Hour, func(outcome, bool) {})
	}
}

// owns reports whether the instance may dispatch to a target, provided that its lease is
// valid.
func (p *process) owns(target anvilstate.Target) bool {
	return target.Owner == p.id && (p.world.disabled == stopBeforeRelease || p.released[target.ID] < target.Epoch)
}

func (p *process) call(command anvilstate.Command, span anvilclock.Millis, done func(outcome, bool)) {
	c := &call{id: p.world.nextNumber(), command: command, deadline: p.clock() + span, done: done}
	p.calls = append(p.calls, c)
	p.transmit(c)
}

func (p *process) transmit(c *call) {
	c.resendAt = p.clock() + 120
	p.world.send(p.number, p.leader, 0, proposal{c.id, p.number, p.run, c.command, false})
}

func (p *process) removeCall(c *call) {
	p.calls = slices.DeleteFunc(p.calls, func(other *call) bool { return other == c })
}

func (p *process) receiveOutcome(o outcome) {
	for _, c := range slices.Clone(p.calls) {
		if c.id != o.call {
			continue
		}
		if o.refused {
			c.resendAt = min(c.resendAt, p.clock()+20)
			return
		}
		p.removeCall(c)
		c.done(o, true)
	}
}
