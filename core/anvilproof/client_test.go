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

// history collects operations for the check of linearizability. Operations
// are ordered by a count of calls and returns.
type history struct {
	events int64
	config []porcupine.Operation
	claims map[string][]porcupine.Operation
}

func (h *history) begin() int64 {
	h.events++
	return h.events
}

// operation returns a finished operation, or one without a known result,
// which may take effect at any later time.
func (h *history) operation(client int, call int64, input, output any, known bool) porcupine.Operation {
	h.events++
	done := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: h.events}
	if !known {
		// The client goes on, so that the operation gets a client of its own.
		done.ClientId, done.Return, done.Output = 1000+int(h.events), math.MaxInt64, nil
	}
	return done
}

// operator publishes changes and reads the revision, over a network that
// loses answers. Operators race: they often use the same revision.
type operator struct {
	world  *world
	number int
	base   anvilid.Revision
	serial int
	at     int
	open   *published
}

// published is the change or read that an operator waits for.
type published struct {
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

func (o *operator) pass() {
	w := o.world
	switch {
	case o.open == nil && !w.quiet && w.chance(10):
		o.begin()
	case o.open == nil:
	case w.now >= o.open.deadline:
		o.finish(nil, false)
	case w.now >= o.open.resendAt:
		o.at = w.random.IntN(voterCount)
		o.transmit()
	}
}

func (o *operator) begin() {
	w := o.world
	o.open = &published{id: w.next(), call: w.history.begin(), deadline: w.now + 4*second, read: w.random.IntN(3) == 0}
	if o.open.read {
		o.at = w.random.IntN(voterCount)
	} else {
		o.serial++
		// A change without effect would be refused, so the weights differ.
		change := &anvilconfig.Change{
			ID:       anvilid.ChangeID(fmt.Sprintf("c-%d-%d", o.number, o.serial)),
			Operator: anvilid.OperatorID(fmt.Sprint(o.number)), BaseRevision: o.base,
			Set: []anvilconfig.Object{{
				Key:     anvilconfig.Key{Kind: anvilconfig.KindAccount, Name: "agency"},
				Account: &anvilconfig.Account{Weight: 1 + 2*(o.serial%40) + o.number%2},
			}},
		}
		o.open.command = anvilstate.Command{Config: change}
	}
	o.transmit()
}

func (o *operator) transmit() {
	o.open.resendAt = o.world.now + 150*millisecond
	if o.open.read {
		o.world.send(o.number, o.at, 0, readCall{o.open.id, o.number})
		return
	}
	o.world.send(o.number, o.at, 0, proposal{o.open.id, o.number, 0, o.open.command, true})
}

func (o *operator) receive(body any) {
	switch reply := body.(type) {
	case outcome:
		if o.open == nil || o.open.id != reply.call || reply.refused {
			return
		}
		o.finish(&reply.result, true)
	case readReply:
		if o.open == nil || o.open.id != reply.call {
			return
		}
		o.base = reply.revision
		o.finish(&anvilstate.Result{Revision: reply.revision}, true)
	}
}

// finish records the operation of the operator.
func (o *operator) finish(result *anvilstate.Result, known bool) {
	w, open := o.world, o.open
	o.open = nil
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
		w.accept(change.ID, result.Revision)
		o.base = result.Revision
	case result.Conflict != nil:
		o.base = result.Conflict.Revision
	}
}

// read answers a read after a barrier.
func (p *process) read(r readCall) {
	reply := func() { p.world.send(p.number, r.from, 0, readReply{r.call, p.machine.Revision()}) }
	switch {
	case p.disk == nil:
	case p.world.without == readBarrier:
		reply() // from any voter, as its state is now
	default:
		key := p.world.next()
		p.barriers[key] = reply
		p.step(anvilraft.ReadBarrier{Key: key})
	}
}

type configInput struct {
	read bool
	id   string
	base anvilid.Revision
}

// configModel is a revision with compare-and-set.
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

// maxAttempts bounds the attempts of one request, because the search for an
// order takes time that is exponential in those without a known result.
const maxAttempts = 7

// caller is the owner of one request id that may not be repeated.
type caller struct {
	key      string
	attempts int
	runs     int
	last     string // the attempt that ran it
}

// attempt is one instance's try to run a request.
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

