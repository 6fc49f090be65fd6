package anvildaemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/io/anvilport"
)

// runningDaemon is a daemon whose method Serve runs in a goroutine. The channel ended receives the
// result of Serve.
type runningDaemon struct {
	*Daemon
	signals Signals
	ended   chan error
	url     string
}

func start(t *testing.T, handler http.Handler, reload func() error, tasks ...func(context.Context) error) *runningDaemon {
	r := &runningDaemon{signals: NoSignals(), ended: make(chan error, 1)}
	var err error
	r.Daemon, err = New("i", r.signals, io.Discard, reload)
	assert.NilError(t, err)
	address, err := anvilport.ReserveAddress()
	assert.NilError(t, err)
	assert.NilError(t, r.Listen(address, handler))
	r.url = "http://" + string(address)
	go func() { r.ended <- r.Serve(100*time.Millisecond, 3*time.Second, tasks...) }()
	t.Cleanup(func() { _ = r.Close() }) // the listeners may be closed already
	return r
}

func noReload() error { return nil }

// Guards against a graceful shutdown that cuts off an answer, or that refuses calls before
// the load balancer has noticed that the instance is draining.
func TestGracefulEnd(t *testing.T) {
	begun, finish := make(chan struct{}, 2), make(chan struct{})
	r := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-finish
	}), noReload)
	codes := make(chan int, 2)
	get := func() {
		response, err := http.Get(r.url)
		if err != nil {
			codes <- 0
			return
		}
		codes <- response.StatusCode
		_ = response.Body.Close()
	}
	go get()
	<-begun
	r.signals.Stop <- syscall.SIGTERM
	for !r.Draining() {
		time.Sleep(time.Millisecond)
	}
	go get()
	<-begun
	time.Sleep(200 * time.Millisecond) // until the drain duration is over
	close(finish)
	assert.Equal(t, <-codes, http.StatusOK)
	assert.Equal(t, <-codes, http.StatusOK)
	assert.NilError(t, <-r.ended)
	_, err := http.Get(r.url)
	assert.Assert(t, err != nil, "the listener is still open")
}

// Guards against a process that continues although one of its background tasks failed.
func TestFailedDuty(t *testing.T) {
	failure := errors.New("no disk")
	r := start(t, http.NotFoundHandler(), noReload, func(context.Context) error { return failure })
	assert.ErrorIs(t, <-r.ended, failure)
}

// Guards against a process that doesn't reload its settings after a SIGHUP, and against one that
// ends because the settings file became invalid.
func TestReload(t *testing.T) {
	reloads := make(chan struct{}, 10)
	r := start(t, http.NotFoundHandler(), func() error {
		reloads <- struct{}{}
		return errors.New("line 3: not a number")
	})
	for range 2 {
		r.signals.Hangup <- syscall.SIGHUP
		<-reloads
	}
	r.signals.Stop <- syscall.SIGTERM
	assert.NilError(t, <-r.ended)
}
