// Package anvilclient is a client of the HTTP interface for operators, and for callers that
// submit jobs.
package anvilclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilhttp"
)

// Errors of the calls of a Client.
var (
	// ErrUnreachable means that every instance failed to answer, or answered with status 503.
	ErrUnreachable = errors.New("no instance can be reached")
	// ErrRefused is wrapped by every error with which an instance answered (Refusal).
	ErrRefused = errors.New("refused")
)

// maxResponseBytes is the number of bytes of an answer that are read at most.
const maxResponseBytes = 256 << 20

// Refusal is an error with which an instance answered a call.
type Refusal struct {
	Status   int                   `json:"-"`
	Code     string                `json:"code"`
	Text     string                `json:"error"`
	Problems []anvilconfig.Problem `json:"problems"`
	Conflict *anvilstate.Conflict  `json:"conflict"`
}

// Error returns the error text from the instance's answer.
func (r *Refusal) Error() string { return r.Text }

// Unwrap makes the error match ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// Client calls instances. It tries them one after another until one gives a definite answer.
type Client struct {
	http      *http.Client
	addresses []anvilid.Address
}

// New returns a client for the instances at the given addresses.
func New(client *http.Client, addresses []anvilid.Address) *Client {
	return &Client{http: client, addresses: addresses}
}

// fallbackDelay is how long the client waits for an answer of one instance before it also asks
// the next one. It is longer than publishing a change takes while a new leader is elected,
// about 1.5 s, and much shorter than the 10 s that commands wait in total.
const fallbackDelay = 2 * time.Second

// callResult is the result of a call to one instance.
type callResult struct {
	answer []byte
	retry  bool // whether the call may succeed on another instance
	err    error
}

// call sends a call to one instance after another until one gives a definite answer. It asks the
// next instance when one fails or doesn't answer within fallbackDelay, and still accepts a late
// answer. Sending a call to several instances is safe, because the calls of this client are
// idempotent: changes and jobs have ids, so that a repeated call takes effect once.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode the request body: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, len(c.addresses))
	timer := time.NewTicker(fallbackDelay)
	defer timer.Stop()
	var lastErr error
	requested, answered := 0, 0
	requestNext := func() {
		if requested < len(c.addresses) {
			target := "http://" + string(c.addresses[requested]) + path
			requested++
			go func() { results <- c.callOne(ctx, method, target, data) }()
		}
	}
	for requestNext(); answered < requested; {
		select {
		case <-timer.C:
			requestNext()
		case result := <-results:
			answered++
			if result.err == nil {
				return json.Unmarshal(result.answer, reply)
			}
			if !result.retry {
				return result.err
			}
			lastErr = result.err
			requestNext()
		}
	}
	return fmt.Errorf("%w at %v: %w", ErrUnreachable, c.addresses, lastErr)
}

func (c *Client) callOne(ctx context.Context, method, target string, data []byte) callResult {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return callResult{retry: true, err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return callResult{retry: true, err: err}
	}
	if response.StatusCode/100 == 2 {
		return callResult{answer: answer}
	}
	refusal := &Refusal{Status: response.StatusCode}
	if json.Unmarshal(answer, refusal) != nil || refusal.Code == "" {
		refusal.Text = fmt.Sprintf("instance answered with HTTP status %d and no error code", response.StatusCode)
	}
	return callResult{retry: response.StatusCode == http.StatusServiceUnavailable, err: refusal}
}

// Config is the current configuration and its revision.
type Config struct {
	Revision anvilid.Revision     `json:"revision"`
	Objects  []anvilconfig.Object `json:"objects"`
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &config)
	return config, err
}

// ApplyResult is the answer to a published change set. Everywhere reports whether all instances
// already use the new revision of the configuration.
type ApplyResult struct {
	Revision   anvilid.Revision `json:"revision"`
	Everywhere bool             `json:"everywhere"`
}

// Apply publishes a change set and waits until all instances use it.
func (c *Client) Apply(ctx context.Context, change anvilconfig.Change) (ApplyResult, error) {
	var applied ApplyResult
	err := c.call(ctx, http.MethodPost, "/v1/config/changes?everywhere=yes", change, &applied)
	return applied, err
}

