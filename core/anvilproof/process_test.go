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

// process is one instance, which may be a voter.
type process struct {
	world  *world
	number int
	id     anvilid.InstanceID
	seed   uint64
	run    anvilid.Incarnation // also the incarnation that it joins with
	up     bool
	frozen bool
	slow   int64 // delays what it sends
	rate   float64
	offset float64
	// stalled arrived while the process was frozen.
	stalled []packet

	replica // of voters
	session // of all
}

// session is the part of an instance that renews the lease.
type session struct {
	view        *anvilview.View
	targets     []anvilstate.Target // of the view
	lease       anvillease.Holder
	incarnation anvilid.Incarnation
	joined      bool
	leader      int // the voter that is asked next
	renewal     uint64
	renewBy     anvilclock.Millis
	released    map[anvilid.TargetID]anvilid.Epoch
	calls       []*call
	attempts    []*attempt
	later       []later
}

// later is what an instance without deltaFirst does after a delay.
type later struct {
	due   int64
	delta anvilstate.Delta
}

// call is a command that is resent until it is answered or given up.
type call struct {
	id       uint64
	command  anvilstate.Command
	deadline anvilclock.Millis
	resendAt anvilclock.Millis
	done     func(outcome, bool) // the result is false if it was given up
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
	renewed struct {
		call    uint64
		refused bool
		known   bool
		session anvillease.Session
		sent    anvilclock.Millis
		span    anvilclock.Millis
		delta   anvilstate.Delta
	}
)

// clock reads the monotonic clock of the process. It keeps its rate for a run.
func (p *process) clock() anvilclock.Millis {
	return anvilclock.Millis((float64(p.world.now)*p.rate + p.offset) / 1000)
}

func (p *process) start() {
	if p.up {
		return
	}
	w := p.world
	p.up, p.frozen, p.stalled = true, false, nil
	p.run = anvilid.Incarnation(w.next())
	p.rate = []float64{0.99, 1, 1.01}[w.random.IntN(3)]
	p.offset = float64(w.random.Int64N(1000 * second))
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

func (p *process) wake() {
	if !p.frozen {
		return
	}
	p.frozen = false
	for _, packet := range p.stalled {
		packet.due = p.world.now + p.world.random.Int64N(3*millisecond)
		packet.order = p.world.next()
		p.world.network.push(packet)
	}
	p.stalled = nil
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
		p.renewalArrived(body)
	case outcome:
		p.answered(body)
	case readCall:
		p.read(body)
	case renewed:
		p.renewed(body)
	}
}

// pass lets a millisecond pass.
func (p *process) pass() {
	if p.disk != nil {
		p.passReplica()
	}
	p.passSession()
	p.passAttempts()
}

func (p *process) passSession() {
	w := p.world
	for len(p.later) > 0 && p.later[0].due <= w.now {
		p.take(&p.later[0].delta)
		p.later = p.later[1:]
	}
	now := p.clock()
	for _, c := range slices.Clone(p.calls) {
		switch {
		case now >= c.deadline:
			p.drop(c)
			c.done(outcome{}, false)
		case now >= c.resendAt:
			p.leader = (p.leader + 1) % voterCount
			p.transmit(c)
		}
	}
	switch {
	case p.renewal != 0 && now >= p.renewBy:
		p.renewal = 0
		p.leader = (p.leader + 1) % voterCount
	case p.renewal == 0 && !p.joined:
		p.join()
	case p.renewal == 0:
		p.renew()
	}
}

// join asks to join the control group. Until the answer, renewal is set to
// keep further ones back.
func (p *process) join() {
	instance := anvilstate.Instance{ID: p.id, Incarnation: p.incarnation, Region: "west", Zone: "z"}
	p.renewal = p.world.next()
	p.renewBy = p.clock() + 1000
	p.call(anvilstate.Command{Join: &anvilstate.JoinInstance{Instance: instance}}, 900, func(o outcome, ok bool) {
		p.renewal = 0
		if ok && o.result.Code != "" {
			p.rejoin()
		} else if ok {
			p.joined = true
		}
	})
}

// rejoin prepares to join under a new incarnation.
func (p *process) rejoin() {
	p.lease.Revoke()
	p.joined = false
	p.incarnation = anvilid.Incarnation(p.world.next())
}

func (p *process) renew() {
	p.renewal = p.world.next()
	p.renewBy = p.clock() + renewHold + callSpan
	p.world.send(p.number, p.leader, 0, renewal{
		p.renewal, p.number, p.run, anvillease.Session{Instance: p.id, Incarnation: p.incarnation}, p.view.Index, p.clock(),
	})
}

// renewed takes the answer to a renewal, also a late or doubled one.
func (p *process) renewed(r renewed) {
	current := r.call == p.renewal
	if current {
		p.renewal = 0
	}
	if r.refused {
		if current {
			p.leader = (p.leader + 1) % voterCount
			p.renewal, p.renewBy = p.world.next(), p.clock()+25
		}
		return
	}
	if r.session.Incarnation != p.incarnation {
		return
	}
	if p.world.without == deltaFirst {
		p.later = append(p.later, later{p.world.now + p.world.random.Int64N(100*millisecond), r.delta})
	} else {
		p.take(&r.delta)
	}
	if !r.known {
		p.rejoin()
		return
	}
	p.lease.Granted(r.sent, r.span)
}

// take brings the view up to date and releases targets that are handed over.
func (p *process) take(delta *anvilstate.Delta) {
	if p.world.without == staleDelta {
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
		// It is tried until it is answered: nobody else can free the target.
		p.call(anvilstate.Command{Release: &release}, anvilclock.Hour, func(outcome, bool) {})
	}
}

// owns tells whether the instance may dispatch to a target, given its lease.
func (p *process) owns(target anvilstate.Target) bool {
	return target.Owner == p.id && (p.world.without == releaseFirst || p.released[target.ID] < target.Epoch)
}

func (p *process) call(command anvilstate.Command, span anvilclock.Millis, done func(outcome, bool)) {
	c := &call{id: p.world.next(), command: command, deadline: p.clock() + span, done: done}
	p.calls = append(p.calls, c)
	p.transmit(c)
}

func (p *process) transmit(c *call) {
	c.resendAt = p.clock() + 120
	p.world.send(p.number, p.leader, 0, proposal{c.id, p.number, p.run, c.command, false})
}

func (p *process) drop(c *call) {
	p.calls = slices.DeleteFunc(p.calls, func(other *call) bool { return other == c })
}

func (p *process) answered(o outcome) {
	for _, c := range slices.Clone(p.calls) {
		if c.id != o.call {
			continue
		}
		if o.refused {
			c.resendAt = min(c.resendAt, p.clock()+20)
			return
		}
		p.drop(c)
		c.done(o, true)
	}
}