// call lets callers send requests, several of them to different instances at
// the same time.
func (w *world) call() {
	if !w.quiet && w.chance(12) {
		w.requests = append(w.requests, &caller{key: fmt.Sprint("r-", len(w.requests))})
	}
	if len(w.requests) == 0 || w.quiet || !w.chance(60) {
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
	a.holder = anvilstate.Holder{Instance: p.id, Incarnation: p.incarnation, Attempt: anvilid.Attempt(p.world.next())}
	p.attempts = append(p.attempts, a)
	claim := anvilstate.Claim{Key: requestKey(c), Digest: []byte("digest"), Holder: a.holder}
	// The caller's deadline ends the claim before the call does, so that late
	// answers reach an attempt that was given up.
	p.call(anvilstate.Command{Claim: &claim}, 3000, func(o outcome, ok bool) { p.claimed(a, o, ok) })
}

func (p *process) claimed(a *attempt, o outcome, ok bool) {
	p.world.recordClaim(a, a.call, "claim", o, ok)
	granted := ok && o.result.Claim != nil && o.result.Claim.Verdict == anvilstate.VerdictGranted
	late := a.state == abandoning && p.world.without == lateGrantIgnored
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

// dispatch runs the request.
func (p *process) dispatch(a *attempt) {
	w := p.world
	a.state, a.finishAt = running, w.now+w.random.Int64N(400*millisecond)
	a.caller.runs++
	w.counts.runs++
	if a.caller.runs > 1 {
		w.violate(oneRun, "%s runs again by %v after %s", a.caller.key, a.holder, a.caller.last)
	}
	a.caller.last = fmt.Sprint(a.holder)
}

// abandon gives an attempt up. The caller is told "not run" when the log has
// confirmed it.
func (p *process) abandon(a *attempt) {
	a.state = abandoning
	began := p.world.history.begin()
	abandon := anvilstate.Abandon{Key: requestKey(a.caller), Holder: a.holder}
	p.call(anvilstate.Command{Abandon: &abandon}, 5000, func(o outcome, ok bool) {
		p.world.recordClaim(a, began, "abandon", o, ok)
		if ok && o.result.Code == "" && a.state == running {
			p.world.violate(trueNotRun, "%s was reported as not run by %v, which runs it", a.caller.key, a.holder)
		}
	})
}

func (p *process) passAttempts() {
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

// maybe is the recorded result of a claim that took effect or not before it
// was answered.
const maybe = "maybe"

type claimInput struct {
	what   string
	holder string
}

func (w *world) recordClaim(a *attempt, call int64, what string, o outcome, known bool) {
	if w.history.claims == nil {
		w.history.claims = map[string][]porcupine.Operation{}
	}
	verdict := cmp.Or(o.result.Code, "refused")
	if o.result.Claim != nil {
		verdict = string(o.result.Claim.Verdict)
	}
	// A claim that was resent may have been granted the first time and ended
	// since, so that these answers don't tell whether it took effect.
	unsure := verdict == "lost" || verdict == "barred" || a.state != claiming && verdict != string(anvilstate.VerdictGranted)
	if what == "claim" && known && unsure && verdict != "stale" {
		verdict = maybe
	}
	input := claimInput{what, fmt.Sprint(a.holder)}
	// A copy of the claim that was delayed may be granted to the ended attempt
	// once the id is free. Then the id is held and nobody runs the request.
	if what == "claim" && (verdict == maybe || verdict == string(anvilstate.VerdictHeld)) {
		w.history.claims[a.caller.key] = append(w.history.claims[a.caller.key], w.history.operation(0, call, input, nil, false))
	}
	w.history.claims[a.caller.key] = append(w.history.claims[a.caller.key],
		w.history.operation(int(a.holder.Attempt)*10+len(what), call, input, verdict, known))
}

// claimState is the model of one id. barred is a sorted list.
type claimState struct {
	phase  string // "", held or done
	holder string
	barred string
}

// claimModel allows a grant only while nobody else holds the id. An id that
// was lost with its holder stays held in the model: nobody else gets it.
var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(claimState), input.(claimInput)
		verdict, known := output.(string)
		switch in.what {
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
	case (!known || verdict == maybe) && free:
		return true, granted
	case !known, verdict == maybe, verdict == "stale":
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

// checkHistory looks for an order of the operations that explains all results.
func (w *world) checkHistory() {
	for _, o := range w.operators {
		if o.open != nil {
			o.finish(nil, false)
		}
	}
	for _, p := range w.processes {
		for _, c := range p.calls {
			c.done(outcome{}, false)
		}
	}
	if !w.explained(configModel, w.history.config) {
		w.violate(linearizable, "no order explains the %d operations on the configuration", len(w.history.config))
	}
	for _, c := range w.requests {
		if !w.explained(claimModel, w.history.claims[c.key]) {
			w.violate(linearizable, "no order explains the claims of %s: %v", c.key, w.history.claims[c.key])
		}
	}
}

// explained tells whether an order of the operations explains all results. A
// search that doesn't end in time decides nothing and is counted.
func (w *world) explained(model porcupine.Model, operations []porcupine.Operation) bool {
	const limit = 5 * time.Second
	result := porcupine.CheckOperationsTimeout(model, operations, limit)
	if result == porcupine.Unknown {
		w.counts.undecided++
	}
	return result != porcupine.Illegal
}
