package anvilstate

import (
	"bytes"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// ClaimState is the state of the id of a request that may not be repeated.
type ClaimState string

// States of an id.
const (
	// ClaimHeld means that a holder may run the request.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the request ran and its answer is recorded.
	ClaimDone ClaimState = "done"
	// ClaimLost means that the request may have run and its answer is not
	// known.
	ClaimLost ClaimState = "lost"
	// ClaimReleased means that the request has not run and that no one holds
	// it.
	ClaimReleased ClaimState = "released"
)

// Verdict tells the sender of a claim what to do.
type Verdict string

// Verdicts of claims.
const (
	// VerdictGranted gives the sender the only right to run the request.
	VerdictGranted Verdict = "granted"
	// VerdictHeld means that another run or attempt holds the request.
	VerdictHeld Verdict = "held"
	// VerdictDone comes with the recorded answer.
	VerdictDone Verdict = "done"
	// VerdictLost means that the request may have run.
	VerdictLost Verdict = "lost"
	// VerdictConflict means that the id was used for other content.
	VerdictConflict Verdict = "conflict"
	// VerdictBarred means that the attempt was abandoned before.
	VerdictBarred Verdict = "barred"
	// VerdictReleased answers Abandon: the id is free again.
	VerdictReleased Verdict = "released"
)

// ClaimResult is the result of Claim, Complete and Abandon.
type ClaimResult struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Token fences the run of the request. It is set with VerdictGranted.
	Token anvilid.Token `cbor:"2,keyasint,omitempty"`
	// Holder is the run that holds or held the request.
	Holder *Holder `cbor:"3,keyasint,omitempty"`
	// Answer is set with VerdictDone.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// claim is the record of one id.
type claim struct {
	key    RequestKey
	digest []byte
	state  ClaimState
	holder Holder
	token  anvilid.Token
	// at is the time when the id was last held. The window counts from it.
	at     anvilclock.Millis
	answer *Answer
	// recorded is the index of the entry with the answer. Bodies are dropped
	// in this order.
	recorded anvilid.Index
	// declared is set if the holder itself reported the loss.
	declared bool
	barred   []Holder
	// previous and next link ids that aren't held in the order of at.
	previous, next *claim
}

// claims is the table of ids. An id that is held stays until its holder
// reports or is gone. Any other id stays for the window.
type claims struct {
	byKey map[RequestKey]*claim
	// held lists what each instance holds, in no particular order.
	held map[anvilid.InstanceID]map[*claim]struct{}
	// ended lists the other ids, the oldest first.
	ended claimList
	// bodies lists answers with a body, the oldest first. It may begin with
	// ids that have expired.
	bodies []*claim
	bytes  anvilid.ByteCount
}

func newClaims() claims {
	return claims{byKey: map[RequestKey]*claim{}, held: map[anvilid.InstanceID]map[*claim]struct{}{}}
}

// claim grants a request to a holder if it has certainly not run.
func (m *Machine) claim(command Claim) (*ClaimResult, error) {
	c, known := m.claims.byKey[command.Key]
	if known {
		if result := c.refusal(command); result != nil {
			return result, nil
		}
	}
	if err := m.currentRun(command.Holder); err != nil {
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
		return nil, fmt.Errorf("%w: request %q was abandoned %d times; send it with a new id", ErrOverloaded, command.Key.ID, len(c.barred))
	}
	c.digest, c.holder = bytes.Clone(command.Digest), command.Holder
	c.holder.Instance = m.instances[command.Holder.Instance].ID // shares the string
	c.token = anvilid.Token(m.index)
	m.claims.hold(c)
	return &ClaimResult{Verdict: VerdictGranted, Token: c.token, Holder: &command.Holder}, nil
}

// checkClaim bounds what is recorded of a request.
func checkClaim(key RequestKey, digest []byte) error {
	switch {
	case key.ID == "" || len(key.ID) > maxRequestID:
		return fmt.Errorf("%w: request id %q; use 1 to %d characters", ErrInvalid, key.ID, maxRequestID)
	case len(key.Account) > maxName || len(key.Service) > maxName:
		return fmt.Errorf("%w: the account or service name of request %q has more than %d bytes", ErrInvalid, key.ID, maxName)
	case len(digest) == 0 || len(digest) > maxDigest:
		return fmt.Errorf("%w: the digest of request %q has %d bytes; use 1 to %d", ErrInvalid, key.ID, len(digest), maxDigest)
	}
	return nil
}

// refusal returns the result of a claim that an existing record decides, or
// nil if the id is free for this attempt.
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

// currentRun refuses holders that are gone: their claims would never be lost.
func (m *Machine) currentRun(holder Holder) error {
	instance, ok := m.instances[holder.Instance]
	if !ok || instance.Incarnation != holder.Incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, holder.Instance, holder.Incarnation)
	}
	return nil
}

