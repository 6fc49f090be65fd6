package anviltarget

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Headers of runs, see docs/protocol.md. The Emu headers control the
// stand-in only.
const (
	HeaderRequestID = "Anvilshunt-Request-Id"
	HeaderAccount   = "Anvilshunt-Account"
	HeaderEpoch     = "Anvilshunt-Epoch"
	HeaderToken     = "Anvilshunt-Token"
	HeaderRemaining = "Anvilshunt-Remaining"
	HeaderCode      = "Anvilshunt-Code"
	HeaderEmuTime   = "X-Emu-Time"
	HeaderEmuSize   = "X-Emu-Size"
	HeaderEmuFault  = "X-Emu-Fault"
)

// Codes of refusals.
const (
	CodeStaleEpoch  = "stale_epoch"
	CodeStaleToken  = "stale_token"
	CodeLeaving     = "leaving"
	CodeUnknownTask = "unknown_task"
	CodeTaskEnded   = "task_ended"
	CodeBadRequest  = "bad_request"
	CodeFailed      = "failed"
)

// runRequest is one parsed call of /v1/run.
type runRequest struct {
	key       requestKey
	epoch     anvilid.Epoch
	token     anvilid.Token
	tokenText string
	time      anvilclock.Millis
	size      int // -1: echo the body
	faults    string
	body      []byte
}

// answer is what a run sends back.
type answer struct {
	status      int
	id          anvilid.RequestID
	token       string
	contentType string
	body        []byte
}

// ExpectedBody returns the content of an answer of the given size: the id repeated.
// Load generators check answers against it.
func ExpectedBody(id anvilid.RequestID, size int) []byte {
	pattern := []byte(string(id) + "\n")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}

func (t *Target) parseRun(r *http.Request) (runRequest, error) {
	var run runRequest
	epoch, err := headerNumber(r, HeaderEpoch, 0)
	if err != nil {
		return run, err
	}
	token, err := headerNumber(r, HeaderToken, 0)
	if err != nil {
		return run, err
	}
	span, err := headerNumber(r, HeaderEmuTime, int64(t.settings.ServiceTime))
	if err != nil {
		return run, err
	}
	size, err := headerNumber(r, HeaderEmuSize, -1)
	if err != nil {
		return run, err
	}
	if size > maxBody {
		return run, fmt.Errorf("header %s is %d, want at most %d", HeaderEmuSize, size, maxBody)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return run, fmt.Errorf("the body could not be read: %w", err)
	}
	return runRequest{
		key:       requestKey{anvilid.AccountID(r.Header.Get(HeaderAccount)), anvilid.RequestID(r.Header.Get(HeaderRequestID))},
		epoch:     anvilid.Epoch(epoch),
		token:     anvilid.Token(token),
		tokenText: r.Header.Get(HeaderToken),
		time:      anvilclock.Millis(span),
		size:      int(size),
		faults:    r.Header.Get(HeaderEmuFault),
		body:      body,
	}, nil
}

func headerNumber(r *http.Request, name string, missing int64) (int64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("header %s is %q, want a number of 0 or more", name, text)
	}
	return n, nil
}

// serveRun runs a short request. The run continues if the caller goes away,
// because a worker can't take back work that it has begun.
func (t *Target) serveRun(w http.ResponseWriter, r *http.Request) {
	run, err := t.parseRun(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, CodeBadRequest, err.Error())
		return
	}
	var named Faults
	if err := named.setNamed(run.faults); err != nil {
		refuse(w, http.StatusBadRequest, CodeBadRequest, err.Error())
		return
	}
	faults, refusal := t.begin(&run)
	if refusal != "" {
		refuseCode(w, refusal)
		return
	}
	faults = faults.merge(named)
	if !faults.Fail {
		t.pause(run.time)
	}
	reply, other := t.end(&run, faults)
	t.pause(faults.Late)
	if faults.Crossed {
		reply = other
	}
	reply.send(t, w, faults)
}

func (f Faults) merge(other Faults) Faults {
	f.Fail = f.Fail || other.Fail
	f.Twice = f.Twice || other.Twice
	f.Crossed = f.Crossed || other.Crossed
	f.Truncate = f.Truncate || other.Truncate
	f.Close = f.Close || other.Close
	return f
}

// begin checks the fences and counts the run. It returns the code of the
// refusal if the request must not run.
func (t *Target) begin(run *runRequest) (faults Faults, refusal string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		t.stats.Refused.Leaving++
		return Faults{}, CodeLeaving
	}
	if t.staleEpoch(run.epoch) {
		t.stats.Refused.Epoch++
		return Faults{}, CodeStaleEpoch
	}
	if !t.settings.NoFencing && run.token > 0 && run.token <= t.requests.entries[run.key].token {
		t.stats.Refused.Token++
		return Faults{}, CodeStaleToken
	}
	if run.key.id != "" {
		switch t.requests.started(run.key, run.token) {
		case 1:
		case 2:
			t.stats.Repeated.IDs++
			t.stats.Repeated.Runs++
		default:
			t.stats.Repeated.Runs++
		}
	}
	t.stats.Runs++
	t.running++
	t.usageRaised()
	return t.requestFaults(), ""
}

// staleEpoch tells whether an epoch is fenced off. The caller holds mu.
func (t *Target) staleEpoch(epoch anvilid.Epoch) bool {
	return !t.settings.NoFencing && epoch < t.epoch
}

// end counts the end of the run. It returns its answer and that of an
// earlier request.
func (t *Target) end(run *runRequest, faults Faults) (own, other answer) {
	own = answer{http.StatusOK, run.key.id, run.tokenText, "application/octet-stream", run.body}
	switch {
	case faults.Fail:
		own.status, own.contentType, own.body = http.StatusInternalServerError, "text/plain", []byte("the stand-in target fails on request\n")
	case run.size >= 0:
		own.body = ExpectedBody(run.key.id, run.size)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.recordUsage()
	t.stats.Answered++
	other = t.previous
	if other.status == 0 || other.id == run.key.id {
		other = own
		other.id = "crossed-" + own.id
	}
	// Answers are kept only while they may be crossed, so that a target
	// doesn't hold a large body for nothing.
	t.previous = answer{}
	if t.faults.Crossed {
		t.previous = own
	}
	return own, other
}

func (t *Target) pause(span anvilclock.Millis) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.closed:
	}
}

// send writes the answer with the faults that concern the connection.
func (a answer) send(t *Target, w http.ResponseWriter, faults Faults) {
	if faults.Close {
		panic(http.ErrAbortHandler)
	}
	if faults.Twice {
		a.sendTwice(t, w)
		return
	}
	header := w.Header()
	a.setHeaders(header)
	w.WriteHeader(a.status)
	if faults.Truncate {
		_, _ = w.Write(a.body[:len(a.body)/2])
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(a.body)
}

func (a answer) setHeaders(header http.Header) {
	header.Set(HeaderRequestID, string(a.id))
	header.Set(HeaderToken, a.token)
	header.Set("Content-Type", a.contentType)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
}

// unsolicitedLinger is how long the connection of a repeated answer stays
// open, so that a client may use it again and read the wrong answer.
const unsolicitedLinger = time.Second

func (a answer) sendTwice(t *Target, w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{}
	a.setHeaders(header)
	var wire bytes.Buffer
	fmt.Fprintf(&wire, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = header.Write(&wire)
	wire.WriteString("\r\n")
	wire.Write(a.body)
	_, _ = conn.Write(bytes.Repeat(wire.Bytes(), 2))
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(unsolicitedLinger))
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
		t.mu.Lock()
		t.forgetConnection(conn)
		t.mu.Unlock()
	}()
}
