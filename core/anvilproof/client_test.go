package anvilproof_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilstate"
)

// history records the clients' operations for the linearizability check. Their order is that
// of events, which numbers the calls and returns.
type history struct {
	events int64
	config []porcupine.Operation
	claims map[string][]porcupine.Operation
}

func (h *history) begin() int64 {
	h.events++
	return h.events
}

// operation returns the record of an operation that has finished or, if known is false, of
// one whose result is unknown and that may take effect at any later time.
func (h *history) operation(client int, call int64, input, output any, known bool) porcupine.Operation {
	h.events++
	done := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: h.events}
	if !known {
		// The client continues with other operations, so this one is recorded under a client id of
		// its own.
		done.ClientId, done.Return, done.Output = 1000+int(h.events), math.MaxInt64, nil
	}
	return done
}

// operator simulates a client that publishes configuration changes and reads the revision,
// over a network that loses answers. Operators compete: their changes are often based on the
// same revision.
type operator struct {
	world   *world
	number  int
	base    anvilid.Revision
	serial  int
	at      int
	pending *pendingCall
}

// pendingCall is the change or read that an operator waits for.
type pendingCall struct {
	id       uint64
	command  anvilstate.Command
	read     bool
	call     int64
	resendAt int64
	deadline int64
}

type (
	readCall struct {
		call uint64
		from int
	}
	readReply struct {
		call     uint64
		revision anvilid.Revision
	}
)

func newOperator(w *world, number int) *operator { return &operator{world: w, number: number} }

func (o *operator) advance() {
	w := o.world
	switch {
	case o.pending == nil && !w.noNewWork && w.chance(10):
		o.begin()
	case o.pending == nil:
	case w.now >= o.pending.deadline:
		o.finish(nil, false)
	case w.now >= o.pending.resendAt:
		o.at = w.random.IntN(voterCount)
		o.transmit()
	}
}

func (o *operator) begin() {
	w := o.world
	o.pending = &pendingCall{id: w.nextNumber(), call: w.history.begin(), deadline: w.now + 4*second, read: w.random.IntN(3) == 0}
	if o.pending.read {
		o.at = w.random.IntN(voterCount)
	} else {
		o.serial++
		// A change without effect would be rejected, so each change sets another weight.
		change := &anvilconfig.Change{
			ID:       anvilid.ChangeID(fmt.Sprintf("c-%d-%d", o.number, o.serial)),
			Operator: anvilid.OperatorID(fmt.Sprint(o.number)), BaseRevision: o.base,
			Set: []anvilconfig.Object{{
				Key:     anvilconfig.Key{Kind: anvilconfig.KindAccount, Name: "agency"},
				Account: &anvilconfig.Account{Weight: 1 + 2*(o.serial%40) + o.number%2},
			}},
		}
		o.pending.command = anvilstate.Command{Config: change}
	}
	o.transmit()
}

func (o *operator) transmit() {
	o.pending.resendAt = o.world.now + 150*millisecond
	if o.pending.read {
		o.world.send(o.number, o.at, 0, readCall{o.pending.id, o.number})
		return
	}
	o.world.send(o.number, o.at, 0, proposal{o.pending.id, o.number, 0, o.pending.command, true})
}

func (o *operator) receive(body any) {
	switch reply := body.(type) {
	case outcome:
		if o.pending == nil || o.pending.id != reply.call || reply.refused {
			return
		}
		o.finish(&reply.result, true)
	case readReply:
		if o.pending == nil || o.pending.id != reply.call {
			return
		}
		o.base = reply.revision
		o.finish(&anvilstate.Result{Revision: reply.revision}, true)
	}
}

