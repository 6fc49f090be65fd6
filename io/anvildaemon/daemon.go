// Package anvildaemon is the life of a process whose settings may change while
// it runs: its listeners, duties and signals, and a graceful end.
package anvildaemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
)

const (
	// reloadInterval is how often the settings are read again. They may change
	// without a signal.
	reloadInterval = 2 * time.Second
	// endMargin is kept from the time until the kill.
	endMargin = 500 * time.Millisecond
	// shortestDrain bounds the end of calls where the grace leaves no time.
	shortestDrain = 300 * time.Millisecond
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// Signals are the signals of a process. They are asked for first of all: until
// then, a SIGHUP ends it.
type Signals struct {
	Stop   chan os.Signal
	Hangup chan os.Signal
}

// Notify asks for the signals.
func Notify() Signals {
	s := NoSignals()
	signal.Notify(s.Hangup, syscall.SIGHUP)
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// NoSignals returns signals that only the program itself sends, for tests.
func NoSignals() Signals {
	return Signals{Stop: make(chan os.Signal, 2), Hangup: make(chan os.Signal, 1)}
}

// Daemon is one running process.
type Daemon struct {
	Log      *anvillogs.Logger
	signals  Signals
	ring     *anvillogs.AsyncWriter
	reload   func() error
	draining atomic.Bool
	servers  []*http.Server
	failed   chan error
}

// New returns the daemon of an instance. Reload reads the settings again.
func New(instance anvilid.InstanceID, signals Signals, out io.Writer, reload func() error) (*Daemon, error) {
	ring := anvillogs.NewAsyncWriter(out)
	log, err := anvillogs.NewAsync(ring, "info")
	if err != nil {
		return nil, err
	}
	return &Daemon{
		Log: log.With(zap.String("instance", string(instance))), signals: signals, ring: ring, reload: reload,
		failed: make(chan error, 8),
	}, nil
}

// Draining reports whether the process was asked to end.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Fail ends the process with an error.
func (d *Daemon) Fail(err error) { d.failed <- err }

// Listen serves a handler until the end. The address is taken before it
// returns.
func (d *Daemon) Listen(address anvilid.Address, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- fmt.Errorf("serve %s: %w", address, err)
		}
	}()
	return nil
}

// Close closes all listeners and connections at once.
func (d *Daemon) Close() error {
	var errs []error
	for _, server := range d.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// Serve runs duties until a signal ends the process or one of them fails. On a
// signal it takes requests for the span of drain, and ends within the grace.
func (d *Daemon) Serve(drain, grace time.Duration, duties ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for _, duty := range append(duties, d.ring.Run, d.watch) {
		group.Go(func() {
			if err := duty(ctx); err != nil {
				d.failed <- err
			}
		})
	}
	var err error
	select {
	case <-d.signals.Stop:
		d.shutDown(drain, grace)
	case err = <-d.failed:
		d.Log.Write(anvillogs.BackgroundTaskFailed, zap.Error(err))
	}
	cancel()
	group.Wait()
	d.Log.Write(anvillogs.InstanceStopped, zap.Error(err))
	d.ring.Flush()
	return err
}

// watch reads the settings again when asked to, and from time to time.
func (d *Daemon) watch(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.signals.Hangup:
		case <-ticker.C:
		}
		if dropped, folded := d.ring.TakeLossCounts(); dropped > 0 || folded > 0 {
			d.Log.Write(anvillogs.LogLinesDropped, zap.Int64("dropped", dropped), zap.Int64("folded", folded))
		}
		if err := d.reload(); err != nil {
			d.Log.Write(anvillogs.SettingsReloadFailed, zap.Error(err))
		}
	}
}

// shutDown takes requests for the span, then ends all servers.
func (d *Daemon) shutDown(span, grace time.Duration) {
	d.draining.Store(true)
	d.Log.Write(anvillogs.InstanceDraining)
	time.Sleep(span)
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-span-endMargin, shortestDrain))
	defer cancel()
	var group sync.WaitGroup
	for _, server := range d.servers {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				d.Log.Write(anvillogs.LibraryMessage, zap.Error(err))
			}
		})
	}
	group.Wait()
}
