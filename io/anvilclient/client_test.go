package anvilclient

import (
	"context"
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

// silent accepts connections and never answers, as a frozen process does.
func silent(t *testing.T) anvilid.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return anvilid.Address(listener.Addr().String())
}

func instance(t *testing.T, status int, body string, pause time.Duration) anvilid.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(pause)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return anvilid.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestSilentServer guards against a command that stays with a server that
// doesn't answer while the next one would.
func TestSilentServer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	healthy := instance(t, http.StatusOK, `{"revision": 7, "everywhere": true}`, 0)
	client := New(&http.Client{}, []anvilid.Address{silent(t), healthy})
	applied, err := client.Apply(ctx, anvilconfig.Change{})
	assert.NilError(t, err)
	assert.Equal(t, applied.Revision, anvilid.Revision(7))
}

// TestSlowServer guards against giving up a server that needs longer than the
// pause after which the next one is asked too.
func TestSlowServer(t *testing.T) {
	slow := instance(t, http.StatusOK, `{"revision": 7}`, nextAfter+300*time.Millisecond)
	client := New(&http.Client{}, []anvilid.Address{slow, silent(t)})
	config, err := client.Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, config.Revision, anvilid.Revision(7))
}

// TestRefusalEnds guards against asking the next server after a definite
// refusal, and against taking "unavailable" for one.
func TestRefusalEnds(t *testing.T) {
	busy := instance(t, http.StatusServiceUnavailable, `{"code": "control_unavailable", "error": "no lease"}`, 0)
	refusing := instance(t, http.StatusConflict, `{"code": "stale_revision", "error": "stale"}`, 0)
	other := instance(t, http.StatusOK, `{"revision": 7}`, 0)
	client := New(&http.Client{}, []anvilid.Address{busy, refusing, other})
	_, err := client.Config(t.Context())
	assert.ErrorIs(t, err, ErrRefused)
	assert.Error(t, err, "stale")
}
