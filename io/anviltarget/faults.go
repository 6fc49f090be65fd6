package anviltarget

import (
	"strings"

	"github.com/rotisserie/eris"

	"anvilshunt/core/anvilclock"
)

// ErrUnknownFault means that no fault has the given name.
var ErrUnknownFault = eris.New("unknown fault")

// Faults are the faults that a target injects. Freeze, Lie, Hide and Lag apply to
// the whole target. The others are request faults: they apply to all short requests
// (Fail also to preparing and starting a task), or only to those that Every and Count
// select.
type Faults struct {
	// Fail answers short requests, and calls that prepare or start a task, with the
	// status 500 at once.
	Fail bool `json:"fail,omitempty"`
	// Late is the delay of the answer after the request has run.
	Late anvilclock.Millis `json:"late,omitempty"`
	// Twice writes the answer twice to the connection.
	Twice bool `json:"twice,omitempty"`
	// Crossed answers a request with the answer to an earlier request.
	Crossed bool `json:"crossed,omitempty"`
	// Truncate closes the connection after half of the body.
	Truncate bool `json:"truncate,omitempty"`
	// Close runs the request and closes the connection without an answer.
	Close bool `json:"close,omitempty"`
	// Freeze blocks all calls and announcements until it is switched off.
	Freeze bool `json:"freeze,omitempty"`
	// Lie, if not nil, is reported instead of the number of running requests.
	Lie *int `json:"lie,omitempty"`
	// Hide omits all tasks from reports.
	Hide bool `json:"hide,omitempty"`
	// Lag makes announcements contain outdated usage: the usage at the time Lag before
	// the announcement.
	Lag anvilclock.Millis `json:"lag,omitempty"`
	// Every, if greater than 1, applies the request faults only to each request whose
	// number, counted since the faults were set, is a multiple of Every.
	Every int `json:"every,omitempty"`
	// Count, if greater than 0, is the number of requests to which the request faults
	// apply; later requests have no faults.
	Count int `json:"count,omitempty"`
}

// setNamed switches on the faults in a comma-separated list of names.
func (f *Faults) setNamed(list string) error {
	for name := range strings.SplitSeq(list, ",") {
		switch strings.TrimSpace(name) {
		case "":
		case "fail":
			f.Fail = true
		case "twice":
			f.Twice = true
		case "crossed":
			f.Crossed = true
		case "truncate":
			f.Truncate = true
		case "close":
			f.Close = true
		case "freeze":
			f.Freeze = true
		case "hide":
			f.Hide = true
		default:
			return eris.Wrapf(ErrUnknownFault, "%q: use fail, twice, crossed, truncate, close, freeze or hide", name)
		}
	}
	return nil
}

// ParseFaults parses a comma-separated list of the names of faults that have no value.
func ParseFaults(list string) (Faults, error) {
	var f Faults
	err := f.setNamed(list)
	return f, err
}

// SetFaults replaces the faults of the target. If it is no longer frozen, the blocked
// calls continue.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults, t.faultyRequests, t.requestsSeen = f, 0, 0
	if f.Freeze && t.unfrozen == nil {
		t.unfrozen = make(chan struct{})
	}
	if !f.Freeze && t.unfrozen != nil {
		close(t.unfrozen)
		t.unfrozen = nil
	}
	t.usageHistory = nil
	t.recordUsage()
}

// awaitUnfrozen blocks while the target is frozen. It returns false if the target is
// closed in the meantime.
func (t *Target) awaitUnfrozen() bool {
	t.mu.Lock()
	unfrozen := t.unfrozen
	t.mu.Unlock()
	if unfrozen == nil {
		return true
	}
	select {
	case <-unfrozen:
		return true
	case <-t.closed:
		return false
	}
}

// requestFaults returns the faults that apply to the next short request, or to the next call
// that prepares or starts a task, and counts it. The caller holds mu.
func (t *Target) requestFaults() Faults {
	t.requestsSeen++
	f := t.faults
	if (f.Every > 1 && t.requestsSeen%f.Every != 0) || (f.Count > 0 && t.faultyRequests >= f.Count) {
		return Faults{}
	}
	t.faultyRequests++
	return f
}
