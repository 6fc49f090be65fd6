package anviltarget

import (
	"encoding/json"
	"fmt"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// stateOnClose is the final state of tasks that are prepared or running when the target is
// closed.
const stateOnClose = anvilreport.Failed

type memberKey struct {
	job    anvilid.JobID
	member int
}

// TaskRun is the record of one task, which runs one member of a gang. Tests use it to
// check whether all members of a gang ran. Prepared, Started and Stopped are the
// wall-clock times at which the task was prepared, was started and ended; 0 means that
// this hasn't happened.
type TaskRun struct {
	Job          anvilid.JobID            `json:"job"`
	Member       int                      `json:"member"`
	Token        anvilid.Token            `json:"token"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators"`
	State        anvilreport.TaskState    `json:"state"`
	Detail       string                   `json:"detail,omitempty"`
	Prepared     anvilclock.Millis        `json:"prepared"`
	Started      anvilclock.Millis        `json:"started"`
	Stopped      anvilclock.Millis        `json:"stopped"`
	Percent      int                      `json:"percent"`
}

type task struct {
	key          memberKey
	token        anvilid.Token
	accelerators anvilid.AcceleratorCount
	state        anvilreport.TaskState
	detail       string
	preparedAt   anvilclock.Millis
	startedAt    anvilclock.Millis
	stoppedAt    anvilclock.Millis

	// remainingWork is the run time at full speed that was left at the time
	// resumedAt. It is only used if the task has a planned end.
	hasPlannedEnd bool
	failsAtEnd    bool
	remainingWork time.Duration
	resumedAt     time.Time
	percent       int

	leaseTimer *time.Timer
	endTimer   *time.Timer
}

// taskCall is the body of the calls that prepare, start, renew, stop or throttle a task. Each
// uses only some of the fields.
type taskCall struct {
	Epoch        anvilid.Epoch            `json:"epoch"`
	Token        anvilid.Token            `json:"token"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators"`
	Lease        anvilclock.Millis        `json:"lease"`
	Payload      json.RawMessage          `json:"payload"`
	Checkpoint   bool                     `json:"checkpoint"`
	Percent      int                      `json:"percent"`
}

// refusal says why a call was rejected.
type refusal struct {
	code string
	text string
}

func (t *task) report() anvilreport.Task {
	return anvilreport.Task{
		Job: t.key.job, Member: t.key.member, Token: t.token, State: t.state,
		Accelerators: t.accelerators, Detail: t.detail,
	}
}

func (t *task) taskRun() TaskRun {
	return TaskRun{
		Job: t.key.job, Member: t.key.member, Token: t.token, Accelerators: t.accelerators, State: t.state,
		Detail: t.detail, Prepared: t.preparedAt, Started: t.startedAt, Stopped: t.stoppedAt, Percent: t.percent,
	}
}

// parsePlan reads the planned end of the task from the payload: the field "run" is its run
// time in milliseconds at full speed, and "fail" makes it fail at its end. The payload is a
// JSON object, or a string that contains one. With any other payload, the task has no planned
// end: it runs until it is stopped or its lease expires.
func (t *task) parsePlan(payload json.RawMessage) {
	var text string
	if json.Unmarshal(payload, &text) == nil {
		payload = json.RawMessage(text)
	}
	var plan struct {
		Run  *int64 `json:"run"`
		Fail bool   `json:"fail"`
	}
	if json.Unmarshal(payload, &plan) != nil || (plan.Run == nil && !plan.Fail) {
		return
	}
	t.hasPlannedEnd, t.failsAtEnd = true, plan.Fail
	if plan.Run != nil {
		t.remainingWork = time.Duration(*plan.Run) * time.Millisecond
	}
}

// checkFencing returns a refusal if the epoch of a call is lower than the adopted one, or if
// the gang member was already stopped with the token of the call or a later one. The caller
// holds mu.
func (t *Target) checkFencing(key memberKey, call taskCall) *refusal {
	if t.settings.NoFencing {
		return nil
	}
	if t.staleEpoch(call.Epoch) {
		t.stats.Refused.Epoch++
		return &refusal{CodeStaleEpoch, fmt.Sprintf("epoch %d is lower than the adopted epoch %d; adopt the target again",
			call.Epoch, t.epoch)}
	}
	if stoppedToken, known := t.stopTokens[key]; known && call.Token <= stoppedToken {
		t.stats.Refused.Token++
		return &refusal{CodeStaleToken, fmt.Sprintf("member %d of job %q was stopped with token %d; use a later token",
			key.member, key.job, stoppedToken)}
	}
	return nil
}

func (t *Target) prepare(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		t.stats.Refused.Leaving++
		return anvilreport.Task{}, &refusal{CodeLeaving, "the target is leaving; choose another one"}
	}
	if r := t.checkFencing(key, call); r != nil {
		return anvilreport.Task{}, r
	}
	if f := t.requestFaults(); f.Fail {
		return anvilreport.Task{}, &refusal{CodeFailed, "the stand-in target failed because the fault \"fail\" is set"}
	}
	if existing := t.tasks[key]; existing != nil {
		if existing.token == call.Token {
			return existing.report(), nil
		}
		if existing.token > call.Token && !t.settings.NoFencing {
			t.stats.Refused.Token++
			return anvilreport.Task{}, &refusal{CodeStaleToken, fmt.Sprintf("member %d of job %q was prepared with token %d",
				key.member, key.job, existing.token)}
		}
		t.finishTask(existing, anvilreport.Stopped, "replaced by a task with a later token")
		t.archiveTask(existing)
	}
	task := &task{
		key: key, token: call.Token, accelerators: call.Accelerators,
		state: anvilreport.Prepared, preparedAt: t.clock.Now(), percent: 100,
	}
	task.parsePlan(call.Payload)
	t.tasks[key] = task
	t.extendLease(task, call.Lease)
	t.recordIncrease()
	return task.report(), nil
}

