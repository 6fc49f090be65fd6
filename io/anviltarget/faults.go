package anviltarget

import (
	"strings"

	"github.com/rotisserie/eris"

	"anvilshunt/core/anvilclock"
)

// ErrUnknownFault reports a fault name that doesn't exist.
var ErrUnknownFault = eris.New("unknown fault")

// Faults tell a target how to misbehave. Freeze, Lie, Hide and Lag concern
// the whole target. The others concern requests, or those selected by Every
// and Count.
type Faults struct {
	// Fail answers runs and task calls with 500 at once.
	Fail bool `json:"fail,omitempty"`
	// Late delays the answer by this time after the work is done.
	Late anvilclock.Millis `json:"late,omitempty"`
	// Twice writes the answer two times on the connection.
	Twice bool `json:"twice,omitempty"`
	// Crossed answers with the answer to another request.
	Crossed bool `json:"crossed,omitempty"`
	// Truncate closes the connection after half of the body.
	Truncate bool `json:"truncate,omitempty"`
	// Close runs the request and closes the connection without an answer.
	Close bool `json:"close,omitempty"`
	// Freeze holds every call and announcement until it is reset.
	Freeze bool `json:"freeze,omitempty"`
	// Lie is reported in place of the number of running requests.
	Lie *int `json:"lie,omitempty"`
	// Hide leaves all tasks out of reports.
	Hide bool `json:"hide,omitempty"`
	// Lag makes announcements report usage of this age.
	Lag anvilclock.Millis `json:"lag,omitempty"`
	// Every applies the request faults to each nth request only.
	Every int `json:"every,omitempty"`
	// Count ends the request faults after this many requests.
	Count int `json:"count,omitempty"`
}

// setNamed switches on the request faults that a comma-separated list names.
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

// ParseFaults reads a comma-separated list of the faults that take no value.
func ParseFaults(list string) (Faults, error) {
	var f Faults
	err := f.setNamed(list)
	return f, err
}

// SetFaults replaces the faults of the target and releases held calls if it
// is no longer frozen.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults, t.faulted, t.seen = f, 0, 0
	if f.Freeze && t.thaw == nil {
		t.thaw = make(chan struct{})
	}
	if !f.Freeze && t.thaw != nil {
		close(t.thaw)
		t.thaw = nil
	}
	t.history = nil
	t.recordUsage()
}

// awaitThaw blocks while the target is frozen. It returns false if the
// target is closed in the meantime.
func (t *Target) awaitThaw() bool {
	t.mu.Lock()
	thaw := t.thaw
	t.mu.Unlock()
	if thaw == nil {
		return true
	}
	select {
	case <-thaw:
		return true
	case <-t.closed:
		return false
	}
}

// requestFaults selects the faults for the next request. The caller holds mu.
func (t *Target) requestFaults() Faults {
	t.seen++
	f := t.faults
	if (f.Every > 1 && t.seen%f.Every != 0) || (f.Count > 0 && t.faulted >= f.Count) {
		return Faults{}
	}
	t.faulted++
	return f
}
