package anvilhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/io/anvilhttp"
)

// Guards against a request with a too large body or header that still reaches a target, or whose
// refusal lacks the error code or the limit.
func TestOversizeInput(t *testing.T) {
	ran := 0
	handler := anvilhttp.New(anvilhttp.API{
		Service: func(anvilid.ServiceName) *anvilconfig.Service { return nil },
		IssueID: func() anvilid.RequestID { return "gen:i1:1:1" },
		Run: func(*anvilrequest.Request) anvilrequest.Answer {
			ran++
			return anvilrequest.Answer{Outcome: anvilrequest.Done, Status: http.StatusOK}
		},
	}, anvilhttp.Limits{BodyBytes: 100, HeaderBytes: 500}, (&anvilclock.Manual{}).Clock())
	for _, c := range []struct {
		name         string
		header, body int
		status       int
		code         string
	}{
		{"within both limits", 300, 100, http.StatusOK, ""},
		{"body", 10, 101, http.StatusRequestEntityTooLarge, `"code":"body_too_large","error":"the body is too large: it has 101 bytes; this instance takes at most 100"`},
		{"header", 500, 10, http.StatusRequestHeaderFieldsTooLarge, `"code":"headers_too_large"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := ran
			request := httptest.NewRequest(http.MethodPost, "/v1/services/planner/requests", strings.NewReader(strings.Repeat("x", c.body)))
			request.Header.Set("Anvilshunt-Account", "agency")
			request.Header.Set("X-Trace", strings.Repeat("t", c.header))
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, c.status, recorder.Body.String())
			assert.Assert(t, strings.Contains(recorder.Body.String(), c.code), recorder.Body.String())
			assert.Equal(t, ran-before, map[bool]int{true: 1, false: 0}[c.status == http.StatusOK])
		})
	}
}
