package anvilproof_test

import (
	"container/heap"
	"errors"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillease"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilstate"
)

func (p *packets) push(x packet) { heap.Push(p, x) }

// replica is the part of a voter: the log, the state machine and, while it
// leads, the leases. It follows io/anvilcontrol.
type replica struct {
	disk      *anvilraft.PersistentState // nil for an instance without a vote
	node      *anvilraft.Node
	unsynced  []unsynced
	machine   *anvilstate.Machine
	granter   *anvillease.Granter
	term      anvilid.Term // in which it has taken up leadership
	applied   anvilid.Index
	membersAt anvilid.Index // of the latest membership change
	barriers  map[uint64]func()
	taking    anvilid.Term // leadership of this term is being taken up
	pending   []*pendingProposal
	held      []heldRenewal
	waiters   []waiter
	expireAt  anvilclock.Millis
	balanceAt anvilclock.Millis
	compactAt anvilid.Index
	led       anvilid.Term
	restored  bool
}

type unsynced struct {
	due  int64
	save anvilraft.Save
}

type pendingProposal struct {
	key      uint64
	index    anvilid.Index
	term     anvilid.Term
	proposal proposal
}

type heldRenewal struct {
	renewal
	due anvilclock.Millis
}

// waiter waits until a change is in force everywhere.
type waiter struct {
	proposal
	result anvilstate.Result
}

func (p *process) startReplica() {
	p.replica = replica{
		disk: p.disk, machine: anvilstate.New(), granter: newGranter(p.world.without),
		applied: p.disk.Snapshot.Index, barriers: map[uint64]func(){},
	}
	if p.disk.Snapshot.Index > 0 {
		p.restore(p.disk.Snapshot)
	}
	p.node = anvilraft.New(p.id, *p.disk, anvilraft.WithSeed(p.seed), anvilraft.WithTrailingEntries(20))
	p.step(anvilraft.Tick{})
}

func newGranter(without mechanism) *anvillease.Granter {
	if without == granterMargin {
		return anvillease.NewGranter(leaseSpan, anvillease.WithRateError(0))
	}
	return anvillease.NewGranter(leaseSpan)
}

func (p *process) restore(snapshot anvilraft.Snapshot) {
	machine, err := anvilstate.Restore(snapshot.Data)
	if err != nil {
		p.world.violate(neverLost, "%s can't restore snapshot %d: %v", p.id, snapshot.Index, err)
		return
	}
	p.machine, p.applied, p.compactAt = machine, snapshot.Index, snapshot.Index
}

// crashDisk keeps some of the writes that weren't synced.
func (p *process) crashDisk() {
	for i := range p.world.random.IntN(len(p.unsynced) + 1) {
		p.disk.Apply(p.unsynced[i].save)
	}
	p.unsynced = nil
}

func (p *process) step(event anvilraft.Event) {
	effects := p.node.Step(p.clock(), event)
	if effects.Save != nil {
		p.save(*effects.Save)
	}
	if effects.Restore != nil {
		p.world.counts.restores++
		p.restore(*effects.Restore)
	}
	for _, a := range effects.Accepted {
		for _, pending := range p.pending {
			if pending.key == a.Key {
				pending.index, pending.term = a.First, a.Term
			}
		}
	}
	for _, r := range effects.Rejected {
		if errors.Is(r.Reason, anvilraft.ErrInvalidCompact) {
			continue // its key is an index
		}
		delete(p.barriers, r.Key)
		p.reject(r.Key)
	}
	for _, entry := range effects.Committed {
		p.apply(entry)
	}
	for _, b := range effects.Barriers {
		if done, ok := p.barriers[b.Key]; ok {
			delete(p.barriers, b.Key)
			done()
		}
	}
	if effects.Role == anvilraft.Leader && effects.Term > p.led {
		p.led = effects.Term
		p.world.counts.elections++
	}
	for _, m := range effects.Send {
		for _, to := range p.world.processes[:voterCount] {
			if to.id == m.To.Instance {
				p.world.send(p.number, to.number, 0, m)
			}
		}
	}
}