// finish records the pending change or read in the history.
func (o *operator) finish(result *anvilstate.Result, known bool) {
	w, open := o.world, o.pending
	o.pending = nil
	if open.read {
		if known {
			w.history.config = append(w.history.config, w.history.operation(o.number, open.call, configInput{read: true}, *result, true))
		}
		return
	}
	change := open.command.Config
	input := configInput{id: string(change.ID), base: change.BaseRevision}
	if !known {
		w.history.config = append(w.history.config, w.history.operation(o.number, open.call, input, nil, false))
		return
	}
	w.history.config = append(w.history.config, w.history.operation(o.number, open.call, input, *result, true))
	switch {
	case result.Code == "":
		w.recordAccepted(change.ID, result.Revision)
		o.base = result.Revision
	case result.Conflict != nil:
		o.base = result.Conflict.Revision
	}
}

// read answers an operator's read of the revision, after a read barrier (anvilraft.ReadBarrier)
// has confirmed that this process is the leader.
func (p *process) read(r readCall) {
	reply := func() { p.world.send(p.number, r.from, 0, readReply{r.call, p.machine.Revision()}) }
	switch {
	case p.disk == nil:
	case p.world.disabled == readBarrier:
		reply() // any voter answers from its current state, which may be old
	default:
		key := p.world.nextNumber()
		p.barriers[key] = reply
		p.step(anvilraft.ReadBarrier{Key: key})
	}
}

type configInput struct {
	read bool
	id   string
	base anvilid.Revision
}

// configModel is the sequential model of the configuration, with which recorded operations
// are compared: a revision that a change increases if it is based on the current one.
var configModel = porcupine.Model{
	Init: func() any { return anvilid.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in := state.(anvilid.Revision), input.(configInput)
		result, known := output.(anvilstate.Result)
		switch {
		case in.read:
			return result.Revision == revision, state
		case !known && in.base == revision:
			return true, revision + 1
		case !known:
			return true, state
		case result.Code == "":
			return in.base == revision && result.Revision == revision+1, revision + 1
		}
		return result.Code == "stale_revision" && in.base != revision, state
	},
}

// maxAttempts limits the attempts to run one request, because the time of the linearizability
// check grows exponentially with the number of attempts whose result is unknown.
const maxAttempts = 7

// caller simulates a client that sends one non-repeatable request, under one request id.
type caller struct {
	key         string
	attempts    int
	runs        int
	lastAttempt string // the claim holder of the last attempt that ran the request
}

// attempt is one try of an instance to run a request.
type attempt struct {
	caller   *caller
	holder   anvilstate.Holder
	began    int64
	call     int64
	state    attemptState
	token    anvilid.Token
	finishAt int64
}

type attemptState int

const (
	claiming attemptState = iota
	running
	abandoning
	ended
)

// sendRequests lets callers send requests at random. A caller may send the same request to
// several instances at the same time.
func (w *world) sendRequests() {
	if !w.noNewWork && w.chance(12) {
		w.requests = append(w.requests, &caller{key: fmt.Sprint("r-", len(w.requests))})
	}
	if len(w.requests) == 0 || w.noNewWork || !w.chance(60) {
		return
	}
	recent := w.requests[max(0, len(w.requests)-6):]
	c := recent[w.random.IntN(len(recent))]
	p := w.processes[w.random.IntN(processCount)]
	if p.up && !p.frozen && p.lease.Valid(p.clock()) && c.attempts < maxAttempts {
		c.attempts++
		p.attempt(c)
	}
}

func requestKey(c *caller) anvilstate.RequestKey {
	return anvilstate.RequestKey{Account: "agency", Service: "planner", ID: anvilid.RequestID(c.key)}
}

func (p *process) attempt(c *caller) {
	a := &attempt{caller: c, began: p.world.now, call: p.world.history.begin()}
	a.holder = anvilstate.Holder{Instance: p.id, Incarnation: p.incarnation, Attempt: anvilid.Attempt(p.world.nextNumber())}
	p.attempts = append(p.attempts, a)
	claim := anvilstate.Claim{Key: requestKey(c), Digest: []byte("digest"), Holder: a.holder}
	// The caller's deadline ends the attempt before this call ends, so that late answers reach
	// an attempt that was already abandoned.
	p.call(anvilstate.Command{Claim: &claim}, 3000, func(o outcome, ok bool) { p.handleClaimOutcome(a, o, ok) })
}

