// Package anvilclient is a client of the HTTP interface for operators and
// for callers of long jobs.
package anvilclient

import (
	"bytes"
	"context"
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

// Errors of calls.
var (
	// ErrUnreachable reports that no instance answered.
	ErrUnreachable = errors.New("no instance can be reached")
	// ErrRefused is wrapped by every error that an instance answered with.
	ErrRefused = errors.New("refused")
)

// maxAnswer bounds what is read of an answer.
const maxAnswer = 256 << 20

// Refusal is the error that an instance answered with.
type Refusal struct {
	Status   int                   `json:"-"`
	Code     string                `json:"code"`
	Text     string                `json:"error"`
	Problems []anvilconfig.Problem `json:"problems"`
	Conflict *anvilstate.Conflict  `json:"conflict"`
}

// Error returns the text that the instance gave.
func (r *Refusal) Error() string { return r.Text }

// Unwrap makes the error match ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// Client talks to the instances in turn until one answers.
type Client struct {
	http      *http.Client
	addresses []anvilid.Address
}

// New returns a client of the instances at the given addresses.
func New(client *http.Client, addresses []anvilid.Address) *Client {
	return &Client{http: client, addresses: addresses}
}

// nextAfter is how long a server may stay silent before the next one is asked
// too. Commands wait up to 10 s, and a change while the leader is lost takes
// about 1.5 s.
const nextAfter = 2 * time.Second

// outcome is what one server made of a call.
type outcome struct {
	answer []byte
	retry  bool // another server may do better
	err    error
}

// call makes one call. It asks the next server when one fails or stays silent,
// without giving up the silent one: all calls of this client may be repeated,
// and changes carry ids, so that a repeated one takes effect once.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode the call: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, len(c.addresses))
	timer := time.NewTicker(nextAfter)
	defer timer.Stop()
	var last error
	asked, answered := 0, 0
	ask := func() {
		if asked < len(c.addresses) {
			target := "http://" + string(c.addresses[asked]) + path
			asked++
			go func() { outcomes <- c.once(ctx, method, target, data) }()
		}
	}
	for ask(); answered < asked; {
		select {
		case <-timer.C:
			ask()
		case o := <-outcomes:
			answered++
			if o.err == nil {
				return json.Unmarshal(o.answer, reply)
			}
			if !o.retry {
				return o.err
			}
			last = o.err
			ask()
		}
	}
	return fmt.Errorf("%w at %v: %w", ErrUnreachable, c.addresses, last)
}

func (c *Client) once(ctx context.Context, method, target string, data []byte) outcome {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return outcome{retry: true, err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return outcome{retry: true, err: err}
	}
	if response.StatusCode/100 == 2 {
		return outcome{answer: answer}
	}
	refusal := &Refusal{Status: response.StatusCode}
	if json.Unmarshal(answer, refusal) != nil || refusal.Code == "" {
		refusal.Text = fmt.Sprintf("status %d", response.StatusCode)
	}
	return outcome{retry: response.StatusCode == http.StatusServiceUnavailable, err: refusal}
}

// Config is the configuration in force.
type Config struct {
	Revision anvilid.Revision     `json:"revision"`
	Objects  []anvilconfig.Object `json:"objects"`
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &config)
	return config, err
}

// ApplyResult is the answer to a published change.
type ApplyResult struct {
	Revision   anvilid.Revision `json:"revision"`
	Everywhere bool             `json:"everywhere"`
}

// Apply publishes a change set and waits until it is in force everywhere.
func (c *Client) Apply(ctx context.Context, change anvilconfig.Change) (ApplyResult, error) {
	var applied ApplyResult
	err := c.call(ctx, http.MethodPost, "/v1/config/changes?everywhere=yes", change, &applied)
	return applied, err
}

// Check checks a change set without publishing it.
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

// Burn reports on the service-level objectives of all services or of one.
func (c *Client) Burn(ctx context.Context, service anvilid.ServiceName) (anvilburn.Report, error) {
	var report anvilburn.Report
	err := c.call(ctx, http.MethodGet, "/v1/burn?service="+url.QueryEscape(string(service)), nil, &report)
	return report, err
}

// Status returns what an instance knows.
func (c *Client) Status(ctx context.Context) (anvilhttp.Status, error) {
	var status anvilhttp.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Job is a job to submit.
type Job struct {
	ID           anvilid.JobID            `json:"id,omitempty"`
	Account      anvilid.AccountID        `json:"account"`
	Service      anvilid.ServiceName      `json:"service"`
	Shape        anvilid.ShapeName        `json:"shape,omitempty"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators,omitempty"`
	Estimate     anvilclock.Millis        `json:"estimate,omitempty"`
	Payload      string                   `json:"payload,omitempty"`
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, job Job) (anvilstate.Job, error) {
	var reply anvilstate.Job
	err := c.call(ctx, http.MethodPost, "/v1/jobs", job, &reply)
	return reply, err
}

// Jobs lists the jobs.
func (c *Client) Jobs(ctx context.Context) ([]anvilstate.Job, error) {
	var jobs []anvilstate.Job
	err := c.call(ctx, http.MethodGet, "/v1/jobs", nil, &jobs)
	return jobs, err
}

// Job returns a job. It waits for its end for up to the given time.
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

// Drain stops new work to a target.
func (c *Client) Drain(ctx context.Context, id anvilid.TargetID) error {
	var reply struct {
		Draining bool `json:"draining"`
	}
	return c.call(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(string(id))+"/drain", nil, &reply)
}
