package anvilstate

import (
	"bytes"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// ClaimState is the state of a request id, under which a non-repeatable request runs at most
// once.
type ClaimState string

// States of a request id.
const (
	// ClaimHeld means that an instance has the exclusive right to run the request.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the request ran and its answer is recorded.
	ClaimDone ClaimState = "done"
	// ClaimLost means that the request may have run and that its answer is unknown.
	ClaimLost ClaimState = "lost"
	// ClaimReleased means that the request has not run and that no instance has the
	// right to run it.
	ClaimReleased ClaimState = "released"
)

// Verdict tells the sender of a claim how to proceed.
type Verdict string

// Verdicts on claims.
const (
	// VerdictGranted gives the sender the exclusive right to run the request.
	VerdictGranted Verdict = "granted"
	// VerdictHeld means that another instance, incarnation or attempt has the exclusive right
	// to run the request.
	VerdictHeld Verdict = "held"
	// VerdictDone means that the request has run. The recorded answer is part of the
	// result.
	VerdictDone Verdict = "done"
	// VerdictLost means that the request may have run and that its answer is unknown.
	VerdictLost Verdict = "lost"
	// VerdictConflict means that the id was already used for a request with other content.
	VerdictConflict Verdict = "conflict"
	// VerdictBarred means that the attempt was abandoned and can no longer claim the
	// request.
	VerdictBarred Verdict = "barred"
	// VerdictReleased is the result of Abandon: the id can be claimed again, by another
	// attempt.
	VerdictReleased Verdict = "released"
)

// ClaimResult tells the sender of a Claim, Complete or Abandon in which state the request is now.
type ClaimResult struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Token is the fencing token of the request's execution. It is set with
	// VerdictGranted.
	Token anvilid.Token `cbor:"2,keyasint,omitempty"`
	// Holder is the instance, incarnation and attempt to which the request was last granted.
	Holder *Holder `cbor:"3,keyasint,omitempty"`
	// Answer is set with VerdictDone.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// claim is the record of one id of a non-repeatable request: who may run the request or has run
// it, and its answer.
type claim struct {
	key    RequestKey
	digest []byte
	state  ClaimState
	holder Holder
	token  anvilid.Token
	// at is when the retention period (Limits.ClaimAge) of the id started: when the claim left
	// state ClaimHeld or, later, when its state changed again or an attempt was barred. It is 0
	// in state ClaimHeld.
	at     anvilclock.Millis
	answer *Answer
	// recorded is the index of the log entry that recorded the answer. When the recorded
	// bodies exceed their limit, those with the lowest index are dropped first.
	recorded anvilid.Index
	// declared is set if the holder itself reported the request as lost.
	declared bool
	barred   []Holder
	// previous and next link the claims in claims.ended.
	previous, next *claim
}

// claims is the table of request ids. An id in state ClaimHeld stays until its holder reports
// the outcome or leaves. Any other id stays for the retention period (Limits.ClaimAge).
type claims struct {
	byKey map[RequestKey]*claim
	// held contains the claims in state ClaimHeld. Its key is the instance of their holder.
	held map[anvilid.InstanceID]map[*claim]struct{}
	// ended lists the claims that are not in state ClaimHeld, in the order of claim.at, the
	// oldest first.
	ended claimList
	// bodies lists the claims whose answer has a body, in the order in which the answers were
	// recorded. It may begin with claims that have already expired.
	bodies []*claim
	// bytes is the total size of the recorded bodies.
	bytes anvilid.ByteCount
}

func newClaims() claims {
	return claims{byKey: map[RequestKey]*claim{}, held: map[anvilid.InstanceID]map[*claim]struct{}{}}
}

// claim executes Claim: it grants a holder the exclusive right to run a request if the request
// has certainly not run.
func (m *Machine) claim(command Claim) (*ClaimResult, error) {
	c, known := m.claims.byKey[command.Key]
	if known {
		if result := c.refusal(command); result != nil {
			return result, nil
		}
	}
	if err := m.checkCurrentIncarnation(command.Holder); err != nil {
		return nil, err
	}
	if err := checkClaim(command.Key, command.Digest); err != nil {
		return nil, err
	}
	if !known {
		var err error
		if c, err = m.addClaim(command.Key); err != nil {
			return nil, err
		}
	}
	if len(c.barred) >= m.limits.AbandonedAttempts {
		return nil, fmt.Errorf("%w: request %q was abandoned by %d attempts; send it with a new id",
			ErrOverloaded, command.Key.ID, len(c.barred))
	}
	c.digest, c.holder = bytes.Clone(command.Digest), command.Holder
	c.holder.Instance = m.instances[command.Holder.Instance].ID // shares the string's memory with the instance table
	c.token = anvilid.Token(m.index)
	m.claims.hold(c)
	return &ClaimResult{Verdict: VerdictGranted, Token: c.token, Holder: &command.Holder}, nil
}

// checkClaim limits the size of what is recorded of a request.
func checkClaim(key RequestKey, digest []byte) error {
	switch {
	case key.ID == "" || len(key.ID) > maxRequestID:
		return fmt.Errorf("%w: request id %q; use 1 to %d characters", ErrInvalid, key.ID, maxRequestID)
	case len(key.Account) > maxName || len(key.Service) > maxName:
		return fmt.Errorf("%w: the account or service name of request %q has more than %d bytes",
			ErrInvalid, key.ID, maxName)
	case len(digest) == 0 || len(digest) > maxDigest:
		return fmt.Errorf("%w: the digest of request %q has %d bytes; use 1 to %d",
			ErrInvalid, key.ID, len(digest), maxDigest)
	}
	return nil
}

// refusal returns the result of a claim if the existing record rules out a new grant. It
// returns nil if the id is free for this attempt.
func (c *claim) refusal(command Claim) *ClaimResult {
	holder := c.holder
	switch {
	case c.state == ClaimReleased:
		if slices.Contains(c.barred, command.Holder) {
			return &ClaimResult{Verdict: VerdictBarred}
		}
		return nil
	case !bytes.Equal(c.digest, command.Digest):
		return &ClaimResult{Verdict: VerdictConflict, Holder: &holder}
	case c.state == ClaimDone:
		return &ClaimResult{Verdict: VerdictDone, Holder: &holder, Answer: c.answer}
	case c.state == ClaimLost:
		return &ClaimResult{Verdict: VerdictLost, Holder: &holder}
	case holder == command.Holder:
		return &ClaimResult{Verdict: VerdictGranted, Token: c.token, Holder: &holder}
	case slices.Contains(c.barred, command.Holder):
		return &ClaimResult{Verdict: VerdictBarred, Holder: &holder}
	}
	return &ClaimResult{Verdict: VerdictHeld, Holder: &holder}
}

// checkCurrentIncarnation refuses holders whose incarnation has ended. Their claims would stay held
// forever, because markClaimsLost has already run for them.
func (m *Machine) checkCurrentIncarnation(holder Holder) error {
	instance, ok := m.instances[holder.Instance]
	if !ok || instance.Incarnation != holder.Incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, holder.Instance, holder.Incarnation)
	}
	return nil
}