func (p *process) handleClaimOutcome(a *attempt, o outcome, ok bool) {
	p.world.recordClaim(a, a.call, "claim", o, ok)
	granted := ok && o.result.Claim != nil && o.result.Claim.Verdict == anvilstate.VerdictGranted
	late := a.state == abandoning && p.world.disabled == lateGrantIgnored
	switch {
	case a.state != claiming && !late || !p.up:
	case !granted:
		a.state = ended
	case !p.lease.Valid(p.clock()):
		p.abandon(a)
	default:
		p.dispatch(a)
	}
}

// dispatch runs the request of an attempt whose claim was granted.
func (p *process) dispatch(a *attempt) {
	w := p.world
	a.state, a.finishAt = running, w.now+w.random.Int64N(400*millisecond)
	a.caller.runs++
	w.counts.runs++
	if a.caller.runs > 1 {
		w.violate(runsAtMostOnce, "%s runs again by %v after %s", a.caller.key, a.holder, a.caller.lastAttempt)
	}
	a.caller.lastAttempt = fmt.Sprint(a.holder)
}

// abandon gives up an attempt. The caller is told "not run" once the log has confirmed it.
func (p *process) abandon(a *attempt) {
	a.state = abandoning
	began := p.world.history.begin()
	abandon := anvilstate.Abandon{Key: requestKey(a.caller), Holder: a.holder}
	p.call(anvilstate.Command{Abandon: &abandon}, 5000, func(o outcome, ok bool) {
		p.world.recordClaim(a, began, "abandon", o, ok)
		if ok && o.result.Code == "" && a.state == running {
			p.world.violate(notRunIsTrue, "%s was reported as not run by %v, which runs it", a.caller.key, a.holder)
		}
	})
}

func (p *process) advanceAttempts() {
	w := p.world
	for _, a := range slices.Clone(p.attempts) {
		switch {
		case a.state == claiming && w.now > a.began+250*millisecond:
			p.abandon(a)
		case a.state == running && w.now >= a.finishAt:
			a.state = ended
			began := w.history.begin()
			report := anvilstate.Complete{Key: requestKey(a.caller), Holder: a.holder, Answer: anvilstate.Answer{Status: 200}}
			p.call(anvilstate.Command{Complete: &report}, 5000, func(o outcome, ok bool) { w.recordClaim(a, began, "complete", o, ok) })
		}
	}
	p.attempts = slices.DeleteFunc(p.attempts, func(a *attempt) bool { return a.state == ended })
}

// effectUnknown is recorded as the result of a claim whose answer doesn't show whether the
// claim has taken effect.
const effectUnknown = "maybe"

type claimInput struct {
	operation string
	holder    string
}

func (w *world) recordClaim(a *attempt, call int64, what string, o outcome, known bool) {
	if w.history.claims == nil {
		w.history.claims = map[string][]porcupine.Operation{}
	}
	verdict := cmp.Or(o.result.Code, "refused")
	if o.result.Claim != nil {
		verdict = string(o.result.Claim.Verdict)
	}
	// Two copies of a claim may arrive because claims are resent. The first copy may have been
	// granted and the attempt may have ended since, so the answers lost and barred, and most
	// answers after the attempt has given up, don't show whether the claim took effect.
	unsure := verdict == "lost" || verdict == "barred" || a.state != claiming && verdict != string(anvilstate.VerdictGranted)
	if what == "claim" && known && unsure && verdict != "stale" {
		verdict = effectUnknown
	}
	input := claimInput{what, fmt.Sprint(a.holder)}
	// A delayed copy of the claim may be granted to the attempt after it has ended, once the
	// request id is free. Then the attempt holds the id, and nobody runs the request.
	if what == "claim" && (verdict == effectUnknown || verdict == string(anvilstate.VerdictHeld)) {
		w.history.claims[a.caller.key] = append(w.history.claims[a.caller.key], w.history.operation(0, call, input, nil, false))
	}
	w.history.claims[a.caller.key] = append(w.history.claims[a.caller.key],
		w.history.operation(int(a.holder.Attempt)*10+len(what), call, input, verdict, known))
}

