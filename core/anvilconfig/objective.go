package anvilconfig

import "anvilshunt/core/anvilclock"

// Objectives are the service-level objectives of a service. Objectives that are nil aren't set.
type Objectives struct {
	// Wait limits the time of short requests from admission until they start on a target.
	Wait *LimitObjective `cbor:"1,keyasint,omitempty" json:"wait,omitempty"`
	// Service requires a minimum percentage of good requests. Of the admitted requests, those are
	// good that end with outcome done and within their deadline.
	Service *Objective `cbor:"2,keyasint,omitempty" json:"service,omitempty"`
	// Starts limits the time of long jobs from submission until they run.
	Starts *LimitObjective `cbor:"3,keyasint,omitempty" json:"starts,omitempty"`
}

// Objective requires a minimum percentage of good events, such as successful requests.
type Objective struct {
	Percent float64 `cbor:"1,keyasint" json:"percent"`
}

// LimitObjective requires that a minimum percentage of requests or jobs wait at most Limit.
type LimitObjective struct {
	Limit   anvilclock.Millis `cbor:"1,keyasint" json:"limit"`
	Percent float64           `cbor:"2,keyasint" json:"percent"`
}

// Allowed ranges of objectives. An objective of 100% would have no error budget, so that its burn
// rate would be undefined.
const (
	minPercent = 1.0
	maxPercent = 99.999
	maxLimit   = 24 * anvilclock.Hour
)

func (c *checker) checkObjectives(key Key, set *Objectives) {
	if set == nil {
		return
	}
	if set.Wait == nil && set.Service == nil && set.Starts == nil {
		c.add(key, "objectives", CodeMissing, "objectives is empty; set wait, service or starts, or leave objectives out")
	}
	if set.Wait != nil {
		c.checkRange(key, "objectives.wait.limit", int64(set.Wait.Limit), 1, int64(maxTimeout))
		c.checkPercent(key, "objectives.wait.percent", set.Wait.Percent)
	}
	if set.Service != nil {
		c.checkPercent(key, "objectives.service.percent", set.Service.Percent)
	}
	if set.Starts != nil {
		c.checkRange(key, "objectives.starts.limit", int64(set.Starts.Limit), 1, int64(maxLimit))
		c.checkPercent(key, "objectives.starts.percent", set.Starts.Percent)
	}
}

func (c *checker) checkPercent(key Key, field string, value float64) {
	if !(value >= minPercent && value <= maxPercent) { // the condition in parentheses is false for NaN
		c.add(key, field, CodeBadValue, "%s is %g; use %g to %g", field, value, minPercent, maxPercent)
	}
}
