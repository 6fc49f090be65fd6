package anviltarget

import (
	"encoding/json"
	"fmt"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// stateOnClose is the state of tasks whose target dies.
const stateOnClose = anvilreport.Failed

type memberKey struct {
	job    anvilid.JobID
	member int
}

// TaskRun is the record of one gang member for tests that judge whether
// gangs ran whole. Started and Stopped are wall-clock instants; 0 means that
// the member hasn't started or stopped.
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
	prepared     anvilclock.Millis
	started      anvilclock.Millis
	stopped      anvilclock.Millis

	// remaining is the work left at the instant resumed, at full speed.
	// A task without a planned end has none.
	planned   bool
	fail      bool
	remaining time.Duration
	resumed   time.Time
	percent   int

	lease *time.Timer
	end   *time.Timer
}

// taskCall is the body of all task calls.
type taskCall struct {
	Epoch        anvilid.Epoch            `json:"epoch"`
	Token        anvilid.Token            `json:"token"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators"`
	Lease        anvilclock.Millis        `json:"lease"`
	Payload      json.RawMessage          `json:"payload"`
	Checkpoint   bool                     `json:"checkpoint"`
	Percent      int                      `json:"percent"`
}

// refusal explains why a call was not carried out.
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

func (t *task) record() TaskRun {
	return TaskRun{
		Job: t.key.job, Member: t.key.member, Token: t.token, Accelerators: t.accelerators, State: t.state,
		Detail: t.detail, Prepared: t.prepared, Started: t.started, Stopped: t.stopped, Percent: t.percent,
	}
}

// plan reads the run time from the payload: a JSON object, or a string that
// holds one. Any other payload runs until it is stopped.
func (t *task) plan(payload json.RawMessage) {
	var text string
	if json.Unmarshal(payload, &text) == nil {
		payload = json.RawMessage(text)
	}
	var script struct {
		Run  *int64 `json:"run"`
		Fail bool   `json:"fail"`
	}
	if json.Unmarshal(payload, &script) != nil || (script.Run == nil && !script.Fail) {
		return
	}
	t.planned, t.fail = true, script.Fail
	if script.Run != nil {
		t.remaining = time.Duration(*script.Run) * time.Millisecond
	}
}

// fenced returns a refusal if the epoch or token of a call is outdated. The
// caller holds mu.
func (t *Target) fenced(key memberKey, call taskCall) *refusal {
	if t.settings.NoFencing {
		return nil
	}
	if t.staleEpoch(call.Epoch) {
		t.stats.Refused.Epoch++
		return &refusal{CodeStaleEpoch, fmt.Sprintf("epoch %d is below the adopted epoch %d; adopt the target again", call.Epoch, t.epoch)}
	}
	if fence, known := t.stopped[key]; known && call.Token <= fence {
		t.stats.Refused.Token++
		return &refusal{CodeStaleToken, fmt.Sprintf("member %d of job %q was stopped under token %d; use a later token", key.member, key.job, fence)}
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
	if r := t.fenced(key, call); r != nil {
		return anvilreport.Task{}, r
	}
	if f := t.requestFaults(); f.Fail {
		return anvilreport.Task{}, &refusal{CodeFailed, "the stand-in target fails on request"}
	}
	if old := t.tasks[key]; old != nil {
		if old.token == call.Token {
			return old.report(), nil
		}
		if old.token > call.Token && !t.settings.NoFencing {
			t.stats.Refused.Token++
			return anvilreport.Task{}, &refusal{CodeStaleToken, fmt.Sprintf("member %d of job %q was prepared under token %d", key.member, key.job, old.token)}
		}
		t.finish(old, anvilreport.Stopped, "replaced under a later token")
		t.logTask(old)
	}
	task := &task{
		key: key, token: call.Token, accelerators: call.Accelerators,
		state: anvilreport.Prepared, prepared: t.clock.Now(), percent: 100,
	}
	task.plan(call.Payload)
	t.tasks[key] = task
	t.extend(task, call.Lease)
	t.usageRaised()
	return task.report(), nil
}

// find returns the task that a call is about. The caller holds mu.
func (t *Target) find(key memberKey, call taskCall) (*task, *refusal) {
	if r := t.fenced(key, call); r != nil {
		return nil, r
	}
	task := t.tasks[key]
	switch {
	case task == nil || (!t.settings.NoFencing && task.token < call.Token):
		return nil, &refusal{CodeUnknownTask, fmt.Sprintf("member %d of job %q isn't prepared under token %d; prepare it first", key.member, key.job, call.Token)}
	case !t.settings.NoFencing && task.token > call.Token:
		t.stats.Refused.Token++
		return nil, &refusal{CodeStaleToken, fmt.Sprintf("member %d of job %q was prepared under token %d", key.member, key.job, task.token)}
	case task.state.Final():
		return nil, &refusal{CodeTaskEnded, fmt.Sprintf("member %d of job %q is %s: %s", key.member, key.job, task.state, task.detail)}
	}
	return task, nil
}

func (t *Target) start(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, r := t.find(key, call)
	if r != nil {
		return anvilreport.Task{}, r
	}
	t.extend(task, call.Lease)
	if task.state == anvilreport.Running {
		return task.report(), nil
	}
	if f := t.requestFaults(); f.Fail {
		t.finish(task, anvilreport.Failed, "the stand-in target fails on request")
		return task.report(), &refusal{CodeFailed, task.detail}
	}
	task.state, task.started = anvilreport.Running, t.clock.Now()
	t.stats.TasksStarted++
	t.usageRaised()
	t.resume(task)
	return task.report(), nil
}

// resume sets the timer of the planned end. The caller holds mu.
func (t *Target) resume(task *task) {
	task.resumed = time.Now()
	if !task.planned || task.percent == 0 {
		return
	}
	task.end = time.AfterFunc(task.remaining*100/time.Duration(task.percent), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if task.fail {
			t.finish(task, anvilreport.Failed, "the payload asked for a failure")
			return
		}
		t.finish(task, anvilreport.Ended, "")
	})
}