func (p *process) save(save anvilraft.Save) {
	if p.world.without == syncFirst {
		p.unsynced = append(p.unsynced, unsynced{p.world.now + 400*millisecond, save})
		p.step(anvilraft.Persisted{Sequence: save.Sequence})
		return
	}
	p.unsynced = append(p.unsynced, unsynced{p.world.now + p.world.random.Int64N(15*millisecond), save})
}

func (p *process) sync() {
	var sequence uint64
	for len(p.unsynced) > 0 && p.unsynced[0].due <= p.world.now {
		p.disk.Apply(p.unsynced[0].save)
		sequence = p.unsynced[0].save.Sequence
		p.unsynced = p.unsynced[1:]
	}
	if sequence > 0 && p.world.without != syncFirst {
		p.step(anvilraft.Persisted{Sequence: sequence})
	}
}

func (p *process) reject(key uint64) {
	p.pending = slices.DeleteFunc(p.pending, func(pending *pendingProposal) bool {
		if pending.key == key {
			p.answer(pending.proposal, outcome{refused: true})
		}
		return pending.key == key
	})
}

func (p *process) apply(entry anvilraft.Entry) {
	p.applied = entry.Index
	if entry.Kind == anvilraft.KindMembers {
		p.membersAt = entry.Index
	}
	var result anvilstate.Result
	if entry.Kind == anvilraft.KindCommand {
		var command anvilstate.Command
		if err := anvilstate.Decode(entry.Data, &command); err != nil {
			p.world.violate(neverLost, "entry %d: %v", entry.Index, err)
			return
		}
		if command.Config != nil && p.world.without == baseCompared {
			command.Config.BaseRevision = p.machine.Revision()
		}
		result = p.machine.Apply(entry.Index, entry.At, command)
		p.followSessions(command, result)
		if command.Config != nil {
			p.world.applied(p, command.Config.ID, result)
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(pending *pendingProposal) bool {
		if pending.index != entry.Index {
			return false
		}
		if pending.term == entry.Term {
			p.decided(pending.proposal, result)
		}
		return true
	})
}

func (p *process) followSessions(command anvilstate.Command, result anvilstate.Result) {
	switch {
	case result.Code != "":
	case command.Join != nil:
		p.granter.Join(p.clock(), anvillease.Session{Instance: command.Join.Instance.ID, Incarnation: command.Join.Instance.Incarnation})
	case command.Expire != nil:
		p.granter.RemoveSession(anvillease.Session{Instance: command.Expire.ID, Incarnation: command.Expire.Incarnation})
	}
}

func (p *process) decided(proposal proposal, result anvilstate.Result) {
	if proposal.everywhere && result.Code == "" {
		p.waiters = append(p.waiters, waiter{proposal, result})
		return
	}
	p.answer(proposal, outcome{result: result})
}

func (p *process) answer(proposal proposal, o outcome) {
	if proposal.call == 0 {
		return // the leader's own
	}
	o.call = proposal.call
	p.world.send(p.number, proposal.from, proposal.run, o)
}

// leading is the condition for everything that a leader does or grants.
func (p *process) leading() bool {
	return p.node.HasQuorum(p.clock()) && p.node.Status().Term == p.term
}

func (p *process) propose(proposal proposal) {
	if p.disk == nil || !p.leading() || !p.admit(proposal.command) {
		p.answer(proposal, outcome{refused: true})
		return
	}
	p.append(proposal)
}

func (p *process) append(proposal proposal) {
	data, err := anvilstate.Encode(&proposal.command)
	if err != nil {
		panic(err)
	}
	pending := &pendingProposal{key: p.world.next(), proposal: proposal}
	p.pending = append(p.pending, pending)
	p.step(anvilraft.Propose{Key: pending.key, Commands: [][]byte{data}, At: anvilclock.Millis(p.world.now / millisecond)})
}

// admit refuses a join while an earlier run may hold a lease.
func (p *process) admit(command anvilstate.Command) bool {
	if command.Join == nil {
		return true
	}
	instance := command.Join.Instance
	return !p.granter.Supersede(p.clock(), anvillease.Session{Instance: instance.ID, Incarnation: instance.Incarnation})
}

func (p *process) renewalArrived(r renewal) {
	if p.disk == nil || !p.leading() {
		p.world.send(p.number, r.from, r.run, renewed{call: r.call, refused: true})
		return
	}
	p.granter.RecordApplied(r.session, r.applied)
	p.held = append(p.held, heldRenewal{r, p.clock() + renewHold})
}

// passReplica lets a millisecond pass for the log and for the leader's duties.
func (p *process) passReplica() {
	p.sync()
	if p.world.random.IntN(4) == 0 {
		p.step(anvilraft.Tick{})
	}
	if p.applied > p.compactAt+60 {
		data, err := p.machine.Snapshot()
		if err != nil {
			panic(err)
		}
		p.compactAt = p.applied
		p.step(anvilraft.Compact{Index: p.applied, Snapshot: data})
	}
	p.grantHeld()
	p.reportInForce()
	if p.clock() >= p.expireAt {
		p.expireAt = p.clock() + expirySpan
		p.lead()
	}
}

func (p *process) grantHeld() {
	held := p.held
	p.held = nil
	for _, r := range held {
		news := r.applied == 0 || p.machine.LastChangeIndex() > r.applied
		switch {
		case !news && p.clock() < r.due:
			p.held = append(p.held, r)
		case !p.leading():
			p.world.send(p.number, r.from, r.run, renewed{call: r.call, refused: true})
		default:
			delta := p.machine.DeltaSince(r.applied)
			span, known := p.granter.Renew(p.clock(), r.session, r.applied)
			p.world.send(p.number, r.from, r.run, renewed{
				call: r.call, known: known, session: r.session, sent: r.sent, span: span, delta: delta,
			})
		}
	}
}

func (p *process) reportInForce() {
	p.waiters = slices.DeleteFunc(p.waiters, func(waiter waiter) bool {
		if !p.granter.InForce(p.clock(), waiter.result.Index) {
			return false
		}
		everywhere := p.leading()
		if everywhere {
			p.world.everywhere = max(p.world.everywhere, waiter.result.Revision)
		}
		p.answer(waiter.proposal, outcome{result: waiter.result, everywhere: everywhere})
		return true
	})
}

// lead takes up leadership, expires sessions and spreads targets.
func (p *process) lead() {
	if !p.node.HasQuorum(p.clock()) {
		return
	}
	term := p.node.Status().Term
	switch {
	case p.term == term:
		p.expire()
		p.rebalance()
	case p.taking != term:
		p.taking = term
		key := p.world.next()
		p.barriers[key] = func() { p.takeUp(term) }
		p.step(anvilraft.ReadBarrier{Key: key})
	}
}

func (p *process) takeUp(term anvilid.Term) {
	var sessions []anvillease.Session
	for _, instance := range p.machine.Instances() {
		sessions = append(sessions, anvillease.Session{Instance: instance.ID, Incarnation: instance.Incarnation})
	}
	now := p.clock()
	if p.world.without == leaderWait {
		now -= 2 * leaseSpan
	}
	p.granter.StartTerm(now, sessions)
	p.term = term
}

func (p *process) expire() {
	for _, session := range p.granter.Expired(p.clock()) {
		if p.world.without != closeFirst {
			p.granter.RefuseRenewals(session.Instance)
		}
		p.world.counts.expiries++
		expire := anvilstate.ExpireInstance{ID: session.Instance, Incarnation: session.Incarnation}
		p.append(proposal{command: anvilstate.Command{Expire: &expire}})
	}
}

func (p *process) rebalance() {
	if p.clock() < p.balanceAt {
		return
	}
	p.balanceAt = p.clock() + 500
	p.append(proposal{command: anvilstate.Command{Rebalance: &anvilstate.Rebalance{}}})
}
