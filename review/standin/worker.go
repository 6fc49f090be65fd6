package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// behaviour says what becomes of one run of a task on a worker.
type behaviour struct {
	// lasts is how long the run works, or 0 if it works until it is stopped.
	lasts time.Duration
	// outcome is how the run ends after that: done or failed.
	outcome string
	// status is not 0 if the worker rejects the start with this HTTP status.
	status int
}

// run is one run of a task on a worker.
type run struct {
	task       string
	number     uint64
	worker     string
	begun      time.Time
	ended      time.Time // zero while it runs
	outcome    string
	incarnated int64 // the incarnation of the worker
	noted      bool  // its end was acknowledged by a cursor
}

// end is a row of the list of ended runs.
type end struct {
	number uint64
	run    *run
}

// worker is a stand-in for one of the platform's workers.
type worker struct {
	rig     *rig
	id      string
	index   int
	labels  []string
	gpu     int
	behaves func(w *worker, task string, number uint64) behaviour
	// firstBeat is the time from the start of an incarnation to its first heartbeat.
	firstBeat time.Duration

	mu         sync.Mutex
	server     *http.Server
	started    time.Time // when this incarnation started
	born       int64
	sequence   uint64
	registered bool
	cut        bool // no call reaches the worker, and none of its calls arrives
	token      uint64
	deadline   int64
	highest    map[string]uint64 // the highest run of each task that ended or was stopped here
	running    map[string]*run
	ends       []end
	lastEnd    uint64
	changed    chan struct{} // closed when a run ends
	history    []*run        // all runs of all incarnations
}

// newWorker returns a worker that isn't started yet.
func (r *rig) newWorker(index int, behaves func(w *worker, task string, number uint64) behaviour) *worker {
	return &worker{
		rig: r, id: fmt.Sprintf("i-7f3a91c%d", index), index: index, labels: []string{"a", "r1-1"}, gpu: 8, behaves: behaves,
	}
}

func (w *worker) address() string {
	return net.JoinHostPort(w.rig.workerAddress(w.index), strconv.Itoa(w.rig.ports.worker))
}

// startServer starts a new incarnation of the worker, which knows nothing of the one before.
func (w *worker) startServer() error {
	listener, err := net.Listen("tcp", w.address())
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started, w.born, w.sequence, w.registered = time.Now(), time.Now().UnixMilli(), 0, false
	w.token, w.deadline, w.highest, w.running = 0, 0, map[string]uint64{}, map[string]*run{}
	w.ends, w.lastEnd, w.changed = nil, 0, make(chan struct{})
	server := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	w.server = server
	go func() { _ = server.Serve(listener) }() // it returns an error when the server is closed
	go w.beat(w.born)
	w.rig.recordf("worker %s: starts, born %d", w.id, w.born)
	return nil
}

// stopServer ends the incarnation with all its runs at once, as a crash does.
func (w *worker) stopServer() {
	w.mu.Lock()
	server := w.server
	w.server, w.born = nil, 0
	for _, r := range w.running {
		r.ended, r.outcome = time.Now(), "crashed"
		w.rig.recordf("worker %s: run %d of %s is lost in a crash", w.id, r.number, r.task)
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	if server != nil {
		w.rig.recordf("worker %s: ends", w.id)
		_ = server.Close()
	}
}

// setCut cuts the worker off from all machines of the system, or ends the cut. Its runs go on meanwhile.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.rig.recordf("worker %s: cut off: %v", w.id, cut)
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *worker) isRegistered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registered
}

// clock returns the time of the worker's own clock, which starts with the incarnation.
func (w *worker) clock() int64 { return 1000 + time.Since(w.started).Milliseconds() }

// announcement returns the body of the next heartbeat.
func (w *worker) announcement() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{ // it has only values that can be encoded
		"service": "huvo11a", "address": w.address(), "zone": "palermo", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 32000, "task_memory_mb": 65536, "gpu": w.gpu},
		"labels": w.labels, "machine": "m-" + w.id, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.born,
	})
	return string(body)
}