// findTask returns the task that a call refers to. It returns a refusal if the call is
// outdated, or if the task is unknown or has ended. The caller holds mu.
func (t *Target) findTask(key memberKey, call taskCall) (*task, *refusal) {
	if r := t.checkFencing(key, call); r != nil {
		return nil, r
	}
	task := t.tasks[key]
	switch {
	case task == nil || (!t.settings.NoFencing && task.token < call.Token):
		return nil, &refusal{CodeUnknownTask, fmt.Sprintf("member %d of job %q is not prepared with token %d; prepare it first", key.member, key.job, call.Token)}
	case !t.settings.NoFencing && task.token > call.Token:
		t.stats.Refused.Token++
		return nil, &refusal{CodeStaleToken, fmt.Sprintf("member %d of job %q was prepared with token %d", key.member,
			key.job, task.token)}
	case task.state.Final():
		return nil, &refusal{CodeTaskEnded, fmt.Sprintf("member %d of job %q is %s: %s", key.member, key.job, task.state,
			task.detail)}
	}
	return task, nil
}

func (t *Target) start(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, r := t.findTask(key, call)
	if r != nil {
		return anvilreport.Task{}, r
	}
	t.extendLease(task, call.Lease)
	if task.state == anvilreport.Running {
		return task.report(), nil
	}
	if f := t.requestFaults(); f.Fail {
		t.finishTask(task, anvilreport.Failed, "the stand-in target failed because the fault \"fail\" is set")
		return task.report(), &refusal{CodeFailed, task.detail}
	}
	task.state, task.startedAt = anvilreport.Running, t.clock.Now()
	t.stats.TasksStarted++
	t.recordIncrease()
	t.scheduleEnd(task)
	return task.report(), nil
}

// scheduleEnd starts the timer of the planned end of a task. The caller holds mu.
func (t *Target) scheduleEnd(task *task) {
	task.resumedAt = time.Now()
	if !task.hasPlannedEnd || task.percent == 0 {
		return
	}
	task.endTimer = time.AfterFunc(task.remainingWork*100/time.Duration(task.percent), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if task.failsAtEnd {
			t.finishTask(task, anvilreport.Failed, "failed as the payload requested")
			return
		}
		t.finishTask(task, anvilreport.Ended, "")
	})
}

