package anvilwork

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"anvilshunt/core/anvilclock"
)

// Keepalive is an announcement that an instance has acknowledged on the leader's behalf, because it repeats one that the
// leader has acknowledged.
type Keepalive struct {
	Target Target `cbor:"1,keyasint"`
	// Age is the time from its arrival until it was passed on.
	Age anvilclock.Millis `cbor:"2,keyasint,omitempty"`
}

// firstArray is the lowest and firstMap the next value of the first byte of an array in CBOR.
const (
	firstArray = 0x80
	firstMap   = 0xa0
)

// DecodeAnnouncements decodes either one announcement of a target, or a list of keepalives. The result single tells
// that it was the former.
func DecodeAnnouncements(data []byte) (announced []Keepalive, single bool, err error) {
	if len(data) > 0 && data[0] >= firstArray && data[0] < firstMap {
		if err := cbor.Unmarshal(data, &announced); err != nil {
			return nil, false, fmt.Errorf("decode keepalives: %w", err)
		}
		return announced, false, nil
	}
	announced = make([]Keepalive, 1)
	if err := cbor.Unmarshal(data, &announced[0].Target); err != nil {
		return nil, false, fmt.Errorf("decode an announcement: %w", err)
	}
	return announced, true, nil
}

// Repeats reports whether an announcement says the same as a former one of the same incarnation that was sent before. A
// target that leaves repeats nothing: its notice must be in force before it is acknowledged.
func (t *Target) Repeats(former *Target) bool {
	return !t.Leaving && !former.Leaving && t.ID == former.ID && t.Incarnation == former.Incarnation &&
		t.Sequence > former.Sequence && sameAttributes(former, t) && slices.Equal(t.Labels, former.Labels)
}