// Check validates a change set without publishing it.
func (c *Client) Check(ctx context.Context, change anvilconfig.Change) error {
	var reply struct {
		OK bool `json:"ok"`
	}
	return c.call(ctx, http.MethodPost, "/v1/config/check", change, &reply)
}

// History returns the latest published changes.
func (c *Client) History(ctx context.Context) ([]anvilstate.Published, error) {
	var history []anvilstate.Published
	err := c.call(ctx, http.MethodGet, "/v1/config/history", nil, &history)
	return history, err
}

// Burn returns how much of the error budgets of their service-level objectives one service, or
// all services if the name is empty, have spent.
func (c *Client) Burn(ctx context.Context, service anvilid.ServiceName) (anvilburn.Report, error) {
	var report anvilburn.Report
	err := c.call(ctx, http.MethodGet, "/v1/burn?service="+url.QueryEscape(string(service)), nil, &report)
	return report, err
}

// Status returns the status of the first instance that answers.
func (c *Client) Status(ctx context.Context) (anvilhttp.Status, error) {
	var status anvilhttp.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Job describes a job to submit.
type Job struct {
	ID           anvilid.JobID            `json:"id,omitempty"`
	Account      anvilid.AccountID        `json:"account"`
	Service      anvilid.ServiceName      `json:"service"`
	Shape        anvilid.ShapeName        `json:"shape,omitempty"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators,omitempty"`
	Estimate     anvilclock.Millis        `json:"estimate,omitempty"`
	Payload      string                   `json:"payload,omitempty"`
}

// Submit sends a job to an instance with POST /v1/jobs, and returns the job as the system stored it.
// If job.ID is empty, the client chooses an id: if the instances chose it, each instance that the client
// tries would submit another job.
func (c *Client) Submit(ctx context.Context, job Job) (anvilstate.Job, error) {
	var reply anvilstate.Job
	if job.ID == "" {
		job.ID = anvilid.JobID("job-" + rand.Text())
	}
	err := c.call(ctx, http.MethodPost, "/v1/jobs", job, &reply)
	return reply, err
}

// Jobs lists the jobs.
func (c *Client) Jobs(ctx context.Context) ([]anvilstate.Job, error) {
	var jobs []anvilstate.Job
	err := c.call(ctx, http.MethodGet, "/v1/jobs", nil, &jobs)
	return jobs, err
}

// Job returns a job. If the job hasn't ended, Job waits for its end, at most for the time wait.
func (c *Client) Job(ctx context.Context, id anvilid.JobID, wait anvilclock.Millis) (anvilstate.Job, error) {
	var job anvilstate.Job
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/jobs/%s?wait=%d", url.PathEscape(string(id)), wait), nil, &job)
	return job, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id anvilid.JobID) (anvilstate.Job, error) {
	var job anvilstate.Job
	err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil, &job)
	return job, err
}

// Drain drains a target: from then on, no instance sends new work to it.
func (c *Client) Drain(ctx context.Context, id anvilid.TargetID) error {
	var reply struct {
		Draining bool `json:"draining"`
	}
	return c.call(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(string(id))+"/drain", nil, &reply)
}

// Zones lists the zones that have targets or are evacuated.
func (c *Client) Zones(ctx context.Context) ([]anvilstate.ZoneStatus, error) {
	var zones []anvilstate.ZoneStatus
	err := c.call(ctx, http.MethodGet, "/v1/zones", nil, &zones)
	return zones, err
}

// ChangeZone begins the evacuation of a zone, or ends it. It reports whether that is in force on all instances.
func (c *Client) ChangeZone(ctx context.Context, region anvilid.RegionName, zone anvilid.ZoneName, end bool) (everywhere bool, err error) {
	method := http.MethodPost
	if end {
		method = http.MethodDelete
	}
	var reply struct {
		Everywhere bool `json:"everywhere"`
	}
	path := "/v1/zones/" + url.PathEscape(string(region)) + "/" + url.PathEscape(string(zone)) + "/evacuation"
	err = c.call(ctx, method, path, nil, &reply)
	return reply.Everywhere, err
}
