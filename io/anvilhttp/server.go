package anvilhttp

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

type server struct {
	api    API
	limits Limits
	clock  anvilclock.Clock
}

// New returns the handler of the HTTP API.
func New(api API, limits Limits, clock anvilclock.Clock) http.Handler {
	s := &server{api: api, limits: limits, clock: clock}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	e.Use(s.closeIfDraining, s.limitHeaders)
	e.POST("/v1/services/:service/requests", s.runRequest)
	e.POST("/v1/jobs", s.submitJob)
	e.GET("/v1/jobs", s.listJobs)
	e.GET("/v1/jobs/:id", s.viewJob)
	e.DELETE("/v1/jobs/:id", s.cancelJob)
	e.GET("/v1/config", s.viewConfig)
	e.POST("/v1/config/check", s.checkChange)
	e.POST("/v1/config/changes", s.applyChange)
	e.GET("/v1/config/history", s.listHistory)
	e.GET("/v1/burn", s.viewBurn)
	e.GET("/v1/status", s.viewStatus)
	e.GET("/v1/instances", s.listInstances)
	e.GET("/v1/targets", s.listTargets)
	e.POST("/v1/targets/:id/drain", s.drainTarget)
	e.POST("/v1/targets/announce", s.announce)
	e.GET("/v1/zones", s.listZones)
	e.POST("/v1/zones/:region/:zone/evacuation", s.evacuateZone)
	e.DELETE("/v1/zones/:region/:zone/evacuation", s.returnZone)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.viewReadiness)
	e.GET("/debug/vars", s.viewMetrics)
	return e
}

// closeIfDraining makes an instance that is shutting down (draining) close each connection after the
// answer, so that callers send their next request to another instance.
func (s *server) closeIfDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.api.Draining != nil {
			// Check when the answer is written, because the instance may have started to drain since
			// the request arrived.
			c.Response().Before(func() {
				if s.api.Draining() {
					c.Response().Header().Set("Connection", "close")
				}
			})
		}
		return next(c)
	}
}

// errorBody is the body of every error answer.
type errorBody struct {
	Code    string `json:"code"`
	Error   string `json:"error"`
	Outcome string `json:"outcome,omitempty"`
}

func writeError(c echo.Context, status int, code, text string) error {
	return c.JSON(status, errorBody{Code: code, Error: text})
}

// handleError answers a request whose routing or handler failed.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routeErr *echo.HTTPError
	switch {
	case errors.As(err, &routeErr) && routeErr.Code == http.StatusNotFound:
		_ = writeError(c, http.StatusNotFound, "unknown_path", "no such path: "+c.Request().URL.Path+"; see docs/protocol.md")
	case errors.As(err, &routeErr) && routeErr.Code == http.StatusMethodNotAllowed:
		_ = writeError(c, http.StatusMethodNotAllowed, "bad_method",
			c.Request().Method+" is not allowed at "+c.Request().URL.Path)
	case errors.Is(err, ErrNotFound):
		_ = writeError(c, http.StatusNotFound, "not_found", err.Error())
	case errors.Is(err, ErrUnavailable):
		c.Response().Header().Set("Retry-After", "1")
		_ = writeError(c, http.StatusServiceUnavailable, "control_unavailable", err.Error())
	case errors.Is(err, ErrStaleAnnouncement):
		_ = writeError(c, http.StatusConflict, "stale", err.Error())
	default:
		_ = writeError(c, http.StatusInternalServerError, "internal", err.Error())
	}
}

// limitHeaders refuses requests whose header fields are too large in total.
func (s *server) limitHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		size := anvilid.ByteCount(0)
		for name, values := range c.Request().Header {
			for _, value := range values {
				size += anvilid.ByteCount(len(name) + len(value))
			}
		}
		if size > s.limits.HeaderBytes {
			return c.JSON(http.StatusRequestHeaderFieldsTooLarge, errorBody{
				Code:    "headers_too_large",
				Error:   fmt.Sprintf("the header fields have %d bytes; this instance takes at most %d", size, s.limits.HeaderBytes),
				Outcome: "not-run",
			})
		}
		return next(c)
	}
}

func (s *server) viewReadiness(c echo.Context) error {
	if !s.api.Ready() {
		return writeError(c, http.StatusServiceUnavailable, "not_ready", "this instance has no lease or is shutting down")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *server) viewMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	return s.api.Metrics(c.Response())
}