func (m *Machine) addClaim(key RequestKey) (*claim, error) {
	if len(m.claims.byKey) >= m.limits.Claims {
		return nil, fmt.Errorf("%w: the table of request ids is full (%d) and none of them has expired yet; send the request later",
			ErrOverloaded, len(m.claims.byKey))
	}
	key = m.intern(key)
	c := &claim{key: key, state: ClaimReleased}
	m.claims.byKey[key] = c
	return c, nil
}

// complete executes Complete: it records the answer of a claimed request, or that the answer is lost.
func (m *Machine) complete(command Complete) (*ClaimResult, error) {
	c, err := m.heldBy(command.Key, command.Holder)
	if err != nil {
		return nil, err
	}
	switch {
	case c.state == ClaimDone:
		// This is a resent report, or a loss that was reported after the answer.
	case command.Lost:
		c.declared = true
		if c.state == ClaimHeld {
			m.endClaim(c, ClaimLost)
		}
	default:
		m.recordAnswer(c, command.Answer)
	}
	if c.state == ClaimLost {
		return &ClaimResult{Verdict: VerdictLost, Holder: &command.Holder}, nil
	}
	return &ClaimResult{Verdict: VerdictDone, Holder: &command.Holder}, nil
}

// heldBy returns the claim of a request if the request was last granted to the holder and has
// not been released since.
func (m *Machine) heldBy(key RequestKey, holder Holder) (*claim, error) {
	c, ok := m.claims.byKey[key]
	if !ok {
		return nil, fmt.Errorf("%w: request %q of account %q has not been claimed", ErrUnknown, key.ID, key.Account)
	}
	if c.state == ClaimReleased || c.holder != holder {
		return nil, fmt.Errorf("%w: request %q is not held by attempt %d of instance %q",
			ErrStale, key.ID, holder.Attempt, holder.Instance)
	}
	return c, nil
}

func (m *Machine) recordAnswer(c *claim, answer Answer) {
	answer.Body = bytes.Clone(answer.Body)
	if anvilid.ByteCount(len(answer.Body)) > m.limits.Body || len(answer.ContentType) > maxContentType {
		answer.Body, answer.ContentType, answer.Omitted = nil, "", true
	}
	if len(answer.Body) == 0 {
		answer.Body = nil
	}
	c.answer, c.recorded = &answer, m.index
	m.endClaim(c, ClaimDone)
	m.claims.addBody(c, m.limits.Bodies)
}

// abandon executes Abandon: it bars the given attempt from claiming the request id later, and
// releases the id if this attempt holds it.
func (m *Machine) abandon(command Abandon) (*ClaimResult, error) {
	if err := checkClaim(command.Key, []byte("none")); err != nil {
		return nil, err
	}
	c, ok := m.claims.byKey[command.Key]
	if !ok {
		var err error
		if c, err = m.addClaim(command.Key); err != nil {
			return nil, err
		}
	}
	isHolder := c.state != ClaimReleased && c.holder == command.Holder
	if isHolder && (c.state == ClaimDone || c.declared) {
		return nil, fmt.Errorf("%w: request %q can't be abandoned: the same attempt has already reported it as %s",
			ErrStale, command.Key.ID, c.state)
	}
	// An id with the maximum number of barred attempts is not granted again, so further
	// barred attempts need not be stored. The attempt of the holder itself is always stored.
	if (isHolder || len(c.barred) < m.limits.AbandonedAttempts) && !slices.Contains(c.barred, command.Holder) {
		c.barred = append(c.barred, command.Holder)
	}
	switch {
	case isHolder:
		m.endClaim(c, ClaimReleased)
		c.holder, c.digest, c.token = Holder{}, nil, 0
	case c.state != ClaimHeld:
		// The attempt must stay barred for a full retention period from now on, however
		// old the record is.
		m.endClaim(c, c.state)
	}
	return &ClaimResult{Verdict: VerdictReleased}, nil
}

// markClaimsLost marks the requests that an ended incarnation still held as lost, because they
// may have run.
func (m *Machine) markClaimsLost(instance anvilid.InstanceID) {
	lost := make([]*claim, 0, len(m.claims.held[instance]))
	for c := range m.claims.held[instance] {
		lost = append(lost, c)
	}
	slices.SortFunc(lost, byToken)
	for _, c := range lost {
		m.endClaim(c, ClaimLost)
	}
}
