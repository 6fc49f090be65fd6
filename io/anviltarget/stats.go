package anviltarget

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// Gauge is a measured value, with the highest value so far. Violations counts the increases
// after which the value was above its limit.
type Gauge struct {
	Now        int `json:"now"`
	Highest    int `json:"highest"`
	Limit      int `json:"limit"`
	Violations int `json:"violations"`
}

// recordValue updates Highest and Violations after the value has increased to now.
func (g *Gauge) recordValue(now, limit int) {
	g.Highest = max(g.Highest, now)
	if now > limit {
		g.Violations++
	}
}

// Stats are the true counts of a target, even while faults make its reports false.
type Stats struct {
	Target anvilid.TargetID `json:"target"`
	Epoch  anvilid.Epoch    `json:"epoch"`
	// Runs counts the short requests that started, Answered those that ended.
	Runs     int `json:"runs"`
	Answered int `json:"answered"`
	Refused  struct {
		Epoch   int `json:"epoch"`
		Token   int `json:"token"`
		Leaving int `json:"leaving"`
	} `json:"refused"`
	// Repeated counts the request ids that ran more than once (IDs), and their
	// second and later runs (Runs).
	Repeated struct {
		IDs  int `json:"ids"`
		Runs int `json:"runs"`
	} `json:"repeated"`
	// Running is the number of short requests that are running.
	Running int `json:"running"`
	// Slots counts the used slots: one for each short request, and one for each
	// accelerator of a running task.
	Slots Gauge `json:"slots"`
	// Accelerators counts the accelerators of prepared and running tasks.
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

// Stats returns the true counts. Tasks contains the tasks that are still reported and up
// to maxTaskLog older ones.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Target, s.Epoch, s.Leaving, s.Running = t.settings.Target, t.epoch, t.leaving, t.runningRequests
	running, reserved := t.countAccelerators()
	s.Slots.Now, s.Slots.Limit = t.runningRequests+running, int(t.settings.Slots)
	s.Accelerators.Now, s.Accelerators.Limit = reserved, int(t.settings.Accelerators)
	s.Connections.Now, s.Connections.Limit = t.openConnections, int(t.settings.Connections)
	s.Tasks = slices.Clone(t.taskLog)
	for _, task := range t.tasks {
		s.Tasks = append(s.Tasks, task.taskRun())
	}
	slices.SortFunc(s.Tasks, func(a, b TaskRun) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Member, b.Member), cmp.Compare(a.Token, b.Token))
	})
	return s
}

// countAccelerators returns the accelerators of running tasks, and those of running and
// prepared tasks together. The caller holds mu.
func (t *Target) countAccelerators() (running, reserved int) {
	for _, task := range t.tasks {
		switch task.state {
		case anvilreport.Running:
			running += int(task.accelerators)
			reserved += int(task.accelerators)
		case anvilreport.Prepared:
			reserved += int(task.accelerators)
		}
	}
	return running, reserved
}

// recordIncrease counts violations of the limits on slots and accelerators after the usage
// has increased. The caller holds mu.
func (t *Target) recordIncrease() {
	running, reserved := t.countAccelerators()
	t.stats.Slots.recordValue(t.runningRequests+running, int(t.settings.Slots))
	t.stats.Accelerators.recordValue(reserved, int(t.settings.Accelerators))
	t.recordUsage()
}

// usage is the part of a report that changes with the load, as it was at one time.
type usage struct {
	at      anvilclock.Millis
	running int
	open    int
	tasks   []anvilreport.Task
}

// recordUsage adds the current usage to the history if the fault Lag is set. Announcements
// then contain an entry of the history instead of the current usage. The caller holds mu.
func (t *Target) recordUsage() {
	lag := t.faults.Lag
	if lag <= 0 {
		return
	}
	now := t.clock.Now()
	t.usageHistory = append(t.usageHistory, t.currentUsage(now))
	// Remove the outdated entries, but not the newest entry that is at least as old as the
	// lag, because the next announcement contains it.
	outdated := 0
	for outdated+1 < len(t.usageHistory) && t.usageHistory[outdated+1].at <= now-lag {
		outdated++
	}
	t.usageHistory = t.usageHistory[outdated:]
}

// currentUsage returns the true usage. The caller holds mu.
func (t *Target) currentUsage(now anvilclock.Millis) usage {
	u := usage{at: now, running: t.runningRequests, open: t.openConnections}
	for _, task := range t.tasks {
		u.tasks = append(u.tasks, task.report())
	}
	slices.SortFunc(u.tasks, func(a, b anvilreport.Task) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Member, b.Member))
	})
	return u
}

// Report returns the report that the target sends now. A current report, such as the answer
// to an adoption, is not affected by the fault Lag; announcements are.
func (t *Target) Report(current bool) anvilreport.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report(current)
}

func (t *Target) report(current bool) anvilreport.Report {
	t.archiveEndedTasks()
	now := t.clock.Now()
	u := t.currentUsage(now)
	age := anvilclock.Millis(0)
	if lag := t.faults.Lag; lag > 0 && !current {
		// Use the newest entry that is at least as old as the lag. Soon after the fault was
		// set there is none, so use the oldest entry.
		for i, entry := range t.usageHistory {
			if i == 0 || entry.at <= now-lag {
				u = entry
			}
		}
		age = min(lag, now-t.usageHistory[0].at)
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
