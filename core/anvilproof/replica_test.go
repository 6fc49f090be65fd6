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

// replica is the part of a process that only voters have: the log, the state machine and,
// while it is the leader, the leases. It is modelled on io/anvilcontrol.
type replica struct {
	disk            *anvilraft.PersistentState // nil for an instance that is not a voter
	node            *anvilraft.Node
	unsynced        []unsynced
	machine         *anvilstate.Machine
	granter         *anvillease.Granter
	leadingTerm     anvilid.Term // term in which it has completed taking leadership
	applied         anvilid.Index
	membersAt       anvilid.Index // index of the latest applied membership change
	barriers        map[uint64]func()
	takingTerm      anvilid.Term // term in which it is taking leadership
	pending         []*pendingProposal
	heldRenewals    []heldRenewal
	waiters         []waiter
	nextExpiryAt    anvilclock.Millis
	nextRebalanceAt anvilclock.Millis
	compactedIndex  anvilid.Index
	lastLedTerm     anvilid.Term
	restored        bool
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

// waiter is the proposal of a configuration change whose answer waits until every instance
// with a lease has applied the change (Granter.InForce).
type waiter struct {
	proposal
	result anvilstate.Result
}

func (p *process) startReplica() {
	p.replica = replica{
		disk: p.disk, machine: anvilstate.New(), granter: newGranter(p.world.disabled),
		applied: p.disk.Snapshot.Index, barriers: map[uint64]func(){},
	}
	if p.disk.Snapshot.Index > 0 {
		p.restore(p.disk.Snapshot)
	}
	p.node = anvilraft.New(p.id, *p.disk, anvilraft.WithSeed(p.seed), anvilraft.WithTrailingEntries(20))
	p.step(anvilraft.Tick{})
}

func newGranter(disabled mechanism) *anvillease.Granter {
	if disabled == granterMargin {
		return anvillease.NewGranter(leaseDuration, anvillease.WithRateError(0))
	}
	return anvillease.NewGranter(leaseDuration)
}

func (p *process) restore(snapshot anvilraft.Snapshot) {
	machine, err := anvilstate.Restore(snapshot.Data)
	if err != nil {
		p.world.violate(changeNeverLost, "%s can't restore snapshot %d: %v", p.id, snapshot.Index, err)
		return
	}
	p.machine, p.applied, p.compactedIndex = machine, snapshot.Index, snapshot.Index
}

// crashDisk writes a random number of the pending Saves to disk and drops the others.
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
			continue // a rejected Compact event, whose key is a log index
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
	if effects.Role == anvilraft.Leader && effects.Term > p.lastLedTerm {
		p.lastLedTerm = effects.Term
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
	if p.world.disabled == syncBeforeAck {
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
	if sequence > 0 && p.world.disabled != syncBeforeAck {
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
			p.world.violate(changeNeverLost, "entry %d: %v", entry.Index, err)
			return
		}
		if command.Config != nil && p.world.disabled == compareAndSet {
			command.Config.BaseRevision = p.machine.Revision()
		}
		result = p.machine.Apply(entry.Index, entry.At, command)
		p.updateSessions(command, result)
		if command.Config != nil {
			p.world.checkApplied(p, command.Config.ID, result)
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(pending *pendingProposal) bool {
		if pending.index != entry.Index {
			return false
		}
		if pending.term == entry.Term {
			p.handleCommitted(pending.proposal, result)
		}
		return true
	})
}

func (p *process) updateSessions(command anvilstate.Command, result anvilstate.Result) {
	switch {
	case result.Code != "":
	case command.Join != nil:
		p.granter.Join(p.clock(), anvillease.Session{Instance: command.Join.Instance.ID, Incarnation: command.Join.Instance.Incarnation})
	case command.Expire != nil:
		p.granter.RemoveSession(anvillease.Session{Instance: command.Expire.ID, Incarnation: command.Expire.Incarnation})
	}
}

func (p *process) handleCommitted(proposal proposal, result anvilstate.Result) {
	if proposal.everywhere && result.Code == "" {
		p.waiters = append(p.waiters, waiter{proposal, result})
		return
	}
	p.answer(proposal, outcome{result: result})
}

func (p *process) answer(proposal proposal, o outcome) {
	if proposal.call == 0 {
		return // the leader made this proposal itself, so nobody waits for an answer
	}
	o.call = proposal.call
	p.world.send(p.number, proposal.from, proposal.run, o)
}

// leading reports whether the process may act as leader, such as grant leases: it has a quorum
// and has completed taking leadership in this term.
func (p *process) leading() bool {
	return p.node.HasQuorum(p.clock()) && p.node.Status().Term == p.leadingTerm
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
	pending := &pendingProposal{key: p.world.nextNumber(), proposal: proposal}
	p.pending = append(p.pending, pending)
	p.step(anvilraft.Propose{Key: pending.key, Commands: [][]byte{data}, At: anvilclock.Millis(p.world.now / millisecond)})
}

// admit refuses the join of an instance while the lease of an earlier incarnation may still be
// valid. It lets all other commands pass.
func (p *process) admit(command anvilstate.Command) bool {
	if command.Join == nil {
		return true
	}
	instance := command.Join.Instance
	return !p.granter.Supersede(p.clock(), anvillease.Session{Instance: instance.ID, Incarnation: instance.Incarnation})
}

func (p *process) receiveRenewal(r renewal) {
	if p.disk == nil || !p.leading() {
		p.world.send(p.number, r.from, r.run, renewalReply{call: r.call, refused: true})
		return
	}
	p.granter.RecordApplied(r.session, r.applied)
	p.heldRenewals = append(p.heldRenewals, heldRenewal{r, p.clock() + renewalHold})
}

// advanceReplica performs the work of a voter for one millisecond of simulated time: that of
// the log and, on the leader, the leader's duties.
func (p *process) advanceReplica() {
	p.sync()
	if p.world.random.IntN(4) == 0 {
		p.step(anvilraft.Tick{})
	}
	if p.applied > p.compactedIndex+60 {
		data, err := p.machine.Snapshot()
		if err != nil {
			panic(err)
		}
		p.compactedIndex = p.applied
		p.step(anvilraft.Compact{Index: p.applied, Snapshot: data})
	}
	p.grantHeld()
	p.reportInForce()
	if p.clock() >= p.nextExpiryAt {
		p.nextExpiryAt = p.clock() + expiryCheckInterval
		p.performLeaderDuties()
	}
}

func (p *process) grantHeld() {
	held := p.heldRenewals
	p.heldRenewals = nil
	for _, r := range held {
		hasChanges := r.applied == 0 || p.machine.LastChangeIndex() > r.applied
		switch {
		case !hasChanges && p.clock() < r.due:
			p.heldRenewals = append(p.heldRenewals, r)
		case !p.leading():
			p.world.send(p.number, r.from, r.run, renewalReply{call: r.call, refused: true})
		default:
			delta := p.machine.DeltaSince(r.applied)
			span, known := p.granter.Renew(p.clock(), r.session, r.applied)
			p.world.send(p.number, r.from, r.run, renewalReply{
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
			p.world.reportedInForce = max(p.world.reportedInForce, waiter.result.Revision)
		}
		p.answer(waiter.proposal, outcome{result: waiter.result, everywhere: everywhere})
		return true
	})
}

// performLeaderDuties takes leadership if this process was elected in a new term. If it has
// taken leadership in the current term, it expires sessions and rebalances targets.
func (p *process) performLeaderDuties() {
	if !p.node.HasQuorum(p.clock()) {
		return
	}
	term := p.node.Status().Term
	switch {
	case p.leadingTerm == term:
		p.expire()
		p.rebalance()
	case p.takingTerm != term:
		p.takingTerm = term
		key := p.world.nextNumber()
		p.barriers[key] = func() { p.takeLeadership(term) }
		p.step(anvilraft.ReadBarrier{Key: key})
	}
}

func (p *process) takeLeadership(term anvilid.Term) {
	var sessions []anvillease.Session
	for _, instance := range p.machine.Instances() {
		sessions = append(sessions, anvillease.Session{Instance: instance.ID, Incarnation: instance.Incarnation})
	}
	now := p.clock()
	if p.world.disabled == newLeaderWait {
		now -= 2 * leaseDuration
	}
	p.granter.StartTerm(now, sessions)
	p.leadingTerm = term
}

func (p *process) expire() {
	for _, session := range p.granter.Expired(p.clock()) {
		if p.world.disabled != refuseBeforeExpiry {
			p.granter.RefuseRenewals(session.Instance)
		}
		p.world.counts.expiries++
		expire := anvilstate.ExpireInstance{ID: session.Instance, Incarnation: session.Incarnation}
		p.append(proposal{command: anvilstate.Command{Expire: &expire}})
	}
}

func (p *process) rebalance() {
	if p.clock() < p.nextRebalanceAt {
		return
	}
	p.nextRebalanceAt = p.clock() + 500
	p.append(proposal{command: anvilstate.Command{Rebalance: &anvilstate.Rebalance{}}})
}