func (m *Machine) addClaim(key RequestKey) (*claim, error) {
	if len(m.claims.byKey) >= m.limits.Claims {
		return nil, fmt.Errorf("%w: %d request ids are remembered and none of them may be forgotten yet; send the request later",
			ErrOverloaded, len(m.claims.byKey))
	}
	key = m.intern(key)
	c := &claim{key: key, state: ClaimReleased}
	m.claims.byKey[key] = c
	return c, nil
}

// complete records how a claimed request ended.
func (m *Machine) complete(command Complete) (*ClaimResult, error) {
	c, err := m.heldBy(command.Key, command.Holder)
	if err != nil {
		return nil, err
	}
	switch {
	case c.state == ClaimDone:
		// A resend, or a loss that was reported after the answer.
	case command.Lost:
		c.declared = true
		if c.state == ClaimHeld {
			m.endClaim(c, ClaimLost)
		}
	default:
		m.record(c, command.Answer)
	}
	if c.state == ClaimLost {
		return &ClaimResult{Verdict: VerdictLost, Holder: &command.Holder}, nil
	}
	return &ClaimResult{Verdict: VerdictDone, Holder: &command.Holder}, nil
}

// heldBy returns the record if it was last granted to the holder.
func (m *Machine) heldBy(key RequestKey, holder Holder) (*claim, error) {
	c, ok := m.claims.byKey[key]
	if !ok {
		return nil, fmt.Errorf("%w: request %q of account %q isn't claimed", ErrUnknown, key.ID, key.Account)
	}
	if c.state == ClaimReleased || c.holder != holder {
		return nil, fmt.Errorf("%w: request %q isn't held by attempt %d of instance %q", ErrStale, key.ID, holder.Attempt, holder.Instance)
	}
	return c, nil
}

func (m *Machine) record(c *claim, answer Answer) {
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

// abandon releases the id if the holder has it, and bars the attempt.
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
	mine := c.state != ClaimReleased && c.holder == command.Holder
	if mine && (c.state == ClaimDone || c.declared) {
		return nil, fmt.Errorf("%w: request %q has been reported as %s by the same attempt, so it can't be abandoned", ErrStale, command.Key.ID, c.state)
	}
	// A record with too many bars grants nothing any more, so it needs no
	// further ones. The holder's own bar is always kept.
	if (mine || len(c.barred) < m.limits.AbandonedAttempts) && !slices.Contains(c.barred, command.Holder) {
		c.barred = append(c.barred, command.Holder)
	}
	switch {
	case mine:
		m.endClaim(c, ClaimReleased)
		c.holder, c.digest, c.token = Holder{}, nil, 0
	case c.state != ClaimHeld:
		// The bar has to last for the window from now on, whatever the record
		// was kept for.
		m.endClaim(c, c.state)
	}
	return &ClaimResult{Verdict: VerdictReleased}, nil
}

// loseClaims marks what a run held without a result as lost. It may have run.
func (m *Machine) loseClaims(instance anvilid.InstanceID) {
	lost := make([]*claim, 0, len(m.claims.held[instance]))
	for c := range m.claims.held[instance] {
		lost = append(lost, c)
	}
	slices.SortFunc(lost, byToken)
	for _, c := range lost {
		m.endClaim(c, ClaimLost)
	}
}