// claimState is the state of one request id in claimModel. barred is the sorted list of
// holders whose attempts were abandoned, separated by "|".
type claimState struct {
	phase  string // "", held or done
	holder string
	barred string
}

// claimModel is the sequential model of one request id, with which recorded operations are
// compared. It permits a grant only while no other attempt holds the id. An id whose holder
// was lost stays held in the model, because it must not be granted to another attempt.
var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(claimState), input.(claimInput)
		verdict, known := output.(string)
		switch in.operation {
		case "claim":
			return s.claim(in.holder, verdict, known)
		case "abandon":
			return s.abandon(in.holder, verdict, known)
		}
		return s.complete(in.holder, verdict, known)
	},
}

func (s claimState) bars(holder string) bool { return strings.Contains(s.barred, "|"+holder+"|") }

func (s claimState) claim(holder, verdict string, known bool) (bool, any) {
	free := s.phase == "" && !s.bars(holder)
	granted := claimState{"held", holder, s.barred}
	switch {
	case (!known || verdict == effectUnknown) && free:
		return true, granted
	case !known, verdict == effectUnknown, verdict == "stale":
		return true, s
	}
	switch anvilstate.Verdict(verdict) {
	case anvilstate.VerdictGranted:
		return free || s.phase == "held" && s.holder == holder, granted
	case anvilstate.VerdictHeld:
		return s.phase == "held" && s.holder != holder, s
	case anvilstate.VerdictDone:
		return s.phase == "done", s
	}
	return false, s
}

func (s claimState) abandon(holder, verdict string, known bool) (bool, any) {
	if known && verdict == "stale" {
		return s.phase == "done", s
	}
	if known && verdict != string(anvilstate.VerdictReleased) {
		return false, s
	}
	if s.holder == holder && s.phase == "done" {
		return !known, s
	}
	if !s.bars(holder) {
		all := append(strings.Split(strings.Trim(s.barred, "|"), "|"), holder)
		slices.Sort(all)
		s.barred = "|" + strings.Join(slices.DeleteFunc(all, func(h string) bool { return h == "" }), "|") + "|"
	}
	if s.holder == holder {
		s.phase, s.holder = "", ""
	}
	return true, s
}

func (s claimState) complete(holder, verdict string, known bool) (bool, any) {
	mine := s.holder == holder && s.phase != ""
	switch {
	case !known && mine:
		s.phase = "done"
		return true, s
	case !known:
		return true, s
	case verdict == string(anvilstate.VerdictDone):
		s.phase = "done"
		return mine, s
	}
	return false, s
}

// checkHistory fails if the recorded operations are not linearizable: if no order of them
// explains all results.
func (w *world) checkHistory() {
	for _, o := range w.operators {
		if o.pending != nil {
			o.finish(nil, false)
		}
	}
	for _, p := range w.processes {
		for _, c := range p.calls {
			c.done(outcome{}, false)
		}
	}
	if !w.isLinearizable(configModel, w.history.config) {
		w.violate(linearizable, "no order explains the %d operations on the configuration", len(w.history.config))
	}
	for _, c := range w.requests {
		if !w.isLinearizable(claimModel, w.history.claims[c.key]) {
			w.violate(linearizable, "no order explains the claims of %s: %v", c.key, w.history.claims[c.key])
		}
	}
}

// isLinearizable reports whether some order of the operations explains all results. A
// search that exceeds the time limit counts as undecided, not as a violation.
func (w *world) isLinearizable(model porcupine.Model, operations []porcupine.Operation) bool {
	const limit = 5 * time.Second
	result := porcupine.CheckOperationsTimeout(model, operations, limit)
	if result == porcupine.Unknown {
		w.counts.undecided++
	}
	return result != porcupine.Illegal
}
