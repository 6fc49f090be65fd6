package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestMarkAge guards against a record of a group without a leader that doesn't tell how long a seat had been open: a later list with the
// same mark, or a mark that was taken back and made again, must not hide when the present one was made.
func TestMarkAge(t *testing.T) {
	lost := VoterID{Instance: "a", Storage: "1"}
	with, without := Members{Lost: []VoterID{lost}}, Members{}
	for name, test := range map[string]struct {
		changes []memberChange
		entries anvilid.Index
		span    anvilclock.Millis
		ok      bool
	}{
		"none":                    {[]memberChange{{654, without}}, 664, -1, false},
		"a later list has it too": {[]memberChange{{654, without}, {660, with}, {662, with}}, 4, 400, true},
		"made again":              {[]memberChange{{654, with}, {656, without}, {660, with}}, 4, 400, true},
		"replaced":                {[]memberChange{{654, without}, {660, with}, {662, without}}, 4, 400, true},
		"no longer in memory":     {[]memberChange{{600, with}}, 64, -1, true},
	} {
		n := &Node{log: entryLog{base: 654}, members: membership{test.changes}}
		for index := n.log.base + 1; index <= 664; index++ {
			n.log.append(Entry{Index: index, At: anvilclock.Millis(index) * 100})
		}
		entries, span, ok := n.MarkAge(lost)
		assert.Assert(t, entries == test.entries && span == test.span && ok == test.ok, "%s: %d %d %v", name, entries, span, ok)
	}
}
