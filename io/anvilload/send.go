package anvilload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

// Outcome of a request.
type Outcome string

// Outcomes, see docs/protocol.md.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Result is the result of one request after its resends.
type Result struct {
	Account      anvilid.AccountID
	ID           anvilid.RequestID
	Outcome      Outcome
	FirstOutcome Outcome // outcome of the first attempt
	Code         string  // code of a refusal or error, or the status of an answer
	Mismatch     string  // why the answer isn't the one to this request
	Latency      time.Duration
	Resends      int
	InPeak       bool
}

const (
	headerRepeatable = "Anvilshunt-Repeatable"
	headerTimeout    = "Anvilshunt-Timeout"
	headerOutcome    = "Anvilshunt-Outcome"
	// graceAfterTimeout lets the system answer a timeout itself before the
	// client gives up.
	graceAfterTimeout = 2 * time.Second
)

// send makes one attempt.
func (g *generator) send(ctx context.Context, r request) Result {
	result := Result{Account: r.account, ID: r.id, InPeak: r.peak}
	// The end of the load must not cut off requests in flight.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.settings.Timeout.Duration()+graceAfterTimeout)
	defer cancel()
	call, err := g.newCall(ctx, r)
	if err != nil {
		result.Outcome, result.Code = NotRun, "bad_address"
		return result
	}
	response, err := g.client.Do(call)
	if err != nil {
		result.Outcome, result.Code = classifyError(err)
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Outcome, result.Code = Unknown, "broken_answer"
		return result
	}
	g.classify(&result, r, response, body)
	return result
}

// classifyError tells requests that never left from those that may have run.
func classifyError(err error) (Outcome, string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun, "unreachable"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Unknown, "no_answer"
	}
	return Unknown, "connection_lost"
}

func (g *generator) newCall(ctx context.Context, r request) (*http.Request, error) {
	s := &g.settings
	address := s.Addresses[int(g.turn.Add(1))%len(s.Addresses)]
	url := "http://" + string(address) + "/v1/services/" + string(s.Service) + "/requests"
	if s.Direct {
		url = "http://" + string(address) + "/v1/run"
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(g.bodyOf(r)))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send a request a second time on
	// its own after a connection broke, which would count as a double run.
	call.GetBody = nil
	h := call.Header
	h.Set("Content-Type", "application/octet-stream")
	h.Set(anviltarget.HeaderAccount, string(r.account))
	if r.id != "" {
		h.Set(anviltarget.HeaderRequestID, string(r.id))
	}
	if s.Repeatable != "" {
		h.Set(headerRepeatable, s.Repeatable)
	}
	if s.Direct {
		h.Set(anviltarget.HeaderRemaining, strconv.FormatInt(int64(s.Timeout), 10))
	} else {
		h.Set(headerTimeout, strconv.FormatInt(int64(s.Timeout), 10))
	}
	if s.ServiceTime >= 0 {
		h.Set(anviltarget.HeaderEmuTime, strconv.FormatInt(int64(s.ServiceTime), 10))
	}
	if s.AnswerBytes >= 0 {
		h.Set(anviltarget.HeaderEmuSize, strconv.Itoa(s.AnswerBytes))
	}
	return call, nil
}

// bodyOf returns the body of a request. It begins with the number of the
// request, so that an answer that was given to another request shows.
func (g *generator) bodyOf(r request) []byte {
	body := bytes.Clone(g.body)
	copy(body, strconv.FormatInt(r.number, 10)+" ")
	return body
}

// classify reads the outcome of an answer and checks that it belongs to the
// request.
func (g *generator) classify(result *Result, r request, response *http.Response, body []byte) {
	result.Outcome = Outcome(response.Header.Get(headerOutcome))
	if g.settings.Direct {
		result.Outcome = Done
		if response.Header.Get(anviltarget.HeaderCode) != "" {
			result.Outcome = NotRun
		}
	}
	switch result.Outcome {
	case Done:
		result.Code = strconv.Itoa(response.StatusCode)
		result.Mismatch = g.check(r, response, body)
	case NotRun, Unknown:
		result.Code = errorCode(response, body)
	default:
		// An answer without an outcome isn't from an instance.
		result.Outcome, result.Code = Unknown, fmt.Sprintf("status_%d_without_outcome", response.StatusCode)
	}
}

func errorCode(response *http.Response, body []byte) string {
	var e struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &e) != nil || e.Code == "" {
		return fmt.Sprintf("status_%d", response.StatusCode)
	}
	return e.Code
}

// check returns why an answer isn't the complete answer to the request, or
// an empty string.
func (g *generator) check(r request, response *http.Response, body []byte) string {
	id := anvilid.RequestID(response.Header.Get(anviltarget.HeaderRequestID))
	if r.id != "" && id != r.id {
		return fmt.Sprintf("request %s got the answer to %q", r.id, id)
	}
	if response.StatusCode != http.StatusOK {
		return ""
	}
	want := g.bodyOf(r)
	if g.settings.AnswerBytes >= 0 {
		want = anviltarget.Body(id, g.settings.AnswerBytes)
	}
	if !bytes.Equal(body, want) {
		return fmt.Sprintf("request %d (id %q) got %d bytes of other content, want %d bytes", r.number, id, len(body), len(want))
	}
	return ""
}
