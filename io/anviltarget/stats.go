package anviltarget

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// Gauge is a current value, its highest value and how often it exceeded its
// limit.
type Gauge struct {
	Now        int `json:"now"`
	Highest    int `json:"highest"`
	Limit      int `json:"limit"`
	Violations int `json:"violations"`
}

// see records a value after a rise.
func (g *Gauge) see(now, limit int) {
	g.Highest = max(g.Highest, now)
	if now > limit {
		g.Violations++
	}
}

// Stats are the true counts of a target, whatever it reports.
type Stats struct {
	Target anvilid.TargetID `json:"target"`
	Epoch  anvilid.Epoch    `json:"epoch"`
	// Runs counts the short requests that began, Answered those that ended.
	Runs     int `json:"runs"`
	Answered int `json:"answered"`
	Refused  struct {
		Epoch   int `json:"epoch"`
		Token   int `json:"token"`
		Leaving int `json:"leaving"`
	} `json:"refused"`
	// Repeated counts the ids that ran more than once, and the runs beyond
	// the first.
	Repeated struct {
		IDs  int `json:"ids"`
		Runs int `json:"runs"`
	} `json:"repeated"`
	// Running is the number of short requests that run.
	Running int `json:"running"`
	// Slots counts short requests and the accelerators of running members,
	// because a member takes as many slots as accelerators.
	Slots Gauge `json:"slots"`
	// Accelerators counts those of prepared and running members.
	Accelerators Gauge `json:"accelerators"`
	Connections  Gauge `json:"connections"`

	Adoptions               int       `json:"adoptions"`
	SuccessfulAnnouncements int       `json:"announced"`
	FailedAnnouncements     int       `json:"unannounced"` // announcements that no instance accepted
	TasksStarted            int       `json:"started"`
	ExpiredLeases           int       `json:"lapsed"`
	Leaving                 bool      `json:"leaving"`
	Tasks                   []TaskRun `json:"tasks"`
}

// Stats returns the true counts and every task run that is remembered.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Target, s.Epoch, s.Leaving, s.Running = t.settings.Target, t.epoch, t.leaving, t.running
	running, held := t.accelerators()
	s.Slots.Now, s.Slots.Limit = t.running+running, int(t.settings.Slots)
	s.Accelerators.Now, s.Accelerators.Limit = held, int(t.settings.Accelerators)
	s.Connections.Now, s.Connections.Limit = t.opened, int(t.settings.Connections)
	s.Tasks = slices.Clone(t.taskLog)
	for _, task := range t.tasks {
		s.Tasks = append(s.Tasks, task.record())
	}
	slices.SortFunc(s.Tasks, func(a, b TaskRun) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Member, b.Member), cmp.Compare(a.Token, b.Token))
	})
	return s
}

// accelerators returns those of running members, and those of running and
// prepared members. The caller holds mu.
func (t *Target) accelerators() (running, held int) {
	for _, task := range t.tasks {
		switch task.state {
		case anvilreport.Running:
			running += int(task.accelerators)
			held += int(task.accelerators)
		case anvilreport.Prepared:
			held += int(task.accelerators)
		}
	}
	return running, held
}

// usageRaised compares usage with the limits. The caller holds mu.
func (t *Target) usageRaised() {
	running, held := t.accelerators()
	t.stats.Slots.see(t.running+running, int(t.settings.Slots))
	t.stats.Accelerators.see(held, int(t.settings.Accelerators))
	t.recordUsage()
}

// usage is what a report tells about one instant.
type usage struct {
	at      anvilclock.Millis
	running int
	open    int
	tasks   []anvilreport.Task
}

// recordUsage keeps a history while reports lag. The caller holds mu.
func (t *Target) recordUsage() {
	lag := t.faults.Lag
	if lag <= 0 {
		return
	}
	now := t.clock.Now()
	t.history = append(t.history, t.readUsage(now))
	// One entry older than the lag must stay, because it is what the next
	// report tells.
	old := 0
	for old+1 < len(t.history) && t.history[old+1].at <= now-lag {
		old++
	}
	t.history = t.history[old:]
}

// readUsage reads the true usage. The caller holds mu.
func (t *Target) readUsage(now anvilclock.Millis) usage {
	u := usage{at: now, running: t.running, open: t.opened}
	for _, task := range t.tasks {
		u.tasks = append(u.tasks, task.report())
	}
	slices.SortFunc(u.tasks, func(a, b anvilreport.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Member, b.Member))
	})
	return u
}

// Report returns what the target tells the system now. An answer to an
// adoption is always current; announcements may lag.
func (t *Target) Report(current bool) anvilreport.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report(current)
}

func (t *Target) report(current bool) anvilreport.Report {
	t.expireTasks()
	now := t.clock.Now()
	u := t.readUsage(now)
	age := anvilclock.Millis(0)
	if lag := t.faults.Lag; lag > 0 && !current {
		// Just after the lag was set, the oldest usage is not that old yet.
		for i, past := range t.history {
			if i == 0 || past.at <= now-lag {
				u = past
			}
		}
		age = min(lag, now-t.history[0].at)
	}
	if t.faults.Lie != nil {
		u.running = *t.faults.Lie
	}
	if t.faults.Hide {
		u.tasks = nil
	}
	t.sequence++
	s := &t.settings
	return anvilreport.Report{
		Target: s.Target, Incarnation: t.incarnation, Address: t.address, Service: s.Service,
		Region: s.Region, Zone: s.Zone, Rack: s.Rack,
		Slots: s.Slots, Connections: s.Connections, Accelerators: s.Accelerators, Leaving: t.leaving,
		Epoch: t.epoch, Sequence: t.sequence, UsageAge: age,
		UsedSlots: anvilid.SlotCount(u.running), OpenConnections: anvilid.ConnectionCount(u.open), Tasks: u.tasks,
	}
}
