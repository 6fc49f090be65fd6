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

// LeavingOptions are the options of Leaving.
type LeavingOptions struct {
	Trials  int
	Targets int     // in each zone
	Rate    float64 // requests a second over all instances
	Watch   time.Duration
}

// front stands before a stand-in target and, while the target leaves, answers
// work in its place. Targets outside of this project may accept work until they
// are gone, whereas the stand-in refuses it.
type front struct {
	server *http.Server
	target *anviltarget.Target
	runs   atomic.Int64
}

// startFronted starts a target behind a front.
func startFronted(settings anviltarget.Settings) (*front, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	inner, err := anvilport.ReserveAddress()
	if err != nil {
		return nil, err
	}
	settings.Listen, settings.Advertise = inner, anvilid.Address(listener.Addr().String())
	f := &front{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: string(inner)})
	f.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.target == nil || r.URL.Path != "/v1/run" || !f.target.Stats().Leaving {
			proxy.ServeHTTP(w, r)
			return
		}
		f.runs.Add(1)
		w.Header().Set(anviltarget.HeaderRequestID, r.Header.Get(anviltarget.HeaderRequestID))
		w.Header().Set("Anvilshunt-Token", r.Header.Get("Anvilshunt-Token"))
		w.Header().Set("Content-Length", strconv.Itoa(len(frontAnswer)))
		_, _ = w.Write([]byte(frontAnswer))
	})}
	if f.target, err = anviltarget.Start(settings); err != nil {
		return nil, err
	}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

const frontAnswer = "done"

var errNoTarget = errors.New("no instance outside of the voters owns a target")

// Leaving measures how long new work reaches a target after it has begun to
// leave, while the owner of the target is cut off from its peers.
func Leaving(ctx context.Context, o LeavingOptions) (*Table, error) {
	t := &Table{Name: "leaving: time until the last new work reaches a target that leaves", Columns: []string{
		"owner of the target", "target refuses work", "trials", "p50", "max", "requests after it began to leave", "after 2 s",
	}}
	for n := range 4 {
		s, err := newSystem(deployment(), newFabric(false))
		if err != nil {
			return nil, err
		}
		s.fronted = n >= 2
		err = s.leavingTrials(ctx, t, o, n%2 == 1)
		s.close()
		if err != nil {
			return nil, err
		}
	}
	t.note("%.0f requests a second through all instances; the owner's own region has other targets. Work that the leaving target refuses counts.", o.Rate)
	return t, nil
}

func (s *system) leavingTrials(ctx context.Context, t *Table, o LeavingOptions, cut bool) error {
	if err := s.lead("palermo-1"); err != nil {
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
		Service: service, Shares: []anvilload.Share{{Account: account, Weight: 1}}, Rate: o.Rate, Repeatable: "yes", BodyBytes: 100, AnswerBytes: -1,
		Duration: anvilclock.Hour, ServiceTime: 5, Timeout: anvilclock.Second,
	}
	for _, i := range s.instances {
		settings.Addresses = append(settings.Addresses, i.settings.Public)
	}
	go func() {
		_, err := anvilload.Run(loadCtx, settings)
		ended <- err
	}()
	var spans sample
	late, beyond := 0, 0
	for trial := range o.Trials {
		span, count, after, err := s.leaveOnce(ctx, cut, o.Watch, trial)
		if err != nil {
			return err
		}
		spans = append(spans, span)
		late += count
		beyond += after
	}
	name := "connected"
	if cut {
		name = "cut off"
	}
	refuses := "yes"
	if s.fronted {
		refuses = "no"
	}
	t.row(name, refuses, len(spans), spans.quantile(0.5), spans.max(), late, beyond)
	return nil
}

// leaveOnce lets one target of an instance leave and starts another one in its
// place.
func (s *system) leaveOnce(ctx context.Context, cut bool, watch time.Duration, trial int) (last time.Duration, late, beyond int, err error) {
	target, owner := s.ownedBy([]string{"trapani-2", "palermo-2", "palermo-3"})
	if target == nil {
		return 0, 0, 0, fmt.Errorf("%w: %s", errNoTarget, s.owners())
	}
	if cut {
		s.fabric.freeze(owner.name)
	}
	began := time.Now()
	target.StartLeaving()
	reached := func() int {
		stats := target.Stats()
		sum := stats.Runs + stats.Refused.Leaving
		if front := s.fronts[target]; front != nil {
			sum += int(front.runs.Load())
		}
		return sum
	}
	first := reached()
	for seen := first; time.Since(began) < watch && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if now := reached(); now > seen {
			last = time.Since(began)
			if last > 2*time.Second {
				beyond += now - seen
			}
			seen = now
		}
	}
	late = reached() - first
	s.fabric.hold(nil)
	target.Close()
	return last, late, beyond, s.replace(target, owner, trial)
}

// owners lists the targets and their owners as the first instance sees them.
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

// ownedBy returns a target that the first of the named instances that has one
// has adopted.
func (s *system) ownedBy(names []string) (found *anviltarget.Target, owner *instance) {
	_ = eventually("an instance owns a target", func() bool {
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

// replace starts a target in the place of one that has left.
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
	if err := s.settle(); err != nil {
		return err
	}
	return s.adopted()
}
