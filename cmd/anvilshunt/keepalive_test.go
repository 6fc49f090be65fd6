//go:build linux

package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"anvilshunt/io/anviltarget"
)

// keepAliveConnection is a caller that sends all its requests on one connection, to the same
// instance.
type keepAliveConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and returns its outcome, and whether the answer announces that the instance
// closes the connection. The outcome is outcomeLost if no complete answer arrived.
func (k *keepAliveConnection) send(r request) (outcome string, closing bool) {
	call, err := http.NewRequest(http.MethodPost, "http://instance/v1/services/planner/requests", strings.NewReader(r.body))
	if err != nil {
		return outcomeLost, true
	}
	for name, value := range map[string]string{
		"Anvilshunt-Account": "agency", "Anvilshunt-Request-Id": r.id, "Anvilshunt-Repeatable": r.repeatable,
		"Anvilshunt-Timeout": r.timeout, "X-Emu-Time": r.work,
	} {
		call.Header.Set(name, value)
	}
	if err := call.Write(k.conn); err != nil {
		return outcomeLost, true
	}
	response, err := http.ReadResponse(k.reader, call)
	if err != nil {
		return outcomeLost, true
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return outcomeLost, true
	}
	return response.Header.Get("Anvilshunt-Outcome"), response.Close
}

// Guards against a graceful shutdown that answers the requests in flight, but loses the requests
// that callers send afterwards on their keep-alive connections. These later requests must get the
// outcome "not-run".
func TestTerminateKeptConnections(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	leader, _ := s.leader()
	name := s.others(leader)[0]
	const callers = 40
	first, second := make(chan string, callers), make(chan string, callers)
	for i := range callers {
		conn, err := net.Dial("tcp", string(s.processes[name].settings.Public))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		k := &keepAliveConnection{conn, bufio.NewReader(conn)}
		go func() {
			r := request{id: fmt.Sprint("kept-", i), repeatable: "no", work: "600", timeout: "30000", body: "kept"}
			outcome, closed := k.send(r)
			first <- outcome
			if closed {
				second <- "not-run"
				return
			}
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			r.id, r.work = fmt.Sprint("next-", i), "1"
			outcome, _ = k.send(r)
			second <- outcome
		}()
	}
	s.eventually("all requests are admitted", func() bool {
		status, ok := s.status(name)
		return ok && status.Admitted == callers
	})
	s.signal(name, syscall.SIGTERM)
	for range callers {
		assert.Check(t, cmp.Equal(<-first, "done"))
		assert.Check(t, cmp.Equal(<-second, "not-run"))
	}
	assert.Equal(t, s.waitExit(name), 0)
}
