package anvilmeasure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilsettings"
)

// Guards against measurements that fail because the measured programs have changed, and against tables
// whose rows don't have as many values as columns. The test runs each measurement with small values.
func TestVerbsRun(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "anvilshunt/cmd/anvilshunt", "anvilshunt/cmd/anvilemu").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, args := range [][]string{
		{"change", "--rate", "10", "--span", "300ms", "--period", "200ms"},
		{"leader", "--trials", "1"},
		{"restart", "--claims", "100", "--callers", "10", "--repeats", "1"},
		{"link", "--idle", "100ms", "--count", "3", "--targets", "1"},
		{"once", "--span", "50ms", "--repeats", "1", "--targets", "1"},
		{"overhead", "--bin", bin, "--span", "50ms", "--repeats", "1", "--targets", "1"},
		{"leaving", "--trials", "1", "--targets", "3", "--rate", "50", "--watch", "100ms"},
		{"place", "--targets", "24", "--span", "3s", "--seeds", "1"},
		{"neighbours", "--targets", "12", "--span", "3s", "--seeds", "1"},
		{"capacity", "--span", "50ms", "--instances", "3", "--targets", "1", "--changes", "2", "--claims", "50", "--states", "20"},
	} {
		t.Run(args[0], func(t *testing.T) {
			t.Parallel()
			var out, failures bytes.Buffer
			code := Main(context.Background(), Streams{Out: &out, Err: &failures}, append(args, "--json"))
			assert.Equal(t, code, ExitOK, failures.String())
			var table Table
			assert.NilError(t, json.Unmarshal(out.Bytes(), &table))
			assert.Assert(t, len(table.Rows) > 0)
			for _, row := range table.Rows {
				assert.Equal(t, len(row), len(table.Columns), "%q", row)
			}
			out.Reset()
			assert.NilError(t, table.Write(&out))
		})
	}
}

// Guards against a command line that accepts unknown measurements or flags, or none at all.
func TestUnknownVerb(t *testing.T) {
	var out bytes.Buffer
	for _, args := range [][]string{{}, {"speed"}, {"change", "--speed", "1"}} {
		assert.Assert(t, Main(context.Background(), Streams{Out: &out, Err: &out}, args) != ExitOK)
	}
}

// Guards against percentiles that ignore the largest values of a small sample.
func TestQuantile(t *testing.T) {
	s := sample{3, 1, 2, 4}
	for fraction, want := range map[float64]time.Duration{0.25: 1, 0.5: 2, 0.99: 4, 1: 4} {
		assert.Equal(t, s.quantile(fraction), want)
	}
	assert.Equal(t, sample{}.max(), time.Duration(0))
}

// Guards against a simulated network that loses bytes, or that delivers bytes to or from an isolated
// instance before the isolation ends.
func TestNetSimBlocksIsolatedInstance(t *testing.T) {
	f := newNetSim(false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	f.locations[l.Addr().String()] = location{"b", "east", "catania"}
	conn, err := f.dialer(location{"a", "west", "palermo"})(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	peer, err := l.Accept()
	assert.NilError(t, err)
	defer peer.Close()
	f.isolate("b")
	_, err = conn.Write([]byte("held"))
	assert.NilError(t, err)
	_, err = peer.Write([]byte("back"))
	assert.NilError(t, err)
	// The wait is ten times the network delay, so that bytes that are not blocked would arrive.
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(10*regionDelay)))
	n, _ := peer.Read(make([]byte, 8))
	assert.Equal(t, n, 0, "the peer received bytes while it was isolated")
	f.setBlocked(nil)
	assert.NilError(t, peer.SetReadDeadline(time.Time{}))
	for _, end := range []net.Conn{peer, conn} {
		buffer := make([]byte, 8)
		n, err := end.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, n, 4)
	}
	f.breakConnections("a")
	_, err = conn.Read(make([]byte, 8))
	assert.ErrorIs(t, err, errKilled)
	assert.Equal(t, f.bytesOf("a"), int64(8))
}

// BenchmarkRoundTrip measures a round trip over the simulated network. It takes longer than the
// configured delays because of the timers of the Go runtime.
func BenchmarkRoundTrip(b *testing.B) {
	for name, to := range map[string]location{"zone": {"b", "west", "trapani"}, "region": {"b", "east", "catania"}} {
		b.Run(name, func(b *testing.B) {
			f := newNetSim(false)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			defer l.Close()
			f.locations[l.Addr().String()] = to
			conn, err := f.dialer(location{"a", "west", "palermo"})(context.Background(), "tcp", l.Addr().String())
			assert.NilError(b, err)
			defer conn.Close()
			peer, err := l.Accept()
			assert.NilError(b, err)
			defer peer.Close()
			go func() { _, _ = io.Copy(peer, peer) }()
			buffer := make([]byte, 8)
			for b.Loop() {
				_, err := conn.Write(buffer)
				assert.NilError(b, err)
				_, err = conn.Read(buffer)
				assert.NilError(b, err)
			}
		})
	}
}

// Guards against a measurement that, until its timeout, sends changes based on a revision that is never
// reached, because the change that should have led to it has failed. The server of the test refuses the
// first change.
func TestFailedChangeBlocksNoOthers(t *testing.T) {
	var mu sync.Mutex
	revision, refused := 1, false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		var change struct{ Base int }
		if r.Method == http.MethodPost {
			assert.Check(t, json.NewDecoder(r.Body).Decode(&change))
		}
		switch {
		case r.Method == http.MethodGet:
		case !refused:
			refused = true
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case change.Base != revision:
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, "stale_revision")
			return
		default:
			revision++
		}
		_, _ = fmt.Fprintf(w, `{"revision": %d, "everywhere": true}`, revision)
	}))
	defer server.Close()
	at := &instance{settings: anvilsettings.Settings{Public: anvilid.Address(server.Listener.Addr().String())}}
	publisher := newChangePublisher(&system{client: server.Client(), revision: revision}, at)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	publisher.run(ctx, 100, 50*time.Millisecond)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(publisher.failures), 1)
	assert.Equal(t, revision, 1+len(publisher.latencies))
}
