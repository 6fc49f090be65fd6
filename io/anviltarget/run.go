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

// Headers of calls of /v1/run and of their answers, see docs/protocol.md. The headers that
// begin with X-Emu control the stand-in target; other targets ignore them.
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

// Codes in the header Anvilshunt-Code of a rejected call, which say why it was rejected.
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
	key        requestKey
	epoch      anvilid.Epoch
	token      anvilid.Token
	tokenText  string
	duration   anvilclock.Millis
	size       int // -1: echo the body
	faultNames string
	body       []byte
}

// answer is the HTTP answer to a run.
type answer struct {
	status      int
	id          anvilid.RequestID
	token       string
	contentType string
	body        []byte
}

// ExpectedBody returns the body with which the target answers a request that asks for an
// answer of size bytes: the request id and a newline, repeated. Load generators compare
// answers with it.
func ExpectedBody(id anvilid.RequestID, size int) []byte {
	pattern := []byte(string(id) + "\n")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}

func (t *Target) parseRun(r *http.Request) (runRequest, error) {
	var run runRequest
	epoch, err := parseHeaderNumber(r, HeaderEpoch, 0)
	if err != nil {
		return run, err
	}
	token, err := parseHeaderNumber(r, HeaderToken, 0)
	if err != nil {
		return run, err
	}
	duration, err := parseHeaderNumber(r, HeaderEmuTime, int64(t.settings.ServiceTime))
	if err != nil {
		return run, err
	}
	size, err := parseHeaderNumber(r, HeaderEmuSize, -1)
	if err != nil {
		return run, err
	}
	if size > maxBody {
		return run, fmt.Errorf("header %s is %d; use at most %d", HeaderEmuSize, size, maxBody)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return run, fmt.Errorf("read the request body: %w", err)
	}
	return runRequest{
		key:        requestKey{anvilid.AccountID(r.Header.Get(HeaderAccount)), anvilid.RequestID(r.Header.Get(HeaderRequestID))},
		epoch:      anvilid.Epoch(epoch),
		token:      anvilid.Token(token),
		tokenText:  r.Header.Get(HeaderToken),
		duration:   anvilclock.Millis(duration),
		size:       int(size),
		faultNames: r.Header.Get(HeaderEmuFault),
		body:       body,
	}, nil
}

func parseHeaderNumber(r *http.Request, name string, defaultValue int64) (int64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("header %s is %q; use an integer of 0 or more", name, text)
	}
	return n, nil
}

// serveRun runs a short request. The run continues if the caller closes the connection,
// because a real target can't undo work that it has begun.
func (t *Target) serveRun(w http.ResponseWriter, r *http.Request) {
	run, err := t.parseRun(r)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, CodeBadRequest, err.Error())
		return
	}
	var requestedFaults Faults
	if err := requestedFaults.setNamed(run.faultNames); err != nil {
		writeRefusal(w, http.StatusBadRequest, CodeBadRequest, err.Error())
		return
	}
	faults, refusal := t.beginRun(&run)
	if refusal != "" {
		writeRefusalCode(w, refusal)
		return
	}
	faults = faults.merge(requestedFaults)
	if !faults.Fail {
		t.sleep(run.duration)
	}
	reply, other := t.endRun(&run, faults)
	t.sleep(faults.Late)
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

// beginRun checks the epoch and the token of a request, counts its run and returns the faults
// to inject. If the request must not run, it returns the code of the refusal instead.
func (t *Target) beginRun(run *runRequest) (faults Faults, refusal string) {
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
		switch t.requests.recordRun(run.key, run.token) {
		case 1:
		case 2:
			t.stats.Repeated.IDs++
			t.stats.Repeated.Runs++
		default:
			t.stats.Repeated.Runs++
		}
	}
	t.stats.Runs++
	t.runningRequests++
	t.recordIncrease()
	return t.requestFaults(), ""
}

// staleEpoch reports whether an epoch is lower than that of the last adoption, so that the
// call comes from a former owner. The caller holds mu.
func (t *Target) staleEpoch(epoch anvilid.Epoch) bool {
	return !t.settings.NoFencing && epoch < t.epoch
}

// endRun counts the end of a run. It returns the answer to the request, and the answer that
// the fault Crossed sends instead: that to the previous request, or, if none is stored, the
// same answer with another request id.
func (t *Target) endRun(run *runRequest, faults Faults) (own, other answer) {
	own = answer{http.StatusOK, run.key.id, run.tokenText, "application/octet-stream", run.body}
	switch {
	case faults.Fail:
		own.status, own.contentType, own.body = http.StatusInternalServerError, "text/plain",
			[]byte("the stand-in target failed because the fault \"fail\" is set\n")
	case run.size >= 0:
		own.body = ExpectedBody(run.key.id, run.size)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runningRequests--
	t.recordUsage()
	t.stats.Answered++
	other = t.previousAnswer
	if other.status == 0 || other.id == run.key.id {
		other = own
		other.id = "crossed-" + own.id
	}
	// The answer is stored only if the fault Crossed may need it, because its body can be
	// large.
	t.previousAnswer = answer{}
	if t.faults.Crossed {
		t.previousAnswer = own
	}
	return own, other
}

func (t *Target) sleep(duration anvilclock.Millis) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.closed:
	}
}

// send writes the answer. It injects the faults Close, Twice and Truncate if they are set.
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

// secondAnswerLinger is how long the connection stays open after an answer was written
// twice, so that a client may reuse it and read the second copy as the answer to its next
// request.
const secondAnswerLinger = time.Second

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
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = header.Write(&raw)
	raw.WriteString("\r\n")
	raw.Write(a.body)
	_, _ = conn.Write(bytes.Repeat(raw.Bytes(), 2))
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(secondAnswerLinger))
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
		t.mu.Lock()
		t.removeConnection(conn)
		t.mu.Unlock()
	}()
}