// beat sends heartbeats as long as the incarnation lives.
func (w *worker) beat(born int64) {
	time.Sleep(w.firstBeat)
	for voter := w.index; ; {
		w.mu.Lock()
		alive, cut := w.born == born, w.cut
		w.mu.Unlock()
		if !alive {
			return
		}
		if cut {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var status int
		if status, _, voter = w.rig.control(voter, http.MethodPut, "/anvilshunt/instances/"+w.id, w.announcement()); status == http.StatusOK {
			w.mu.Lock()
			w.registered = true
			w.mu.Unlock()
			w.rig.recordf("worker %s: heartbeat acknowledged", w.id)
		}
		select {
		case <-w.rig.closed:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// order is the body of a call to the worker.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Cursor   uint64 `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// reply is the body of the worker's answer.
type reply struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// ServeHTTP answers a call of the system.
func (w *worker) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.Header.Get("Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.isCut() {
		<-request.Context().Done()
		return
	}
	path := strings.TrimPrefix(request.URL.Path, "/anvilshunt/")
	if path == "hold" && o.Wait > 0 {
		w.awaitEnd(request, o)
	}
	status, answer := w.execute(path, o)
	if w.isCut() { // since the call has arrived
		<-request.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer) // the caller may have gone
}

// awaitEnd delays the answer to a call until a run ends or the caller's wait is over.
func (w *worker) awaitEnd(request *http.Request, o order) {
	w.mu.Lock()
	w.acknowledge(o)
	w.extendLease(o)
	changed, waiting := w.changed, len(w.ends) == 0
	w.mu.Unlock()
	if !waiting {
		return
	}
	select {
	case <-changed:
	case <-request.Context().Done():
	case <-time.After(time.Duration(o.Wait) * time.Millisecond):
	}
}

// execute carries out a call.
func (w *worker) execute(path string, o order) (int, reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := reply{Clock: w.clock(), Born: w.born}
	if o.Token < w.token {
		answer.Reason = "fence"
		return http.StatusConflict, answer
	}
	w.token = o.Token
	switch path {
	case "run-start":
		return w.startRun(o, answer)
	case "run-stop":
		w.stopRun(o)
	case "pace":
	case "hold":
		w.acknowledge(o)
		w.extendLease(o)
		answer.Running, answer.Ended = w.lists()
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

func (w *worker) startRun(o order, answer reply) (int, reply) {
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, answer
	}
	plan := w.behaves(w, o.Task, o.Run)
	switch {
	case plan.status != 0:
		w.rig.recordf("worker %s: rejects run %d of %s with %d", w.id, o.Run, o.Task, plan.status)
		return plan.status, answer
	case o.Run <= w.highest[o.Task] || w.running[o.Task] != nil:
		answer.Reason = "old"
		return http.StatusConflict, answer
	case o.Deadline <= w.clock():
		answer.Reason = "late"
		return http.StatusConflict, answer
	}
	w.extendLease(o)
	r := &run{task: o.Task, number: o.Run, worker: w.id, begun: time.Now(), incarnated: w.born}
	w.running[o.Task], w.history = r, append(w.history, r)
	w.rig.recordf("worker %s: starts run %d of %s", w.id, o.Run, o.Task)
	if plan.lasts > 0 {
		w.endAfter(r, plan.lasts, plan.outcome)
	}
	return http.StatusOK, answer
}

// endAfter ends a run after a delay, unless it has ended before.
func (w *worker) endAfter(r *run, delay time.Duration, outcome string) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == r.incarnated && w.running[r.task] == r {
			w.endRun(r, outcome)
		}
	})
}

func (w *worker) stopRun(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.running[o.Task]
	if r == nil || r.number > o.Run {
		return
	}
	w.rig.recordf("worker %s: is told to stop run %d of %s", w.id, r.number, r.task)
	w.endAfter(r, stopGrace/4, "stopped")
}

func (w *worker) endRun(r *run, outcome string) {
	r.ended, r.outcome = time.Now(), outcome
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r})
	w.rig.recordf("worker %s: run %d of %s ends %s", w.id, r.number, r.task, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

// acknowledge forgets the ends up to the cursor of a call.
func (w *worker) acknowledge(o order) {
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool {
		if e.number > o.Cursor {
			return false
		}
		e.run.noted = true
		w.rig.recordf("worker %s: the end of run %d of %s is taken note of", w.id, e.run.number, e.run.task)
		return true
	})
}

// extendLease extends the lease of all runs to the deadline in a call.
func (w *worker) extendLease(o order) {
	w.deadline = max(w.deadline, min(o.Deadline, w.clock()+maxLease.Milliseconds()))
	born := w.born
	time.AfterFunc(time.Duration(w.deadline-w.clock()+1)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born || w.clock() < w.deadline {
			return
		}
		for _, r := range w.running {
			w.endRun(r, "lapsed")
		}
	})
}

// maxListedEnds is the number of ends that one answer lists.
const maxListedEnds = 500

// startupTime is the time after which a task that lasts is at work.
const startupTime = 200 * time.Millisecond

// lists returns the rows of the running and of the ended runs.
func (w *worker) lists() (running, ended [][]any) {
	for _, r := range w.running {
		percent := 50
		if time.Since(r.begun) >= startupTime {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, "", percent, 1000})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.outcome, ""})
	}
	return running, ended
}

// runs returns copies of all runs of a task on all workers, in the order in which they began.
func (r *rig) runs(task string) []run {
	var found []run
	for _, w := range r.allWorkers() {
		w.mu.Lock()
		for _, one := range w.history {
			if one.task == task {
				found = append(found, *one)
			}
		}
		w.mu.Unlock()
	}
	slices.SortFunc(found, func(a, b run) int { return a.begun.Compare(b.begun) })
	return found
}

// busy returns the number of runs that are at work on all workers.
func (r *rig) busy() int {
	count := 0
	for _, w := range r.allWorkers() {
		w.mu.Lock()
		count += len(w.running)
		w.mu.Unlock()
	}
	return count
}