func (t *Target) renew(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, r := t.findTask(key, call)
	if r != nil {
		return anvilreport.Task{}, r
	}
	t.extendLease(task, call.Lease)
	return task.report(), nil
}

// extendLease makes the lease of a task expire after the given duration from now. The task is
// stopped when its lease expires. A duration of 0 leaves the lease unchanged. The caller holds
// mu.
func (t *Target) extendLease(task *task, duration anvilclock.Millis) {
	if duration <= 0 {
		return
	}
	if task.leaseTimer != nil {
		task.leaseTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(duration.Duration(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		// A renewal may have replaced the timer after it fired.
		if task.leaseTimer == timer && !task.state.Final() {
			t.stats.ExpiredLeases++
			t.finishTask(task, anvilreport.Stopped, "lease expired")
		}
	})
	task.leaseTimer = timer
}

// stop stops the task of a gang member. From then on, the target rejects calls about this
// member with the same or a lower token, even if it had no task here. If there was no task
// with this token, the answer describes it as stopped.
func (t *Target) stop(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.staleEpoch(call.Epoch) {
		t.stats.Refused.Epoch++
		return anvilreport.Task{}, &refusal{CodeStaleEpoch, fmt.Sprintf("epoch %d is lower than the adopted epoch %d",
			call.Epoch, t.epoch)}
	}
	t.stopTokens[key] = max(t.stopTokens[key], call.Token)
	task := t.tasks[key]
	if task == nil || (task.token > call.Token && !t.settings.NoFencing) {
		return anvilreport.Task{Job: key.job, Member: key.member, Token: call.Token, State: anvilreport.Stopped, Detail: "never ran here with this token"}, nil
	}
	detail := "stopped"
	if call.Checkpoint {
		detail = "stopped with a checkpoint"
	}
	t.finishTask(task, anvilreport.Stopped, detail)
	return task.report(), nil
}

// throttle sets the speed of a task in percent; 0 pauses it.
func (t *Target) throttle(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, r := t.findTask(key, call)
	if r != nil {
		return anvilreport.Task{}, r
	}
	if call.Percent < 0 || call.Percent > 100 {
		return anvilreport.Task{}, &refusal{CodeBadRequest, fmt.Sprintf("percent is %d; use 0 to 100", call.Percent)}
	}
	if task.state == anvilreport.Running {
		if task.endTimer != nil && !task.endTimer.Stop() {
			// The timer has fired, and its function waits for mu to end the task.
			return task.report(), nil
		}
		completed := time.Since(task.resumedAt) * time.Duration(task.percent) / 100
		task.remainingWork = max(0, task.remainingWork-completed)
	}
	task.percent, task.endTimer = call.Percent, nil
	if task.state == anvilreport.Running {
		t.scheduleEnd(task)
	}
	return task.report(), nil
}

// finishTask moves a task to a final state, unless it is in one already. The caller holds mu.
func (t *Target) finishTask(task *task, state anvilreport.TaskState, detail string) {
	if task.state.Final() {
		return
	}
	task.state, task.detail, task.stoppedAt = state, detail, t.clock.Now()
	for _, timer := range []*time.Timer{task.leaseTimer, task.endTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	t.recordUsage()
}

// archiveTask adds a task to taskLog, before the caller removes or replaces it in tasks. The
// caller holds mu.
func (t *Target) archiveTask(task *task) {
	if len(t.taskLog) >= maxTaskLog {
		t.taskLog = t.taskLog[1:]
	}
	t.taskLog = append(t.taskLog, task.taskRun())
}

// archiveEndedTasks moves tasks that ended more than endedTaskAge ago from tasks to taskLog,
// so that they are no longer reported. The caller holds mu.
func (t *Target) archiveEndedTasks() {
	now := t.clock.Now()
	for key, task := range t.tasks {
		if task.state.Final() && now-task.stoppedAt > endedTaskAge {
			t.archiveTask(task)
			delete(t.tasks, key)
		}
	}
}
