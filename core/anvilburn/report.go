package anvilburn

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// ObjectiveName says which of the objectives in anvilconfig.Objectives a section of a report is about.
type ObjectiveName string

// Names of objectives.
const (
	ObjectiveWait    ObjectiveName = "wait"
	ObjectiveService ObjectiveName = "service"
	ObjectiveStarts  ObjectiveName = "starts"
)

// maxSpenders is the maximum number of accounts, and of causes, that a report lists for one
// objective.
const maxSpenders = 5

// windows are the time windows over which burn rates are reported. Windows up to MinuteRetention
// are computed from the buckets of one minute, longer ones from the buckets of one hour.
var windows = []struct {
	name string
	span anvilclock.Millis
}{
	{"5m", 5 * anvilclock.Minute},
	{"1h", anvilclock.Hour},
	{"6h", 6 * anvilclock.Hour},
	{"3d", 72 * anvilclock.Hour},
}

// Service is one service that a report covers, with the objectives to evaluate.
type Service struct {
	Name       anvilid.ServiceName
	Objectives anvilconfig.Objectives
}

// Report shows how services meet their objectives.
type Report struct {
	At         anvilclock.Millis `json:"at"`
	Objectives []Objective       `json:"objectives"`
	Limits     Limits            `json:"limits"`
	Skipped    Skipped           `json:"skipped"`
	// Oldest is the start of the oldest bucket of one hour, or zero if there is none.
	Oldest anvilclock.Millis `json:"oldest"`
}

// Objective is the section of a report about one objective.
type Objective struct {
	Service anvilid.ServiceName `json:"service"`
	Name    ObjectiveName       `json:"objective"`
	Percent float64             `json:"percent"`
	Limit   anvilclock.Millis   `json:"limit,omitempty"`
	// Total is the number of events in 30 days, and Spent the number of bad ones, which missed the
	// objective. Budget is the error budget: the number of events that may be bad.
	Total  uint64  `json:"total"`
	Spent  uint64  `json:"spent"`
	Budget float64 `json:"budget"`
	Rates  []Rate  `json:"rates"`
	// Accounts and Causes list the accounts and causes with the most bad events.
	Accounts []Spender `json:"accounts,omitempty"`
	Causes   []Spender `json:"causes,omitempty"`
	// Minutes and Hours are the data points for plots: one for each bucket of one minute and of one
	// hour. Buckets without events are left out.
	Minutes []Point `json:"minutes,omitempty"`
	Hours   []Point `json:"hours,omitempty"`
}

// RemainingFraction returns the fraction of the error budget that isn't spent. It is negative if
// the objective is missed, and 1 if there are no events.
func (o *Objective) RemainingFraction() float64 {
	if o.Budget == 0 {
		return 1
	}
	return 1 - float64(o.Spent)/o.Budget
}

// AllowedFraction returns the fraction of events that may be bad.
func (o *Objective) AllowedFraction() float64 { return (100 - o.Percent) / 100 }

// Rate contains the burn rate over a time window, the number of events (Total) and the number of bad
// events (Spent). With a burn rate of 1, the error budget lasts for exactly 30 days.
type Rate struct {
	Window string  `json:"window"`
	Total  uint64  `json:"total"`
	Spent  uint64  `json:"spent"`
	Burn   float64 `json:"burn"`
}

// Spender is an account or a cause and the number of its bad events.
type Spender struct {
	Name  string `json:"name"`
	Spent uint64 `json:"spent"`
}

// Point contains the number of events (Total) and of bad events (Spent) in one minute or one hour.
type Point struct {
	At    anvilclock.Millis `json:"at"`
	Total uint64            `json:"total"`
	Spent uint64            `json:"spent"`
}

