package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerOptions are the flags of a stand-in worker.
type workerOptions struct {
	id, service, address, machine, zone, labels, controls, log string
	maxHold, stopGrace, heartbeat                              time.Duration
	// crashAfter is the time from the begin of a run to a crash of the worker, or 0 if it doesn't crash.
	crashAfter time.Duration
}

// worker is a stand-in worker: one life of a machine that runs tasks on orders.
type worker struct {
	workerOptions
	born    int64
	started time.Time
	out     *os.File

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when a run ends
	fence    uint64
	deadline int64 // on the worker's clock
	running  map[string]*workerRun
	highest  map[string]uint64 // the highest run of a task that was stopped or has ended
	ended    [][]any
	lastEnd  uint64
}

// workerRun is a run at work.
type workerRun struct {
	number   uint64
	started  time.Time
	stopping bool
}

func runWorker(args []string) error {
	var o workerOptions
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&o.id, "id", "", "id")
	flags.StringVar(&o.service, "service", "", "service")
	flags.StringVar(&o.address, "address", "", "address to listen on")
	flags.StringVar(&o.machine, "machine", "", "machine")
	flags.StringVar(&o.zone, "zone", "", "zone")
	flags.StringVar(&o.labels, "labels", "", "labels, separated by commas")
	flags.StringVar(&o.controls, "controls", "", "addresses for heartbeats, separated by commas")
	flags.StringVar(&o.log, "log", "", "file to append events to")
	flags.DurationVar(&o.maxHold, "max-hold", 6*time.Second, "longest lease")
	flags.DurationVar(&o.stopGrace, "stop-grace", 200*time.Millisecond, "time that a stop takes")
	flags.DurationVar(&o.heartbeat, "heartbeat", 1500*time.Millisecond, "interval of heartbeats")
	flags.DurationVar(&o.crashAfter, "crash-after", 0, "crash so long after the begin of a run, or never")
	if err := flags.Parse(args); err != nil {
		return err
	}
	out, err := os.OpenFile(o.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return err
	}
	now := time.Now()
	w := &worker{
		workerOptions: o, born: now.UnixMilli(), started: now, out: out, changed: make(chan struct{}),
		running: map[string]*workerRun{}, highest: map[string]uint64{},
	}
	w.event("up", "", 0, "")
	go w.sendHeartbeats()
	go w.watchLease()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /anvilshunt/run-start", w.handleStart)
	mux.HandleFunc("POST /anvilshunt/run-stop", w.handleStop)
	mux.HandleFunc("POST /anvilshunt/hold", w.handleHold)
	mux.HandleFunc("POST /anvilshunt/pace", w.handlePace)
	return http.Serve(listener, mux)
}

// event is one line of a worker's log.
type event struct {
	At     int64  `json:"at"`
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
	Event  string `json:"event"`
	Task   string `json:"task,omitempty"`
	Run    uint64 `json:"run,omitempty"`
	Text   string `json:"text,omitempty"`
}

