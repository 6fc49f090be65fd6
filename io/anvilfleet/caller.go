package anvilfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilslot"
	"anvilshunt/core/anvilstate"
)

// Headers of the HTTP protocol between instances and targets.
const (
	HeaderID        = "Anvilshunt-Request-Id"
	HeaderAccount   = "Anvilshunt-Account"
	HeaderEpoch     = "Anvilshunt-Epoch"
	HeaderToken     = "Anvilshunt-Token" //nolint:gosec // a fencing token, not a secret
	HeaderRemaining = "Anvilshunt-Remaining"
	HeaderCode      = "Anvilshunt-Code"
)

// maxReportSize is the maximum size of a target's report in bytes.
const maxReportSize = 1 << 20

const dialTimeout = time.Second

// Errors of sending a request to a target. After errNotSent and errRefused, the
// target has certainly not run the request. After each other error, it may have
// run it.
var (
	errNotSent        = errors.New("the request was not sent to the target")
	errRefused        = errors.New("the target refused the request")
	errAlreadyStarted = errors.New("the target has already started the request under another dispatch")
	errLost           = errors.New("the connection to the target broke before the complete answer arrived")
	errInvalidAnswer  = errors.New("the target's answer is invalid or belongs to another request")
)

// caller makes the HTTP calls to one target during one ownership epoch. A target
// gets a new epoch with each change of its owner.
type caller struct {
	address   anvilid.Address
	epoch     anvilid.Epoch
	transport *http.Transport
}

func newCaller(target anvilstate.Target) *caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &caller{
		address: target.Address, epoch: target.Epoch,
		transport: &http.Transport{
			DialContext:         dialConn(dialer),
			MaxConnsPerHost:     int(anvilslot.MaxOwnerConnections),
			MaxIdleConnsPerHost: int(anvilslot.MaxOwnerConnections),
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
	}
}

func (c *caller) close() { c.transport.CloseIdleConnections() }

func (c *caller) url(path string) string { return "http://" + string(c.address) + path }

// adopt makes the target reject requests of older ownership epochs. It returns a
// report of the target's usage, in which no such request can be missing.
func (c *caller) adopt(ctx context.Context, target anvilstate.Target, owner anvilid.InstanceID) (*anvilreport.Report, error) {
	body, err := json.Marshal(struct {
		Epoch anvilid.Epoch      `json:"epoch"`
		Owner anvilid.InstanceID `json:"owner"`
	}{target.Epoch, owner})
	if err != nil {
		return nil, eris.Wrap(err, "encode the adoption call")
	}
	report := &anvilreport.Report{}
	if err := c.post(ctx, http.MethodPost, "/v1/adopt", body, report); err != nil {
		return nil, err
	}
	if report.Target != target.ID {
		return nil, fmt.Errorf("%w: %s is target %q, not %q", errInvalidAnswer, c.address, report.Target, target.ID)
	}
	return report, report.Check()
}

// post sends a request with a JSON body and decodes the response into reply,
// unless reply is nil. The error wraps ErrUnknownTask or errRefused if the target
// did not carry out the request.
func (c *caller) post(ctx context.Context, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.url(path), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build the call to the target")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return eris.Wrapf(err, "call %s", path)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportSize))
	if err != nil {
		return eris.Wrapf(err, "read the answer to %s", path)
	}
	switch response.Header.Get(HeaderCode) {
	case "unknown_task", "task_ended":
		return fmt.Errorf("%w: %s", ErrUnknownTask, bytes.TrimSpace(data))
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %s answered %d %s", errRefused, path, response.StatusCode, bytes.TrimSpace(data))
	}
	if reply == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, reply), "decode the answer to %s", path)
}

// run sends a request to the target and returns the complete answer. If the
// error is nil, the answer has passed all checks. It calls maySend once a connection
// is open, which can take long, and sends nothing if the result is false.
func (c *caller) run(ctx context.Context, request *anvilrequest.Request, token anvilid.Token, remaining anvilclock.Millis, limit anvilid.ByteCount, maySend func() bool) (anvilrequest.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stopped atomic.Bool
	check := func() bool {
		if maySend() {
			return true
		}
		stopped.Store(true)
		cancel() // or the transport would try another connection
		return false
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected = true
			info.Conn.(*conn).maySend.Store(&check)
		},
	})
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url("/v1/run"), bytes.NewReader(request.Body))
	if err != nil {
		return anvilrequest.Answer{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	tokenText := strconv.FormatUint(uint64(token), 10)
	call.Header[HeaderID] = []string{string(request.ID)}
	call.Header[HeaderAccount] = []string{string(request.Account)}
	call.Header[HeaderEpoch] = []string{strconv.FormatUint(uint64(c.epoch), 10)}
	call.Header[HeaderToken] = []string{tokenText}
	call.Header[HeaderRemaining] = []string{strconv.FormatInt(int64(remaining), 10)}
	for _, pair := range request.Metadata {
		call.Header[pair.Name] = []string{pair.Value}
	}
	if request.ContentType != "" {
		call.Header["Content-Type"] = []string{request.ContentType}
	}
	// The transport is used without an http.Client, because a redirect is an
	// answer for the caller and must not be followed.
	response, err := c.transport.RoundTrip(call)
	if err != nil {
		if !connected || stopped.Load() {
			return anvilrequest.Answer{}, fmt.Errorf("%w: %w", errNotSent, err)
		}
		return anvilrequest.Answer{}, fmt.Errorf("%w: %w", errLost, err)
	}
	// Closing a body that was not read to its end closes the connection, so
	// that no further answer is read from it after an invalid one.
	defer response.Body.Close()
	if err := checkHeaders(response, request.ID, tokenText, limit); err != nil {
		return anvilrequest.Answer{}, err
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return anvilrequest.Answer{}, fmt.Errorf("%w: %w", errLost, err)
	}
	// The transport reuses the connection only after the end of the body has
	// been read.
	_, _ = io.CopyN(io.Discard, response.Body, 1)
	return readAnswer(response, body)
}

func checkHeaders(response *http.Response, id anvilid.RequestID, token string, limit anvilid.ByteCount) error {
	switch {
	case response.Header.Get(HeaderID) != string(id):
		return fmt.Errorf("%w: it has the request id %q", errInvalidAnswer, response.Header.Get(HeaderID))
	case response.Header.Get(HeaderToken) != token:
		return fmt.Errorf("%w: it has the token %q, want %s", errInvalidAnswer, response.Header.Get(HeaderToken), token)
	case response.ContentLength < 0:
		return fmt.Errorf("%w: it has no content length", errInvalidAnswer)
	case response.ContentLength > int64(limit):
		return fmt.Errorf("%w: it has %d bytes, the limit is %d", errInvalidAnswer, response.ContentLength, limit)
	}
	return nil
}

func readAnswer(response *http.Response, body []byte) (anvilrequest.Answer, error) {
	switch code := response.Header.Get(HeaderCode); code {
	case "stale_epoch", "leaving", "full":
		return anvilrequest.Answer{}, fmt.Errorf("%w: %s", errRefused, code)
	case "stale_token":
		return anvilrequest.Answer{}, errAlreadyStarted
	}
	return anvilrequest.Answer{
		Outcome: anvilrequest.Done, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}
