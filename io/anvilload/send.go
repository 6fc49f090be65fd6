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

// Outcome says whether a request was run, as far as the caller can know.
type Outcome string

// Outcomes of a request; docs/protocol.md defines them.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Result is the result of one request, after its resends.
type Result struct {
	Account      anvilid.AccountID
	ID           anvilid.RequestID
	Outcome      Outcome
	FirstOutcome Outcome // outcome of the first attempt
	Code         string  // error code if not done, otherwise the HTTP status
	Mismatch     string  // how the answer differs from the expected one; empty if it doesn't
	Latency      time.Duration
	Resends      int
	InPeak       bool
}

const (
	headerRepeatable = "Anvilshunt-Repeatable"
	headerTimeout    = "Anvilshunt-Timeout"
	headerOutcome    = "Anvilshunt-Outcome"
	// graceAfterTimeout is how long the client still waits for an answer after the timeout of a
	// request, so that the system can report the timeout itself.
	graceAfterTimeout = 2 * time.Second
)

// send sends a request once and returns the result of this attempt.
func (g *generator) send(ctx context.Context, r request) Result {
	result := Result{Account: r.account, ID: r.id, InPeak: r.peak}
	// Requests in flight must not be cancelled when the load ends.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.settings.Timeout.Duration()+graceAfterTimeout)
	defer cancel()
	httpRequest, err := g.newHTTPRequest(ctx, r)
	if err != nil {
		result.Outcome, result.Code = NotRun, "bad_address"
		return result
	}
	response, err := g.client.Do(httpRequest)
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
	g.evaluate(&result, r, response, body)
	return result
}

// classifyError returns the outcome and code of a request without an answer. Only a request whose
// connection could not be established has certainly not run.
func classifyError(err error) (Outcome, string) {
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		return NotRun, "unreachable"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Unknown, "no_answer"
	}
	return Unknown, "connection_lost"
}

func (g *generator) newHTTPRequest(ctx context.Context, r request) (*http.Request, error) {
	s := &g.settings
	address := s.Addresses[int(g.nextAddress.Add(1))%len(s.Addresses)]
	url := "http://" + string(address) + "/v1/services/" + string(s.Service) + "/requests"
	if s.Direct {
		url = "http://" + string(address) + "/v1/run"
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(g.bodyOf(r)))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't resend a request by itself after a connection failed. Such
	// a resend could run the request twice, which would be counted as a fault of the system.
	httpRequest.GetBody = nil
	header := httpRequest.Header
	header.Set("Content-Type", "application/octet-stream")
	header.Set(anviltarget.HeaderAccount, string(r.account))
	if r.id != "" {
		header.Set(anviltarget.HeaderRequestID, string(r.id))
	}
	if s.Repeatable != "" {
		header.Set(headerRepeatable, s.Repeatable)
	}
	if s.Direct {
		header.Set(anviltarget.HeaderRemaining, strconv.FormatInt(int64(s.Timeout), 10))
	} else {
		header.Set(headerTimeout, strconv.FormatInt(int64(s.Timeout), 10))
	}
	if s.ServiceTime >= 0 {
		header.Set(anviltarget.HeaderEmuTime, strconv.FormatInt(int64(s.ServiceTime), 10))
	}
	if s.AnswerBytes >= 0 {
		header.Set(anviltarget.HeaderEmuSize, strconv.Itoa(s.AnswerBytes))
	}
	return httpRequest, nil
}

// bodyOf returns the body of a request. It begins with the number of the request, so that an answer
// that echoes the body of another request is detected.
func (g *generator) bodyOf(r request) []byte {
	body := bytes.Clone(g.body)
	copy(body, strconv.FormatInt(r.number, 10)+" ")
	return body
}

// evaluate sets the outcome and code of a result from an answer. If the outcome is Done, it also
// checks that the answer belongs to the request.
func (g *generator) evaluate(result *Result, r request, response *http.Response, body []byte) {
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
		result.Mismatch = g.findMismatch(r, response, body)
	case NotRun, Unknown:
		result.Code = errorCode(response, body)
	default:
		// Instances always set an outcome, so this answer is not from an instance.
		result.Outcome, result.Code = Unknown, fmt.Sprintf("status_%d_without_outcome", response.StatusCode)
	}
}

func errorCode(response *http.Response, body []byte) string {
	var errorBody struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body, &errorBody) != nil || errorBody.Code == "" {
		return fmt.Sprintf("status_%d", response.StatusCode)
	}
	return errorBody.Code
}

// findMismatch returns a description of how an answer differs from the expected answer to the
// request, or an empty string if the answer is as expected.
func (g *generator) findMismatch(r request, response *http.Response, body []byte) string {
	id := anvilid.RequestID(response.Header.Get(anviltarget.HeaderRequestID))
	if r.id != "" && id != r.id {
		return fmt.Sprintf("request %s got the answer to request %q", r.id, id)
	}
	if response.StatusCode != http.StatusOK {
		return ""
	}
	want := g.bodyOf(r)
	if g.settings.AnswerBytes >= 0 {
		want = anviltarget.ExpectedBody(id, g.settings.AnswerBytes)
	}
	if !bytes.Equal(body, want) {
		return fmt.Sprintf("request %d (id %q) got %d bytes that differ from the expected %d bytes",
			r.number, id, len(body), len(want))
	}
	return ""
}