func (t *Target) renew(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, r := t.find(key, call)
	if r != nil {
		return anvilreport.Task{}, r
	}
	t.extend(task, call.Lease)
	return task.report(), nil
}

// extend sets the lease of a task. A lease of 0 leaves it as it is. The
// caller holds mu.
func (t *Target) extend(task *task, span anvilclock.Millis) {
	if span <= 0 {
		return
	}
	if task.lease != nil {
		task.lease.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(span.Duration(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		// A renewal may have replaced the timer after it fired.
		if task.lease == timer && !task.state.Final() {
			t.stats.ExpiredLeases++
			t.finish(task, anvilreport.Stopped, "lease lapsed")
		}
	})
	task.lease = timer
}

// stop stops a member and fences its token, whether or not it is known. The
// answer describes the member under that token.
func (t *Target) stop(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.staleEpoch(call.Epoch) {
		t.stats.Refused.Epoch++
		return anvilreport.Task{}, &refusal{CodeStaleEpoch, fmt.Sprintf("epoch %d is below the adopted epoch %d", call.Epoch, t.epoch)}
	}
	t.stopped[key] = max(t.stopped[key], call.Token)
	task := t.tasks[key]
	if task == nil || (task.token > call.Token && !t.settings.NoFencing) {
		return anvilreport.Task{Job: key.job, Member: key.member, Token: call.Token, State: anvilreport.Stopped, Detail: "never ran here under this token"}, nil
	}
	detail := "stopped"
	if call.Checkpoint {
		detail = "stopped with a checkpoint"
	}
	t.finish(task, anvilreport.Stopped, detail)
	return task.report(), nil
}

// throttle sets the speed of a running member in percent; 0 pauses it.
func (t *Target) throttle(key memberKey, call taskCall) (anvilreport.Task, *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	task, r := t.find(key, call)
	if r != nil {
		return anvilreport.Task{}, r
	}
	if call.Percent < 0 || call.Percent > 100 {
		return anvilreport.Task{}, &refusal{CodeBadRequest, fmt.Sprintf("percent is %d, want 0 to 100", call.Percent)}
	}
	if task.state == anvilreport.Running {
		if task.end != nil && !task.end.Stop() {
			// The end is being recorded and waits for mu.
			return task.report(), nil
		}
		done := time.Since(task.resumed) * time.Duration(task.percent) / 100
		task.remaining = max(0, task.remaining-done)
	}
	task.percent, task.end = call.Percent, nil
	if task.state == anvilreport.Running {
		t.resume(task)
	}
	return task.report(), nil
}

// finish moves a task to a final state once. The caller holds mu.
func (t *Target) finish(task *task, state anvilreport.TaskState, detail string) {
	if task.state.Final() {
		return
	}
	task.state, task.detail, task.stopped = state, detail, t.clock.Now()
	for _, timer := range []*time.Timer{task.lease, task.end} {
		if timer != nil {
			timer.Stop()
		}
	}
	t.recordUsage()
}

// logTask keeps the record of a task that leaves the table. The caller holds
// mu.
func (t *Target) logTask(task *task) {
	if len(t.taskLog) >= maxTaskLog {
		t.taskLog = t.taskLog[1:]
	}
	t.taskLog = append(t.taskLog, task.record())
}

// expireTasks moves tasks that ended a while ago to the log. The caller
// holds mu.
func (t *Target) expireTasks() {
	now := t.clock.Now()
	for key, task := range t.tasks {
		if task.state.Final() && now-task.stopped > endedTaskAge {
			t.logTask(task)
			delete(t.tasks, key)
		}
	}
}
