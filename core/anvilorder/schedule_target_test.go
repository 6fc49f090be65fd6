package anvilorder

import (
	"fmt"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// machine is an address at which at most one target runs at a time.
type machine struct {
	address anvilid.Address
	process *process
	// cutIn means that nothing reaches the machine, cutOut that nothing leaves it.
	cutIn, cutOut bool
	boots         int
}

// process is one incarnation of a target. It follows the platform's rules for targets: fencing tokens, leases
// by its own clock, run numbers that are barred, and ends that are listed until they are acknowledged.
type process struct {
	s           *schedule
	machine     *machine
	id          anvilid.TargetID
	incarnation anvilwork.Incarnation
	bootedAt    anvilclock.Millis
	clockRate   float64
	token       anvilid.Token
	lease       TargetClock
	running     map[anvilwork.Task]*work
	barred      map[anvilwork.Task]anvilwork.Run
	ends        []*listedEnd
	lastEnd     uint64
	// polls has the functions that answer the polls which wait for the end of a run.
	polls   []func()
	leaving bool
}

// work is a run that a process has started.
type work struct {
	process *process
	task    anvilwork.Task
	run     anvilwork.Run
}

// listedEnd is the end of a run that isn't acknowledged. lapsed means that the lease has expired since.
type listedEnd struct {
	anvilwork.RunEnd
	at     anvilclock.Millis
	lapsed bool
}

type gangID struct {
	step anvilwork.StepKey
	run  anvilwork.Run
}

// gang has the members of one run of a gang that were started. over means that a member has ended.
type gang struct {
	members        map[anvilwork.Task]*work
	complete, over bool
}

const (
	announceInterval = anvilclock.Second
	gangTimeout      = 2 * anvilclock.Second
	stopGrace        = 300 * anvilclock.Millisecond
)

// boot starts a new incarnation at a machine.
func (s *schedule) boot(m *machine, id anvilid.TargetID) {
	m.boots++
	p := &process{
		s: s, machine: m, id: id, incarnation: anvilwork.Incarnation(s.now), bootedAt: s.now, clockRate: 1,
		running: map[anvilwork.Task]*work{}, barred: map[anvilwork.Task]anvilwork.Run{},
	}
	if !s.without[slowClocks] {
		p.clockRate -= maxClockSlowness * s.random.Float64()
	}
	m.process = p
	s.record(id, anvilwork.Task{}, "incarnation %d begins at %s", p.incarnation, m.address)
	p.keepAnnouncing()
}

func (p *process) alive() bool { return p.machine.process == p }

func (p *process) clock() TargetClock {
	return 500 + TargetClock(float64(p.s.now-p.bootedAt)*p.clockRate)
}

// shutDown ends the process and all that runs on it, and boots the machine again after some seconds.
func (p *process) shutDown(reason string) {
	s, m := p.s, p.machine
	m.process = nil
	s.record(p.id, anvilwork.Task{}, "incarnation %d ends: %s", p.incarnation, reason)
	for _, task := range slices.SortedFunc(maps.Keys(p.running), anvilwork.Task.Compare) {
		s.record(p.id, task, "run %d ends with its target", p.running[task].run)
		s.endGang(p.running[task])
	}
	id := p.id
	if s.chance(renames, 0.3) {
		id = anvilid.TargetID(fmt.Sprintf("%s.%d", id[:2], m.boots))
	}
	s.after(s.between(300, 4000), func() { s.boot(m, id) })
}

// crash ends a process, and perhaps the next one at the machine soon after it.
func (s *schedule) crash(p *process) {
	m := p.machine
	p.shutDown("crash")
	if s.random.IntN(3) == 0 {
		s.after(s.between(800, 6000), func() {
			if m.process != nil && !s.without[crashes] {
				m.process.shutDown("second crash")
			}
		})
	}
}

// cut cuts a machine off, in both directions or in one.
func (s *schedule) cut(m *machine) {
	direction := s.random.IntN(4)
	m.cutIn, m.cutOut = direction != 0, direction != 1
	span := s.upTo(lateSpan)
	s.record(m.name(), anvilwork.Task{}, "cut off for %d ms, in %t, out %t", span, m.cutIn, m.cutOut)
	s.after(span, func() { m.cutIn, m.cutOut = false, false })
}

func (m *machine) name() anvilid.TargetID {
	if m.process == nil {
		return ""
	}
	return m.process.id
}

// keepAnnouncing announces the process now and at each interval.
func (p *process) keepAnnouncing() {
	if p.alive() {
		p.announce(false, func() {})
		p.s.after(announceInterval, p.keepAnnouncing)
	}
}

// announce sends an announcement, or with left the message that the target has left, to the leader.
func (p *process) announce(left bool, acknowledged func()) {
	s := p.s
	target := anvilwork.Target{
		ID: p.id, Incarnation: p.incarnation, Service: "s", Address: p.machine.address,
		Resources: anvilwork.Resources{GPU: slots}, Leaving: p.leaving, Clock: p.clock(),
	}
	delay := s.between(1, 10)
	if s.chance(lateAnnouncements, 0.03) {
		delay = s.upTo(8 * anvilclock.Second)
	}
	if p.machine.cutOut {
		return
	}
	s.after(delay, func() {
		if s.leader == nil {
			return
		}
		s.leader.handleAnnouncement(target, left, func() {
			back := s.between(1, 10)
			if left && s.chance(lateDepartures, 0.5) {
				back = s.upTo(3 * anvilclock.Second)
			}
			if !p.machine.cutIn {
				s.after(back, acknowledged)
			}
		})
	})
}

// drain makes the process leave: its announcements say so, it works on for some seconds, says that it has
// left, and ends once that is acknowledged or some seconds have passed.
func (p *process) drain() {
	p.leaving = true
	p.s.record(p.id, anvilwork.Task{}, "drains")
	p.announce(false, func() {})
	p.s.after(p.s.between(2000, 6000), p.leave)
}

func (p *process) leave() {
	if !p.alive() {
		return
	}
	p.s.record(p.id, anvilwork.Task{}, "announces that it has left")
	end := func() {
		if p.alive() {
			p.shutDown("left")
		}
	}
	p.announce(true, end)
	limit := anvilclock.Second / 2
	if !p.s.without[lateDepartures] {
		limit = 5 * anvilclock.Second
	}
	p.s.after(limit, end)
}

// transmit sends a request to the target's address, and calls answered once: with the response, or without
// one after a time.
func (s *schedule) transmit(r *request, answered func(response)) {
	r.sent = s.now
	m := s.machines[slices.IndexFunc(s.machines, func(m *machine) bool { return m.address == r.target.Address })]
	if kept := s.connections[m]; kept != nil && s.connectionChoice.IntN(4) > 0 {
		r.connectedTo = kept
	}
	once := false
	finish := func(answer response) {
		if !once {
			once = true
			answer.Target, answer.Incarnation, answer.Sent, answer.Received = r.target.ID, r.target.Incarnation, r.sent, s.now
			answer.Bound = r.connectedTo != nil && r.connectedTo.incarnation == r.target.Incarnation
			if answer.answered {
				s.connections[m] = answer.from
			}
			answered(answer)
		}
	}
	if r.start != nil && r.start.OnlyBound && r.connectedTo == nil {
		s.after(1, func() { finish(response{Answer: Answer{NotSent: true, Withheld: true}}) })
		return
	}
	timeout := callTimeout
	if r.poll != nil {
		timeout += r.poll.Wait
	}
	s.after(timeout, func() { finish(response{}) })
	sentTo := m.process
	late, lost := s.chance(lateOrders, 0.06), s.chance(lostOrders, 0.04)
	switch {
	case r.connectedTo != nil && r.connectedTo != m.process && !m.cutIn && !late:
		s.after(s.upTo(20), func() { finish(response{Answer: Answer{Closed: true}}) })
	case m.process == nil && s.random.IntN(2) == 0 && !late:
		s.after(s.upTo(20), func() { finish(response{Answer: Answer{NotSent: true, Refused: true}}) })
	case m.cutIn && s.random.IntN(3) == 0:
		s.after(timeout-1, func() { finish(response{Answer: Answer{NotSent: true}}) })
	case late, m.cutIn && s.chance(lateOrders, 0.5):
		s.after(s.upTo(maxOrderDelay-1), func() {
			if m.process == sentTo || !s.without[nextIncarnation] {
				s.deliver(m, r, true, func(response) {})
			}
		})
	case lost, m.cutIn:
	default:
		s.after(s.between(1, 8), func() { s.deliver(m, r, false, func(answer response) { s.giveBack(m, answer, finish) }) })
	}
}

// giveBack transmits the answer of a target.
func (s *schedule) giveBack(m *machine, answer response, finish func(response)) {
	delay := s.between(1, 8)
	if s.chance(lateAnswers, 0.1) {
		delay = s.upTo(800)
	}
	if !m.cutOut {
		s.after(delay, func() { finish(answer) })
	}
}

// deliver lets the process that is at an address now carry out a request.
func (s *schedule) deliver(m *machine, r *request, late bool, answer func(response)) {
	p := m.process
	switch {
	case p == nil, r.connectedTo != nil && r.connectedTo != p && (!late || s.without[nextIncarnation]):
		return
	case p.id != r.target.ID:
		answer(response{answered: true, from: p})
		return
	}
	note := fmt.Sprintf("token %d, sent at %d to incarnation %d, late %t", r.token, r.sent, r.target.Incarnation, late)
	reply := response{answered: true}
	if r.token < p.token {
		reply.verdict = StartFenced
		answer(p.stamp(reply))
		return
	}
	if r.start != nil && s.chance(rejections, 0.1) { // an unhealthy target has done nothing
		reply.verdict = StartRejected
		answer(p.stamp(reply))
		return
	}
	p.token = r.token
	if r.deadline > 0 {
		p.extendLease(r.deadline)
	}
	switch {
	case r.start != nil:
		reply.verdict = p.start(r.start)
		s.record(p.id, r.start.Task, "start of run %d: verdict %d (%s, deadline %d at %d)", r.start.Run, reply.verdict, note, r.deadline, p.clock())
	case r.stop != nil:
		s.record(p.id, r.stop.Task, "stop of run %d (%s)", r.stop.Run, note)
		p.stop(r.stop)
		reply.done = true
	default:
		if late || p.incarnation != r.target.Incarnation {
			s.record(p.id, anvilwork.Task{}, "poll (%s, deadline %d at %d, cursor %d)", note, r.deadline, p.clock(), r.poll.Cursor)
		}
		p.poll(r.poll, answer)
		return
	}
	answer(p.stamp(reply))
}

// stamp adds what each answer with a body has.
func (p *process) stamp(r response) response {
	r.Clock, r.AnsweredBy, r.from = p.clock(), p.incarnation, p
	return r
}

func (p *process) extendLease(deadline TargetClock) {
	deadline = min(deadline, p.clock()+TargetClock(testLease))
	if deadline <= p.lease {
		return
	}
	p.lease = deadline
	p.s.after(anvilclock.Millis(float64(max(0, deadline-p.clock()))/p.clockRate)+1, p.checkLease)
}

// checkLease ends all runs if the lease has expired.
func (p *process) checkLease() {
	if !p.alive() || p.clock() < p.lease {
		return
	}
	for _, end := range p.ends {
		end.lapsed = true
	}
	for _, task := range slices.SortedFunc(maps.Keys(p.running), anvilwork.Task.Compare) {
		p.end(p.running[task], anvilwork.RunLeaseExpired)
	}
}

func (p *process) start(order *Start) Verdict {
	current := p.running[order.Task]
	switch {
	case current != nil && current.run == order.Run:
		return StartAccepted
	case current != nil || order.Run <= p.barred[order.Task]:
		return StartRunEnded
	case order.Deadline <= p.clock():
		return StartLeaseExpired
	}
	w := &work{p, order.Task, order.Run}
	p.running[w.task] = w
	p.s.checkStart(w)
	p.s.lastStart[w.task] = p.s.now
	job, _ := p.s.state.Job(w.task.Job)
	step := job.Spec.Steps[w.task.Step]
	if step.Gang {
		p.s.joinGang(w, step)
	} else {
		p.s.after(step.Estimate, func() { p.end(w, anvilwork.RunDone) })
	}
	return StartAccepted
}

func (p *process) stop(order *Stop) {
	p.barred[order.Task] = max(p.barred[order.Task], order.Run)
	if w := p.running[order.Task]; w != nil && w.run <= order.Run {
		p.s.after(p.s.upTo(stopGrace), func() { p.end(w, anvilwork.RunStopped) })
	}
}

// end ends a run that is still at work, and lists its end.
func (p *process) end(w *work, outcome anvilwork.Outcome) {
	if !p.alive() || p.running[w.task] != w {
		return
	}
	delete(p.running, w.task)
	p.barred[w.task] = max(p.barred[w.task], w.run)
	p.lastEnd++
	p.ends = append(p.ends, &listedEnd{RunEnd: anvilwork.RunEnd{Number: p.lastEnd, Task: w.task, Run: w.run, Outcome: outcome}, at: p.s.now})
	p.s.record(p.id, w.task, "run %d ends, outcome %d, number %d", w.run, outcome, p.lastEnd)
	if outcome != anvilwork.RunDone {
		p.s.endGang(w)
	}
	polls := p.polls
	p.polls = nil
	for _, answer := range polls {
		answer()
	}
}

func (p *process) poll(order *Poll, answer func(response)) {
	for len(p.ends) > 0 && p.ends[0].Number <= order.Cursor {
		p.s.acknowledge(p, p.ends[0])
		p.ends = p.ends[1:]
	}
	answered := false
	reply := func() {
		if answered || !p.alive() {
			return
		}
		answered = true
		r := response{answered: true, done: true}
		for _, task := range slices.SortedFunc(maps.Keys(p.running), anvilwork.Task.Compare) {
			r.running = append(r.running, Running{Task: task, Run: p.running[task].run})
		}
		for _, end := range p.ends[:min(len(p.ends), p.s.endsPerList)] {
			r.ended = append(r.ended, end.RunEnd)
		}
		r.complete = len(p.ends) < p.s.endsPerList
		answer(p.stamp(r))
	}
	if len(p.ends) > 0 || order.Wait == 0 {
		reply()
		return
	}
	p.polls = append(p.polls, reply)
	p.s.after(order.Wait, reply)
}

// acknowledge records that the cursor has reached the end of a run.
func (s *schedule) acknowledge(p *process, end *listedEnd) {
	s.record(p.id, end.Task, "end %d of run %d acknowledged, lapsed %t", end.Number, end.Run, end.lapsed)
	if end.Outcome != anvilwork.RunDone || end.lapsed {
		return
	}
	s.doneAcked[end.Task] = true
	if s.lastStart[end.Task] > end.at {
		s.fail(ruleAfterDone, end.Task)
	}
}

// checkStart checks the rules when a run is started.
func (s *schedule) checkStart(w *work) {
	for _, m := range s.machines {
		if m.process != nil && m.process != w.process && m.process.running[w.task] != nil {
			s.record(m.process.id, w.task, "run %d is at work here", m.process.running[w.task].run)
			s.fail(ruleTwice, w.task)
		}
	}
	if s.doneAcked[w.task] {
		s.fail(ruleAfterDone, w.task)
	}
	if len(w.process.running) > slots {
		s.fail(ruleCapacity, w.task)
	}
}

// joinGang adds a member to its gang, which works once all members are there.
func (s *schedule) joinGang(w *work, step anvilwork.Step) {
	id := gangID{w.task.StepKey(), w.run}
	g := s.gangs[id]
	if g == nil {
		g = &gang{members: map[anvilwork.Task]*work{}}
		s.gangs[id] = g
	}
	g.members[w.task] = w
	g.complete = len(g.members) == step.Count
	if g.complete {
		s.after(step.Estimate, func() {
			if !g.over {
				s.endMembers(g, anvilwork.RunDone)
			}
		})
		return
	}
	s.after(gangTimeout, func() {
		if !g.complete {
			w.process.end(w, anvilwork.RunGangIncomplete)
		}
	})
}

// endGang ends the other members of a gang after one has ended.
func (s *schedule) endGang(w *work) {
	if g := s.gangs[gangID{w.task.StepKey(), w.run}]; g != nil {
		g.over = true
		s.after(20, func() { s.endMembers(g, anvilwork.RunGangEnded) })
	}
}

func (s *schedule) endMembers(g *gang, outcome anvilwork.Outcome) {
	for _, task := range slices.SortedFunc(maps.Keys(g.members), anvilwork.Task.Compare) {
		g.members[task].process.end(g.members[task], outcome)
	}
}
