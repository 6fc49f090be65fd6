package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

func (t *claims) heldRecords() []claimRecord {
	var records []claimRecord
	for _, of := range t.held {
		for c := range of {
			records = append(records, c.encoded())
		}
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
		Answer: c.answer, Declared: c.declared, Barred: c.barred, Recorded: c.recorded,
	}
	if c.holder != (Holder{}) {
		holder := c.holder // copied, because a later grant overwrites the holder of the claim
		record.Holder = &holder
	}
	return record
}

func (r *claimRecord) decoded() *claim {
	c := &claim{
		key: r.Key, digest: r.Digest, state: r.State, token: r.Token, at: r.At,
		answer: r.Answer, declared: r.Declared, barred: r.Barred, recorded: r.Recorded,
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
	slices.SortFunc(t.bodies, func(a, b *claim) int { return cmp.Compare(a.recorded, b.recorded) })
}

// intern returns a key that shares the strings of the configuration objects. With 200,000
// claims, separate copies would take about 10 MB.
func (m *Machine) intern(key RequestKey) RequestKey {
	objects := m.config.current.Objects
	if object, ok := objects[anvilconfig.Key{Kind: anvilconfig.KindAccount, Name: anvilid.ObjectName(key.Account)}]; ok {
		key.Account = anvilid.AccountID(object.Name)
	}
	if object, ok := objects[anvilconfig.Key{Kind: anvilconfig.KindService, Name: anvilid.ObjectName(key.Service)}]; ok {
		key.Service = anvilid.ServiceName(object.Name)
	}
	return key
}
