package anvilmeasure

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilload"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anviltarget"
)

// LeavingOptions are the options of Leaving, which measures for how long a target still gets requests
// after it has announced that it is leaving.
type LeavingOptions struct {
	Trials            int           // targets that leave, for each row of the table
	Targets           int           // targets in each zone
	RequestsPerSecond float64       // through all instances together
	WatchDuration     time.Duration // time for which the requests that reach a leaving target are counted
}

// acceptingProxy is a reverse proxy of a stand-in target. It simulates a target that accepts requests
// until its process ends, although it is leaving, as some implementations may do. A stand-in target
// itself refuses requests while it is leaving, so the proxy answers them in its place.
type acceptingProxy struct {
	server   *http.Server
	target   *anviltarget.Target
	answered atomic.Int64
}

// startWithProxy starts a target behind an acceptingProxy.
func startWithProxy(settings anviltarget.Settings) (*acceptingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	targetAddress, err := anvilport.ReserveAddress()
	if err != nil {
		return nil, err
	}
	settings.Listen, settings.Advertise = targetAddress, anvilid.Address(listener.Addr().String())
	f := &acceptingProxy{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: string(targetAddress)})
	f.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.target == nil || r.URL.Path != "/v1/run" || !f.target.Stats().Leaving {
			proxy.ServeHTTP(w, r)
			return
		}
		f.answered.Add(1)
		w.Header().Set(anviltarget.HeaderRequestID, r.Header.Get(anviltarget.HeaderRequestID))
		w.Header().Set("Anvilshunt-Token", r.Header.Get("Anvilshunt-Token"))
		w.Header().Set("Content-Length", strconv.Itoa(len(proxyAnswer)))
		_, _ = w.Write([]byte(proxyAnswer))
	})}
	if f.target, err = anviltarget.Start(settings); err != nil {
		return nil, err
	}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

const proxyAnswer = "done"

var errNoTarget = errors.New("no instance outside the voters owns a target")

// Leaving measures for how long a target still gets new work (requests) after it has announced that it is
// leaving. It compares an owner of the target that is connected to its peers with one that is cut off
// from them, and targets that refuse work while they are leaving with targets that accept it.
func Leaving(ctx context.Context, o LeavingOptions) (*Table, error) {
	t := &Table{Name: "leaving: time until the last new work reaches a target that leaves", Columns: []string{
		"owner of the target", "target refuses work", "trials", "p50", "max", "requests after it began to leave", "after 2 s",
	}}
	for n := range 4 {
		s, err := newSystem(deployment(), newNetSim(false))
		if err != nil {
			return nil, err
		}
		s.useProxies = n >= 2
		err = s.leavingTrials(ctx, t, o, n%2 == 1)
		s.close()
		if err != nil {
			return nil, err
		}
	}
	t.addNote("%.0f requests per second through all instances; the region of the owner has other targets. Work that the leaving target refuses is counted too.",
		o.RequestsPerSecond)
	return t, nil
}

func (s *system) leavingTrials(ctx context.Context, t *Table, o LeavingOptions, cut bool) error {
	if err := s.makeLeader("palermo-1"); err != nil {
		return err
	}
	loadCtx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	defer func() { stop(); <-ended }()
	if err := s.addTargets("t", o.Targets); err != nil {
		ended <- nil
		return err
	}
	settings := anvilload.Settings{
		Service: service, Shares: []anvilload.Share{{Account: account, Weight: 1}}, Rate: o.RequestsPerSecond, Repeatable: "yes", BodyBytes: 100, AnswerBytes: -1,
		Duration: anvilclock.Hour, ServiceTime: 5, Timeout: anvilclock.Second,
	}
	for _, i := range s.instances {
		settings.Addresses = append(settings.Addresses, i.settings.Public)
	}
	go func() {
		_, err := anvilload.Run(loadCtx, settings)
		ended <- err
	}()
	var delays sample
	lateWork, workAfter2s := 0, 0
	for trial := range o.Trials {
		delay, count, after, err := s.leaveOnce(ctx, cut, o.WatchDuration, trial)
		if err != nil {
			return err
		}
		delays = append(delays, delay)
		lateWork += count
		workAfter2s += after
	}
	name := "connected"
	if cut {
		name = "cut off"
	}
	refuses := "yes"
	if s.useProxies {
		refuses = "no"
	}
	t.addRow(name, refuses, len(delays), delays.quantile(0.5), delays.max(), lateWork, workAfter2s)
	return nil
}

// leaveOnce makes one target leave, counts the requests that it gets from then on, and starts another
// target in its place. It returns the time until the last of these requests, their number, and the
// number of those that came after 2 s.
func (s *system) leaveOnce(ctx context.Context, cut bool, watchDuration time.Duration, trial int) (lastWorkAt time.Duration, lateWork, workAfter2s int, err error) {
	target, owner := s.ownedBy([]string{"trapani-2", "palermo-2", "palermo-3"})
	if target == nil {
		return 0, 0, 0, fmt.Errorf("%w: %s", errNoTarget, s.owners())
	}
	if cut {
		s.netSim.isolate(owner.name)
	}
	began := time.Now()
	target.StartLeaving()
	receivedWork := func() int {
		stats := target.Stats()
		sum := stats.Runs + stats.Refused.Leaving
		if proxy := s.proxies[target]; proxy != nil {
			sum += int(proxy.answered.Load())
		}
		return sum
	}
	first := receivedWork()
	for seen := first; time.Since(began) < watchDuration && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if now := receivedWork(); now > seen {
			lastWorkAt = time.Since(began)
			if lastWorkAt > 2*time.Second {
				workAfter2s += now - seen
			}
			seen = now
		}
	}
	lateWork = receivedWork() - first
	s.netSim.setBlocked(nil)
	target.Close()
	return lastWorkAt, lateWork, workAfter2s, s.replace(target, owner, trial)
}

// owners returns a text that lists the targets and their owners as the first instance knows them, for
// error messages.
func (s *system) owners() string {
	status, err := s.status(s.instances[0])
	if err != nil {
		return err.Error()
	}
	var list []string
	for _, target := range status.Targets {
		list = append(list, fmt.Sprintf("%s owner=%s next=%s leaving=%t", target.ID, target.Owner, target.NextOwner, target.Leaving))
	}
	return strings.Join(list, ", ")
}

// ownedBy returns a target that one of the named instances has adopted, and this instance. Earlier
// names have priority.
func (s *system) ownedBy(names []string) (found *anviltarget.Target, owner *instance) {
	_ = waitUntil("an instance owns a target", func() bool {
		for _, name := range names {
			owner = s.find(name)
			status, err := s.status(owner)
			if err != nil {
				continue
			}
			for _, owned := range status.Owned {
				for _, target := range s.targets {
					if owned.State == "adopted" && target.ID() == owned.Target {
						found = target
						return true
					}
				}
			}
		}
		return false
	})
	return found, owner
}

// replace starts a new target in place of one that has left.
func (s *system) replace(old *anviltarget.Target, owner *instance, trial int) error {
	var kept []*anviltarget.Target
	for _, target := range s.targets {
		if target != old {
			kept = append(kept, target)
		}
	}
	s.targets = kept
	settings := anviltarget.Settings{
		Target: anvilid.TargetID(fmt.Sprintf("new-%d", trial)), Region: owner.region, Zone: owner.zone, Rack: "new",
	}
	if err := s.startTarget(settings, anviltarget.NewClient()); err != nil {
		return err
	}
	if err := s.waitReady(); err != nil {
		return err
	}
	return s.waitAdopted()
}
