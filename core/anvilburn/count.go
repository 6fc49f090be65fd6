// Package anvilburn counts how requests and long jobs met the service-level objectives of their
// services, and reports error budgets and burn rates.
//
// An event is an ended request or a long job that started or failed to start. It is bad if it misses
// the objective. A Recorder counts the requests at one instance and puts the counts of each minute
// into a batch. A History, which is part of the replicated state, adds up the batches of all recorders
// in buckets of one minute and of one hour. BuildReport evaluates a History.
package anvilburn

import (
	"cmp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Cause says how a request ended: its outcome and, after a slash, its code, such as
// "not-run/overloaded". For a long job, it says whether the job started.
type Cause string

// Causes with a special meaning. Every cause of a request other than CauseDone counts as a failure
// under the objective "service".
const (
	// CauseDone is the cause of a request that was completed within its deadline.
	CauseDone Cause = "done"
	// CauseDoneLate is the cause of a request that was completed after its deadline.
	CauseDoneLate Cause = "done/late"
	// CauseJobStarted is the cause of a long job that has started.
	CauseJobStarted Cause = "start"
	// CauseJobNotStarted is the cause of a long job that failed before it ever ran.
	CauseJobNotStarted Cause = "start/failed"
)

// isJob reports whether the event was the start, or the failure to start, of a long job.
func (c Cause) isJob() bool { return c == CauseJobStarted || c == CauseJobNotStarted }

// OtherAccounts is the account under which the events of further accounts are counted together once
// the limit on distinct keys (of a recorder's minute or of a bucket) is reached. No account of this
// name can be configured, because names can't contain parentheses.
const OtherAccounts anvilid.AccountID = "(other)"

// Key identifies a count. Events with equal keys are counted together.
type Key struct {
	Service anvilid.ServiceName `cbor:"1,keyasint"`
	Account anvilid.AccountID   `cbor:"2,keyasint"`
	Cause   Cause               `cbor:"3,keyasint"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Account, other.Account), cmp.Compare(k.Cause, other.Cause))
}

// Count contains the numbers of events with one Key. The numbers of its CBOR fields continue those
// of Key, because an Entry contains the fields of both.
type Count struct {
	// Total is the number of all events with the Key.
	Total uint64 `cbor:"4,keyasint"`
	// Limited is the number of events to which a limit on the waiting time applied, and OverLimit
	// the number of those that waited longer than the limit.
	Limited   uint64 `cbor:"5,keyasint,omitempty"`
	OverLimit uint64 `cbor:"6,keyasint,omitempty"`
}

// maxCount is the largest number that a batch may contain. It is far more than an instance can count
// within the minute that a batch covers at most, and keeps sums of batches far below overflow.
const maxCount = 1 << 40

func (c Count) valid() bool {
	return c.Total > 0 && c.Total <= maxCount && c.Limited <= c.Total && c.OverLimit <= c.Limited
}

func (c Count) add(other Count) Count {
	return Count{c.Total + other.Total, c.Limited + other.Limited, c.OverLimit + other.OverLimit}
}

// Entry is one Key of a batch with its Count.
type Entry struct {
	Key
	Count
}

// Batch contains the counts of a minute, or of a part of it, at one instance.
type Batch struct {
	Instance    anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
	// Sequence is the number of the batch within one run of the instance, starting from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Minute is the start of the minute that the batch covers, in wall clock time.
	Minute  anvilclock.Millis `cbor:"4,keyasint"`
	Entries []Entry           `cbor:"5,keyasint,omitempty"`
	// Lost is the number of requests in earlier batches that the instance dropped because too many
	// batches were waiting to be acknowledged. Requests in the Lost of an earlier batch that was not
	// dropped are not included.
	Lost uint64 `cbor:"6,keyasint,omitempty"`
	// Summed is the number of requests that are counted under OtherAccounts because the recorder had
	// reached its limit on distinct keys.
	Summed uint64 `cbor:"7,keyasint,omitempty"`
}

func (b *Batch) total() uint64 {
	sum := uint64(0)
	for _, entry := range b.Entries {
		sum += entry.Total
	}
	return sum
}

// floor returns the start of the time span (of the given length) that contains the time at.
func floor(at, span anvilclock.Millis) anvilclock.Millis { return at - at%span }
