package anvilstate

import (
	"slices"

	"anvilshunt/core/anvilid"
)

func (t *claims) heldRecords() []claimRecord {
	var held []*claim
	for _, of := range t.held {
		for c := range of {
			held = append(held, c)
		}
	}
	slices.SortFunc(held, byToken)
	records := make([]claimRecord, 0, len(held))
	for _, c := range held {
		records = append(records, c.encoded())
	}
	return records
}

func (t *claims) endedRecords() []claimRecord {
	records := make([]claimRecord, 0, len(t.byKey))
	for c := t.ended.first; c != nil; c = c.next {
		records = append(records, c.encoded())
	}
	return records
}

func (c *claim) encoded() claimRecord {
	record := claimRecord{
		Key: c.key, Digest: c.digest, State: c.state, Token: c.token, At: c.at,
		Answer: c.answer, Declared: c.declared, Barred: c.barred,
	}
	if c.holder != (Holder{}) {
		record.Holder = &c.holder
	}
	return record
}

func (r *claimRecord) decoded() *claim {
	c := &claim{
		key: r.Key, digest: r.Digest, state: r.State, token: r.Token, at: r.At,
		answer: r.Answer, declared: r.Declared, barred: r.Barred,
	}
	if r.Holder != nil {
		c.holder = *r.Holder
	}
	return c
}

func (t *claims) restore(s snapshot) {
	for _, record := range s.Held {
		c := record.decoded()
		t.byKey[c.key] = c
		t.hold(c)
	}
	for _, record := range s.Ended {
		c := record.decoded()
		t.byKey[c.key] = c
		t.ended.add(c)
		if c.answer != nil && len(c.answer.Body) > 0 {
			t.bodies = append(t.bodies, c)
			t.bytes += anvilid.ByteCount(len(c.answer.Body))
		}
	}
}
