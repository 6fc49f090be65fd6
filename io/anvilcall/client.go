// Package anvilcall makes calls with JSON bodies over HTTP, and tells what is certain about each of them: whether it was
// sent, which process has answered, and whether its connection leads to the process that was meant.
package anvilcall

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
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilrows"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
	"anvilshunt/io/anvillogs"
)

const (
	// OrderTimeout bounds one order (a call that starts, stops or throttles a run at
	// a target). It is long enough for a target in another region on a busy link, and so
	// short that a start can be attempted three times within the time in which all tasks
	// of a gang must have started.
	OrderTimeout = 600 * time.Millisecond
	// connectTimeout bounds the time to open a connection to a target.
	connectTimeout = 600 * time.Millisecond
	// maxConnectionsPerTarget allows one connection for polls, which wait at the
	// target, and two for orders, so that an unanswered order doesn't delay the
	// others.
	maxConnectionsPerTarget = 3
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 90 * time.Second
	// bufferSize is the size in bytes of the read and write buffers of a connection. Most calls are short.
	bufferSize = 2048
	// maxResponseBytes bounds a response, above all the lists of runs of one target.
	maxResponseBytes = 4 << 20
)

// Client makes calls to targets and to services of the platform.
type Client struct {
	client *http.Client
	clock  anvilclock.Clock
	log    *anvillogs.Logger
}

// Request describes one call. The body is encoded as JSON; a nil one isn't sent.
type Request struct {
	Method  string
	Address anvilid.Address
	Path    string
	Header  http.Header
	Body    any
}

// Reply is the decoded answer of a target.
type Reply interface {
	// Origin returns what the answer says about the process that has sent it. The status is that of HTTP.
	Origin(status int) Origin
}

// Origin is what an answer says about the process that has sent it.
type Origin struct {
	Clock anvilorder.TargetClock
	// Incarnation is 0 if the answer names none, or comes from another target than the called one.
	Incarnation anvilwork.Incarnation
}

// New returns a client that keeps at most maxIdle unused connections open.
func New(clock anvilclock.Clock, log *anvillogs.Logger, maxIdle int) *Client {
	peers := anvilconn.NewPeers(clock, &net.Dialer{Timeout: connectTimeout})
	return &Client{clock: clock, log: log, client: &http.Client{Transport: &http.Transport{
		DialContext: peers.Dial, MaxConnsPerHost: maxConnectionsPerTarget,
		MaxIdleConnsPerHost: maxConnectionsPerTarget, MaxIdleConns: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true,
		ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}}}
}

// Now returns the time on the client's clock.
func (c *Client) Now() anvilclock.Millis { return c.clock.Now() }

// Order makes one call to a target and returns the HTTP status, or 0 if no answer came. With onlyBound, the call is not
// sent on a connection that isn't certainly to the target's incarnation.
func (c *Client) Order(ctx context.Context, target anvilwork.Target, request Request, reply Reply, onlyBound bool) (anvilorder.Answer, int) {
	answer := anvilorder.Answer{Target: target.ID, Incarnation: target.Incarnation, Sent: c.clock.Now()}
	if onlyBound {
		ctx = anvilconn.WithoutDial(ctx)
	}
	var peer *anvilconn.Peer
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		peer, _ = got.Conn.(*anvilconn.Peer)
		answer.Bound = peer != nil && peer.IsTo(int64(target.Incarnation))
		if onlyBound && !answer.Bound {
			peer.Refuse()
		}
	}})
	request.Address = target.Address
	status, err := c.Do(ctx, request, reply)
	answer.Received = c.clock.Now()
	if errors.Is(err, anvilconn.ErrNewConnection) {
		answer.NotSent, answer.Withheld = true, true
		return answer, 0
	}
	if err != nil {
		answer.NotSent = peer == nil
		answer.Refused = answer.NotSent && errors.Is(err, syscall.ECONNREFUSED)
		answer.Closed = isClosed(err)
		c.log.Write(anvillogs.TargetUnanswered, zap.String("target", string(target.ID)), zap.String("call", request.Path),
			zap.Error(err))
		return answer, 0
	}
	origin := reply.Origin(status)
	answer.Clock, answer.AnsweredBy = origin.Clock, origin.Incarnation
	peer.Answered(int64(answer.AnsweredBy), answer.Sent)
	return answer, status
}

// isClosed reports whether a call failed because the connection was refused or closed by the other machine.
func isClosed(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE}, func(cause error) bool {
		return errors.Is(err, cause)
	})
}

// Do makes one call, decodes the answer into reply and returns the HTTP status. An answer
// that can't be decoded is an error only if its status is 200; with any other status, the
// status alone is used.
func (c *Client) Do(ctx context.Context, call Request, reply any) (int, error) {
	request, err := call.encode(ctx)
	if err != nil {
		return 0, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, err
	}
	if len(content) == 0 {
		return response.StatusCode, nil
	}
	if err := anvilrows.Unmarshal(content, reply); err != nil && response.StatusCode == http.StatusOK {
		return 0, fmt.Errorf("decode the answer to %s: %w", request.URL.Path, err)
	}
	return response.StatusCode, nil
}

// encode returns the call as an HTTP request.
func (r Request) encode(ctx context.Context) (*http.Request, error) {
	var content io.Reader
	if r.Body != nil {
		data, err := json.Marshal(r.Body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+string(r.Address)+r.Path, content)
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		request.Header = r.Header
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