// BuildReport returns a report on services at a given time. Time windows that are computed from
// buckets of one minute end with the last complete minute, because instances send the counts of a
// minute after it is over. Windows that are computed from buckets of one hour include the current hour.
func BuildReport(h *History, now anvilclock.Millis, services []Service) Report {
	report := Report{At: now, Limits: h.limits, Skipped: h.skipped}
	if len(h.hours) > 0 {
		report.Oldest = slices.Min(slices.Collect(maps.Keys(h.hours)))
	}
	for _, service := range services {
		set := service.Objectives
		if set.Wait != nil {
			report.Objectives = append(report.Objectives, h.objective(now, Objective{
				Service: service.Name, Name: ObjectiveWait, Percent: set.Wait.Percent, Limit: set.Wait.Limit,
			}))
		}
		if set.Service != nil {
			report.Objectives = append(report.Objectives, h.objective(now, Objective{
				Service: service.Name, Name: ObjectiveService, Percent: set.Service.Percent,
			}))
		}
		if set.Starts != nil {
			report.Objectives = append(report.Objectives, h.objective(now, Objective{
				Service: service.Name, Name: ObjectiveStarts, Percent: set.Starts.Percent, Limit: set.Starts.Limit,
			}))
		}
	}
	return report
}

// eventCounts returns the number of events and of bad events that a count contributes to an
// objective.
func (o *Objective) eventCounts(key Key, count Count) (total, spent uint64) {
	switch {
	case key.Service != o.Service || key.Cause.isJob() != (o.Name == ObjectiveStarts):
		return 0, 0
	case o.Name != ObjectiveService:
		return count.Limited, count.OverLimit
	case key.Cause == CauseDone:
		return count.Total, 0
	}
	return count.Total, count.Total
}

func (h *History) objective(now anvilclock.Millis, o Objective) Objective {
	accounts, causes := map[string]uint64{}, map[string]uint64{}
	minuteEnd := floor(now, anvilclock.Minute)
	hourEnd := floor(now, anvilclock.Hour) + anvilclock.Hour
	o.Minutes = o.series(h.minutes, minuteEnd-MinuteRetention, minuteEnd, nil)
	o.Hours = o.series(h.hours, hourEnd-HourRetention, hourEnd, func(key Key, spent uint64) {
		accounts[string(key.Account)] += spent
		causes[string(key.Cause)] += spent
	})
	o.Total, o.Spent = sumSince(o.Hours, 0)
	o.Budget = o.AllowedFraction() * float64(o.Total)
	o.Accounts, o.Causes = topSpenders(accounts), topSpenders(causes)
	for _, window := range windows {
		points, end := o.Minutes, minuteEnd
		if window.span > MinuteRetention {
			points, end = o.Hours, hourEnd
		}
		rate := Rate{Window: window.name}
		rate.Total, rate.Spent = sumSince(points, end-window.span)
		rate.Burn = o.BurnRate(rate.Total, rate.Spent)
		o.Rates = append(o.Rates, rate)
	}
	return o
}

// BurnRate returns the burn rate for the given numbers of events and bad events:
// spent / total / AllowedFraction. It is 0 without events.
func (o *Objective) BurnRate(total, spent uint64) float64 {
	if total == 0 {
		return 0
	}
	return float64(spent) / float64(total) / o.AllowedFraction()
}

// series returns a point for each bucket that starts within the given time span, ordered by start
// time. It calls visit for each key with bad events.
func (o *Objective) series(buckets map[anvilclock.Millis]*bucket, from, to anvilclock.Millis, visit func(Key, uint64)) []Point {
	var points []Point
	for _, start := range slices.Sorted(maps.Keys(buckets)) {
		if start < from || start >= to {
			continue
		}
		point := Point{At: start}
		for key, count := range buckets[start].counts {
			total, spent := o.eventCounts(key, count)
			point.Total += total
			point.Spent += spent
			if visit != nil && spent > 0 {
				visit(key, spent)
			}
		}
		if point.Total > 0 {
			points = append(points, point)
		}
	}
	return points
}

func sumSince(points []Point, from anvilclock.Millis) (total, spent uint64) {
	for _, point := range points {
		if point.At >= from {
			total += point.Total
			spent += point.Spent
		}
	}
	return total, spent
}

func topSpenders(spent map[string]uint64) []Spender {
	var list []Spender
	for name, n := range spent {
		list = append(list, Spender{name, n})
	}
	slices.SortFunc(list, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.Spent, a.Spent), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxSpenders)]
}
