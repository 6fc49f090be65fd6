// Package anvilburn counts how requests and long jobs fared against the
// service-level objectives of their services, and reports error budgets and
// burn rates.
//
// A Recorder counts at each instance. A History sums the batches of all
// recorders. BuildReport reads a History.
package anvilburn

import (
	"cmp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Cause tells how a request ended: its outcome and, after a slash, its code.
type Cause string

// Causes that have a meaning of their own. All others count as failures of
// the service objective.
const (
	// CauseDone is a request that was done within its deadline.
	CauseDone Cause = "done"
	// CauseDoneLate is a request that was done after its deadline.
	CauseDoneLate Cause = "done/late"
	// CauseJobStarted is a long job that has started.
	CauseJobStarted Cause = "start"
	// CauseJobNotStarted is a long job that failed before it ever ran.
	CauseJobNotStarted Cause = "start/failed"
)

// job tells whether the cause is that of a long job.
func (c Cause) job() bool { return c == CauseJobStarted || c == CauseJobNotStarted }

// OtherAccounts is the account under which accounts beyond a bound are summed. It
// can't be configured, because names have no brackets.
const OtherAccounts anvilid.AccountID = "(other)"

// Key says what is counted together.
type Key struct {
	Service anvilid.ServiceName `cbor:"1,keyasint"`
	Account anvilid.AccountID   `cbor:"2,keyasint"`
	Cause   Cause               `cbor:"3,keyasint"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Account, other.Account), cmp.Compare(k.Cause, other.Cause))
}

// Count is what was counted under one key. Its numbers go on from those of Key,
// because an Entry holds the fields of both.
type Count struct {
	Total uint64 `cbor:"4,keyasint"`
	// Limited counts those for which a limit of the waiting time was set,
	// OverLimit those of them that waited longer.
	Limited   uint64 `cbor:"5,keyasint,omitempty"`
	OverLimit uint64 `cbor:"6,keyasint,omitempty"`
}

// maxCount keeps sums far from overflow: a batch covers a minute at most.
const maxCount = 1 << 40

func (c Count) valid() bool {
	return c.Total > 0 && c.Total <= maxCount && c.Limited <= c.Total && c.OverLimit <= c.Limited
}

func (c Count) plus(other Count) Count {
	return Count{c.Total + other.Total, c.Limited + other.Limited, c.OverLimit + other.OverLimit}
}

// Entry is one count of a batch.
type Entry struct {
	Key
	Count
}

// Batch holds the counts of a minute, or of a part of it, at one instance.
type Batch struct {
	Instance    anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
	// Sequence numbers the batches of one run of an instance from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Minute is the start of the minute on the wall clock.
	Minute  anvilclock.Millis `cbor:"4,keyasint"`
	Entries []Entry           `cbor:"5,keyasint,omitempty"`
	// Lost counts the requests of earlier batches that the instance dropped
	// for lack of memory, as far as no earlier batch has told of them.
	Lost uint64 `cbor:"6,keyasint,omitempty"`
	// Summed counts the requests that are under Other for lack of room.
	Summed uint64 `cbor:"7,keyasint,omitempty"`
}

func (b *Batch) total() uint64 {
	sum := uint64(0)
	for _, entry := range b.Entries {
		sum += entry.Total
	}
	return sum
}

// floor returns the start of the span that an instant belongs to.
func floor(at, span anvilclock.Millis) anvilclock.Millis { return at - at%span }
