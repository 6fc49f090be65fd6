package anvilhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

// maxJobBytes limits the body of a job submission or of an announcement.
const maxJobBytes = 256 << 10

// jobPollInterval is the interval at which a GET of a job with the query parameter wait=MS checks
// whether the job has ended.
const jobPollInterval = 50 * time.Millisecond

// commandStatuses maps the result codes of commands, which change the replicated state, to HTTP
// statuses. Other codes get status 409.
var commandStatuses = map[string]int{
	"id_reused": http.StatusConflict, "bad_request": http.StatusBadRequest, "overloaded": http.StatusTooManyRequests,
	"unknown_account": http.StatusNotFound, "unknown_service": http.StatusNotFound,
	"unknown_shape": http.StatusNotFound, "unknown_job": http.StatusNotFound,
}

func (s *server) submitJob(c echo.Context) error {
	data, err := readLimited(c, maxJobBytes)
	if err != nil {
		return writeBodyError(c, err)
	}
	var form struct {
		ID           anvilid.JobID            `json:"id"`
		Account      anvilid.AccountID        `json:"account"`
		Service      anvilid.ServiceName      `json:"service"`
		Shape        anvilid.ShapeName        `json:"shape"`
		Accelerators anvilid.AcceleratorCount `json:"accelerators"`
		Estimate     anvilclock.Millis        `json:"estimate"`
		Payload      string                   `json:"payload"`
	}
	if err := decodeStrict(data, &form); err != nil {
		return writeError(c, http.StatusBadRequest, "bad_request", "the job can't be decoded: "+err.Error())
	}
	if form.ID == "" {
		form.ID = anvilid.JobID(s.api.IssueID())
	}
	result, err := s.api.SubmitJob(c.Request().Context(), anvilstate.SubmitJob{
		ID: form.ID, Account: form.Account, Service: form.Service, Shape: form.Shape,
		Accelerators: form.Accelerators, Estimate: form.Estimate, Payload: []byte(form.Payload),
	})
	switch {
	case err != nil:
		return err
	case result.Code != "":
		return writeRefusal(c, result)
	case result.Job != nil && result.Job.State == anvilstate.JobInfeasible:
		return c.JSON(http.StatusUnprocessableEntity, struct {
			errorBody
			Job *anvilstate.Job `json:"job"`
		}{errorBody{Code: "never", Error: result.Job.Detail, Outcome: "not-run"}, result.Job})
	}
	return c.JSON(http.StatusOK, result.Job)
}

// writeRefusal answers a call whose command the control group, which replicates the state, refused.
func writeRefusal(c echo.Context, result anvilstate.Result) error {
	status, ok := commandStatuses[result.Code]
	if !ok {
		status = http.StatusConflict
	}
	return c.JSON(status, errorBody{Code: result.Code, Error: result.Detail, Outcome: "not-run"})
}

func (s *server) listJobs(c echo.Context) error {
	jobs, err := s.api.Jobs(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, jobs)
}

// viewJob answers with a job. With the query parameter wait=MS, it answers as soon as the job has
// ended, but at the latest after MS milliseconds.
func (s *server) viewJob(c echo.Context) error {
	var wait int64
	if text := c.QueryParam("wait"); text != "" {
		var err error
		if wait, err = strconv.ParseInt(text, 10, 64); err != nil || wait < 0 {
			return writeError(c, http.StatusBadRequest, "bad_timeout",
				"wait is "+strconv.Quote(text)+"; expected a number of milliseconds")
		}
	}
	deadline := s.clock.Now() + anvilclock.Millis(wait)
	for {
		job, err := s.api.Job(c.Request().Context(), anvilid.JobID(c.Param("id")))
		if err != nil {
			return err
		}
		if job.State.Final() || s.clock.Now() >= deadline {
			return c.JSON(http.StatusOK, job)
		}
		time.Sleep(jobPollInterval)
	}
}

func (s *server) cancelJob(c echo.Context) error {
	result, err := s.api.CancelJob(c.Request().Context(), anvilid.JobID(c.Param("id")))
	switch {
	case err != nil:
		return err
	case result.Code != "":
		return writeRefusal(c, result)
	}
	return c.JSON(http.StatusOK, result.Job)
}

func (s *server) announce(c echo.Context) error {
	data, err := readLimited(c, maxJobBytes)
	if err != nil {
		return writeBodyError(c, err)
	}
	report := &Report{}
	if err := json.Unmarshal(data, report); err != nil {
		s.api.IgnoreAnnouncement(data, err)
		return writeError(c, http.StatusBadRequest, "bad_request", "the announcement can't be decoded: "+err.Error())
	}
	if err := report.Check(); err != nil {
		s.api.IgnoreAnnouncement(data, err)
		return writeError(c, http.StatusBadRequest, "bad_request", err.Error())
	}
	owner, err := s.api.Announce(c.Request().Context(), report)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Owner anvilid.Address `json:"owner"`
	}{owner})
}
