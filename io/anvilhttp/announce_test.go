package anvilhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilhttp"
)

// TestOddAnnouncement guards against an announcement that can't be used and is processed all the same, or
// that is refused without being counted.
func TestOddAnnouncement(t *testing.T) {
	ignored, processed := 0, 0
	handler := anvilhttp.New(anvilhttp.API{
		IgnoreAnnouncement: func([]byte, error) { ignored++ },
		Announce: func(context.Context, *anvilhttp.Report) (anvilid.Address, error) {
			processed++
			return "127.0.0.1:1", nil
		},
	}, anvilhttp.Limits{BodyBytes: 100, HeaderBytes: 500}, (&anvilclock.Manual{}).Clock())
	valid := `{"target":"t-1","incarnation":17,"address":"127.0.0.1:9001","service":"planner","slots":8,"connections":64}`
	bodies := map[string]int{
		valid: http.StatusOK, strings.Replace(valid, "9001", "99999", 1): http.StatusBadRequest, strings.Replace(valid, ":8,", ":1e300,", 1): http.StatusBadRequest,
		strings.Replace(valid, `"planner"`, strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000), 1): http.StatusBadRequest,
	}
	for body, status := range bodies {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/targets/announce", strings.NewReader(body)))
		assert.Equal(t, recorder.Code, status, "%.100s", body)
	}
	assert.Equal(t, processed, 1)
	assert.Equal(t, ignored, 3)
}
