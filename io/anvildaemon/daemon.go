// Package anvildaemon runs a server process: its listeners, its background tasks, the
// handling of signals, the reloading of its settings, and a graceful shutdown.
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

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilguard"
	"anvilshunt/io/anvillogs"
)

const (
	// reloadInterval is the interval at which the settings are reloaded even without a
	// SIGHUP, because they may change without one.
	reloadInterval = 2 * time.Second
	// shutdownMargin is the part of the grace period (the time between the stop signal and
	// the kill) that is left unused, so that the process ends before it is killed.
	shutdownMargin = 500 * time.Millisecond
	// minShutdownTimeout is the minimum time that calls in progress get to end after the
	// drain duration, even if nothing of the grace period is left.
	minShutdownTimeout = 300 * time.Millisecond
	headerTimeout      = 5 * time.Second
	// maxHeaderBytes is the maximum size of a header. It is twice the limit that configurations name.
	maxHeaderBytes = 32 << 10
	idleTimeout    = time.Minute
)

// Signals contains the channels on which a process receives its signals: SIGTERM and SIGINT on
// Stop, SIGHUP on Hangup. A process must call Notify before anything else, because until then
// a SIGHUP ends it.
type Signals struct {
	Stop   chan os.Signal
	Hangup chan os.Signal
}

// Notify starts to receive the signals of the operating system.
func Notify() Signals {
	s := NoSignals()
	signal.Notify(s.Hangup, syscall.SIGHUP)
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// NoSignals returns Signals that receive nothing from the operating system. Tests send the
// signals themselves.
func NoSignals() Signals {
	return Signals{Stop: make(chan os.Signal, 2), Hangup: make(chan os.Signal, 1)}
}

// Daemon is the running server process of an instance.
type Daemon struct {
	Log       *anvillogs.Logger
	signals   Signals
	logWriter *anvillogs.AsyncWriter
	reload    func() error
	draining  atomic.Bool
	servers   []*http.Server
	failures  chan error
	// guard limits what clients make the process hold, or is nil.
	guard *anvilguard.Guard
	// beforeShutdown is called after a signal to stop, while the listeners and tasks still run, or nil.
	beforeShutdown func(context.Context)
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithGuard limits what others may make the process hold. The function account returns the name of the account of a
// request, or "" for a stranger.
func WithGuard(limits anvilbudget.Limits, account func(*http.Request) string) Option {
	return func(d *Daemon) { d.guard = anvilguard.New(limits, account, anvilguard.LogTo(d.Log, limits)) }
}

// New returns the daemon of an instance. It writes its log to out, and calls reload to read
// the settings again.
func New(instance anvilid.InstanceID, signals Signals, out io.Writer, reload func() error, opts ...Option) (*Daemon, error) {
	logWriter := anvillogs.NewAsyncWriter(out)
	log, err := anvillogs.NewAsync(logWriter, "info")
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Log: log.With(zap.String("instance", string(instance))), signals: signals, logWriter: logWriter, reload: reload,
		failures: make(chan error, 8),
	}
	for _, opt := range opts {
		opt(d)
	}
	watch := &pauseWatch{log: d.Log, read: readInstant()}
	logWriter.OnTick(watch.tick)
	return d, nil
}

// Draining reports whether the process has received the signal to stop.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// BeforeShutdown sets a function that is called after a signal to stop, while the listeners and tasks still run. It must
// return well within the grace period. Call it before Serve.
func (d *Daemon) BeforeShutdown(f func(context.Context)) { d.beforeShutdown = f }

// Fail makes Serve stop the process and return the error.
func (d *Daemon) Fail(err error) { d.failures <- err }

// Listen serves a handler on an address in the background until the process ends. The
// listener is open when Listen returns.
func (d *Daemon) Listen(address anvilid.Address, handler http.Handler) error {
	return d.listen(address, handler, anvilbudget.Stranger)
}

// ListenPeers does the same for calls from other instances, which have connections of their own.
func (d *Daemon) ListenPeers(address anvilid.Address, handler http.Handler) error {
	return d.listen(address, handler, anvilbudget.Peer)
}

func (d *Daemon) listen(address anvilid.Address, handler http.Handler, class anvilbudget.Class) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if d.guard != nil {
		listener = d.guard.Listen(listener, class)
		d.guard.Configure(server)
	}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.failures <- fmt.Errorf("serve %s: %w", address, err)
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

// Serve runs background tasks until the process receives a signal to stop, a task fails, or Fail
// is called. After a signal, the listeners still accept requests for drainDuration, so that the
// load balancer can notice that the instance is draining. Serve then waits for the calls in
// progress, and returns shortly before gracePeriod is over, when the process would be killed.
func (d *Daemon) Serve(drainDuration, gracePeriod time.Duration, tasks ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for _, task := range append(tasks, d.logWriter.Run, d.watchSettings) {
		group.Go(func() {
			if err := task(ctx); err != nil {
				d.failures <- err
			}
		})
	}
	var err error
	select {
	case <-d.signals.Stop:
		signalled := time.Now()
		if d.beforeShutdown != nil {
			d.beforeShutdown(ctx)
		}
		d.shutDown(drainDuration, gracePeriod-time.Since(signalled))
	case err = <-d.failures:
		d.Log.Write(anvillogs.BackgroundTaskFailed, zap.Error(err))
	}
	cancel()
	group.Wait()
	d.Log.WriteLost(anvillogs.LogLinesDropped)
	d.Log.Write(anvillogs.InstanceStopped, zap.Error(err))
	d.logWriter.Flush()
	return err
}

// watchSettings reloads the settings after a SIGHUP and every reloadInterval. It also logs how
// many log lines were dropped or left out since the last time.
func (d *Daemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.signals.Hangup:
		case <-ticker.C:
		}
		d.Log.WriteLost(anvillogs.LogLinesDropped)
		if err := d.reload(); err != nil {
			d.Log.Write(anvillogs.SettingsReloadFailed, zap.Error(err))
		}
	}
}

// shutDown lets the servers accept requests for drainDuration, then closes their listeners and
// waits for the calls in progress. This takes at most gracePeriod - shutdownMargin in total, or
// drainDuration + minShutdownTimeout if that is longer.
func (d *Daemon) shutDown(drainDuration, gracePeriod time.Duration) {
	d.draining.Store(true)
	d.Log.Write(anvillogs.InstanceDraining)
	time.Sleep(drainDuration)
	ctx, cancel := context.WithTimeout(context.Background(),
		max(gracePeriod-drainDuration-shutdownMargin, minShutdownTimeout))
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