func (w *worker) event(kind, task string, run uint64, text string) {
	line, err := json.Marshal(event{time.Now().UnixMilli(), w.id, w.born, kind, task, run, text})
	if err == nil {
		_, err = w.out.Write(append(line, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// clock returns the time on the worker's clock, which begins with its life.
func (w *worker) clock() int64 { return 1000 + time.Since(w.started).Milliseconds() }

// order has the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Text       string `json:"task_spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Cursor     uint64 `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
}

// accept decodes an order, and answers it if it isn't for this worker or fenced. w.mu is held if ok is set.
func (w *worker) accept(response http.ResponseWriter, request *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		w.reply(response, http.StatusBadRequest, nil)
		return o, false
	}
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		w.reply(response, http.StatusMisdirectedRequest, nil)
		return o, false
	}
	w.mu.Lock()
	if o.Token < w.fence {
		w.mu.Unlock()
		w.reply(response, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	w.fence = o.Token
	return o, true
}

func (w *worker) reply(response http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clock_ms"], fields["born"] = w.clock(), w.born
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	if err := json.NewEncoder(response).Encode(fields); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// extend moves the end of the lease. w.mu must be held.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+w.maxHold.Milliseconds()))
}

func (w *worker) handleStart(response http.ResponseWriter, request *http.Request) {
	o, ok := w.accept(response, request)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	present := w.running[o.Task]
	switch {
	case present != nil && present.number == o.Run:
		w.extend(o.Deadline)
		w.reply(response, http.StatusOK, nil)
		return
	case present != nil || o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		w.reply(response, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case o.Deadline <= w.clock():
		w.reply(response, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.Deadline)
	r := &workerRun{number: o.Run, started: time.Now()}
	w.running[o.Task] = r
	w.event("start", o.Task, o.Run, o.Text)
	if w.crashAfter > 0 {
		time.AfterFunc(w.crashAfter, w.crash)
	}
	if work := workOf(o.Text); work > 0 {
		time.AfterFunc(work, func() { w.end(o.Task, r, "done") })
	}
	w.reply(response, http.StatusOK, nil)
}

// crash ends the process without notice.
func (w *worker) crash() {
	w.event("crash", "", 0, "")
	os.Exit(exitFailed)
}

// workOf returns the duration in a task's text "work MILLISECONDS", or 0 for a task that lasts.
func workOf(text string) time.Duration {
	number, _ := strings.CutPrefix(text, "work ")
	ms, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// end ends a run, unless it has ended before.
func (w *worker) end(task string, r *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] != r {
		return
	}
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.number, how, ""})
	w.event("end", task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handleStop(response http.ResponseWriter, request *http.Request) {
	o, ok := w.accept(response, request)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		w.event("stop", o.Task, o.Run, "")
		time.AfterFunc(w.stopGrace, func() { w.end(o.Task, r, "stopped") })
	}
	w.reply(response, http.StatusOK, nil)
}

func (w *worker) handlePace(response http.ResponseWriter, request *http.Request) {
	if _, ok := w.accept(response, request); ok {
		w.mu.Unlock()
		w.reply(response, http.StatusOK, nil)
	}
}

func (w *worker) handleHold(response http.ResponseWriter, request *http.Request) {
	o, ok := w.accept(response, request)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.Deadline)
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= o.Cursor {
		w.event("noted", w.ended[0][1].(string), w.ended[0][2].(uint64), w.ended[0][3].(string))
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-request.Context().Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", 50, 10})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), 500)]...)
	w.reply(response, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// watchLease kills all runs when the lease has expired.
func (w *worker) watchLease() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		lapsed := map[string]*workerRun{}
		if w.clock() >= w.deadline {
			for task, r := range w.running {
				lapsed[task] = r
			}
		}
		w.mu.Unlock()
		for task, r := range lapsed {
			w.end(task, r, "lapsed")
		}
	}
}

// sendHeartbeats announces the worker to the system.
func (w *worker) sendHeartbeats() {
	controls := strings.Split(w.controls, ",")
	first := int(w.born) % len(controls)
	preferred := ""
	for sequence := 1; ; sequence++ {
		for attempt := range len(controls) {
			address := controls[(first+attempt)%len(controls)]
			if preferred != "" {
				address = preferred
			}
			next, err := w.announce(address, sequence)
			if err == nil {
				preferred = next
				break
			}
			preferred = ""
		}
		time.Sleep(w.heartbeat)
	}
}

func (w *worker) announce(address string, sequence int) (next string, err error) {
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 32000, "task_memory_mb": 65536, "gpu": 8},
		"labels": strings.Split(w.labels, ","), "machine": w.machine, "clock_ms": w.clock(), "born": w.born, "sequence": sequence,
	})
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/anvilshunt/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var reply struct {
		Address string `json:"heartbeat_address"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	return reply.Address, nil
}
