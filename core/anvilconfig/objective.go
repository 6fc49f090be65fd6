package anvilconfig

import "anvilshunt/core/anvilclock"

// Objectives are the service-level objectives of a service. Those that are
// nil aren't set.
type Objectives struct {
	// Wait limits the time of short requests from admission to the start on
	// a target.
	Wait *LimitObjective `cbor:"1,keyasint,omitempty" json:"wait,omitempty"`
	// Service is about admitted requests that end with outcome done and
	// within their deadline.
	Service *Objective `cbor:"2,keyasint,omitempty" json:"service,omitempty"`
	// Starts limits the time of long jobs from submission to running.
	Starts *LimitObjective `cbor:"3,keyasint,omitempty" json:"starts,omitempty"`
}

// Objective asks for a percentage of good events.
type Objective struct {
	Percent float64 `cbor:"1,keyasint" json:"percent"`
}

// LimitObjective asks for a percentage of events within a limit.
type LimitObjective struct {
	Limit   anvilclock.Millis `cbor:"1,keyasint" json:"limit"`
	Percent float64           `cbor:"2,keyasint" json:"percent"`
}

// Ranges of objectives. An objective of 100% has no error budget, so that
// no burn rate exists.
const (
	minPercent = 1.0
	maxPercent = 99.999
	maxLimit   = 24 * anvilclock.Hour
)

func (c *checker) objectives(key Key, set *Objectives) {
	if set == nil {
		return
	}
	if set.Wait == nil && set.Service == nil && set.Starts == nil {
		c.add(key, "objectives", CodeMissing, "objectives is empty; set wait, service or starts, or leave objectives out")
	}
	if set.Wait != nil {
		c.between(key, "objectives.wait.limit", int64(set.Wait.Limit), 1, int64(maxTimeout))
		c.percent(key, "objectives.wait.percent", set.Wait.Percent)
	}
	if set.Service != nil {
		c.percent(key, "objectives.service.percent", set.Service.Percent)
	}
	if set.Starts != nil {
		c.between(key, "objectives.starts.limit", int64(set.Starts.Limit), 1, int64(maxLimit))
		c.percent(key, "objectives.starts.percent", set.Starts.Percent)
	}
}

func (c *checker) percent(key Key, field string, value float64) {
	if !(value >= minPercent && value <= maxPercent) { // false for NaN
		c.add(key, field, CodeBadValue, "%s is %g; use %g to %g", field, value, minPercent, maxPercent)
	}
}
