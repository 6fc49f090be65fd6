package anvilclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// listenWithoutAnswering accepts connections and never answers, like a suspended process.
func listenWithoutAnswering(t *testing.T) anvilid.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return anvilid.Address(listener.Addr().String())
}

func startInstance(t *testing.T, status int, body string, delay time.Duration) anvilid.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return anvilid.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestSilentServer guards against a call that fails or waits until its deadline because the
// first server doesn't answer, although the next server would.
func TestSilentServer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	healthy := startInstance(t, http.StatusOK, `{"revision": 7, "everywhere": true}`, 0)
	client := New(&http.Client{}, []anvilid.Address{listenWithoutAnswering(t), healthy})
	applied, err := client.Apply(ctx, anvilconfig.Change{})
	assert.NilError(t, err)
	assert.Equal(t, applied.Revision, anvilid.Revision(7))
}

// TestSlowServer guards against ignoring the answer of a server that takes longer than
// fallbackDelay, after which the next server is asked too.
func TestSlowServer(t *testing.T) {
	slow := startInstance(t, http.StatusOK, `{"revision": 7}`, fallbackDelay+300*time.Millisecond)
	client := New(&http.Client{}, []anvilid.Address{slow, listenWithoutAnswering(t)})
	config, err := client.Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, config.Revision, anvilid.Revision(7))
}

// TestRefusalEnds guards against asking the next server after a definite refusal, and
// against treating an answer with status 503, which another server may not give, as definite.
func TestRefusalEnds(t *testing.T) {
	busy := startInstance(t, http.StatusServiceUnavailable, `{"code": "control_unavailable", "error": "no lease"}`, 0)
	refusing := startInstance(t, http.StatusConflict, `{"code": "stale_revision", "error": "stale"}`, 0)
	other := startInstance(t, http.StatusOK, `{"revision": 7}`, 0)
	client := New(&http.Client{}, []anvilid.Address{busy, refusing, other})
	_, err := client.Config(t.Context())
	assert.ErrorIs(t, err, ErrRefused)
	assert.Error(t, err, "stale")
}

// TestJobWithoutIDIsSubmittedOnce guards against a job that runs twice: the first server accepts it, but
// its answer is lost, and the second server is asked with another id or none.
func TestJobWithoutIDIsSubmittedOnce(t *testing.T) {
	ids := make(chan string, 2)
	server := func(status int) anvilid.Address {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var job Job
			assert.Check(t, json.NewDecoder(r.Body).Decode(&job))
			ids <- string(job.ID)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(`{}`))
		}))
		t.Cleanup(server.Close)
		return anvilid.Address(strings.TrimPrefix(server.URL, "http://"))
	}
	client := New(&http.Client{}, []anvilid.Address{server(http.StatusServiceUnavailable), server(http.StatusOK)})
	for range 2 {
		_, err := client.Submit(t.Context(), Job{Account: "a"})
		assert.NilError(t, err)
		first, second := <-ids, <-ids
		assert.Assert(t, first != "")
		assert.Equal(t, first, second)
	}
}
