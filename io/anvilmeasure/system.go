package anvilmeasure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anvilserver"
	"anvilshunt/io/anvilsettings"
	"anvilshunt/io/anviltarget"
)

// service and account are the ones that the measurements use.
const (
	service = "planner"
	account = "agency"
)

const baseConfig = `{"id": "base", "operator": "ada", "base": 0, "set": [
 {"kind": "account", "name": "agency", "spec": {"weight": 3}},
 {"kind": "service", "name": "planner", "spec": {"timeout": 5000, "body": 65536, "repeatable": true}}]}`

// layout is an instance before it starts.
type layout struct {
	place
	voter bool
}

// deployment is the one that the page of requirements describes: 8 instances,
// 5 + 3 in two regions, of which 3 in different zones are voters.
func deployment() []layout {
	at := func(name, region, zone string, voter bool) layout {
		return layout{place{name, anvilid.RegionName(region), anvilid.ZoneName(zone)}, voter}
	}
	return []layout{
		at("palermo-1", "west", "palermo", true), at("trapani-1", "west", "trapani", true),
		at("catania-1", "east", "catania", true), at("palermo-2", "west", "palermo", false),
		at("palermo-3", "west", "palermo", false), at("trapani-2", "west", "trapani", false),
		at("catania-2", "east", "catania", false), at("catania-3", "east", "catania", false),
	}
}

// instance is one instance, running or not.
type instance struct {
	layout
	settings anvilsettings.Settings
	log      *anvillogs.Tail
	cancel   context.CancelFunc // nil while it doesn't run
	ended    chan struct{}      // closed once it has ended
	err      error              // why it ended, once ended is closed
}

// system is a set of instances and stand-in targets in this process.
type system struct {
	dir       string
	fabric    *fabric
	instances []*instance
	targets   []*anviltarget.Target
	fronts    map[*anviltarget.Target]*front // of targets that don't refuse work
	fronted   bool                           // new targets get a front
	client    *http.Client
	revision  int
	changes   int
}

// newSystem starts the instances, waits until all are ready and publishes the
// base configuration.
func newSystem(layouts []layout, fabric *fabric) (*system, error) {
	dir, err := os.MkdirTemp("", "anvilmeasure")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, fabric: fabric, fronts: map[*anviltarget.Target]*front{}, client: &http.Client{
		Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512},
	}}
	var peers []anvilsettings.Peer
	for _, l := range layouts {
		settings := anvilsettings.Defaults()
		settings.Instance, settings.Region, settings.Zone = anvilid.InstanceID(l.name), l.region, l.zone
		var publicErr, peerErr error
		settings.Public, publicErr = anvilport.ReserveAddress()
		settings.Peer, peerErr = anvilport.ReserveAddress()
		if err := errors.Join(publicErr, peerErr); err != nil {
			return nil, err
		}
		if l.voter {
			settings.DataDir = filepath.Join(dir, l.name)
		}
		fabric.places[string(settings.Peer)] = l.place
		s.instances = append(s.instances, &instance{layout: l, settings: settings, log: &anvillogs.Tail{}})
		peers = append(peers, anvilsettings.Peer{Instance: settings.Instance, Address: settings.Peer, Region: l.region, Voter: l.voter})
	}
	for _, i := range s.instances {
		i.settings.Peers = peers
		if err := s.start(i); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.settle(); err != nil {
		s.close()
		return nil, err
	}
	if err := s.publishBase(); err != nil {
		s.close()
		return nil, err
	}
	s.revision = 1
	return s, nil
}

// publishBase publishes the base configuration. It is sent again until it is
// accepted: its id makes sure that it takes effect once.
func (s *system) publishBase() error {
	var failure error
	err := eventually("the base configuration is in force", func() bool {
		_, failure = s.post(s.instances[0], "/v1/config/changes?everywhere=yes", baseConfig)
		return failure == nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w\n%s", err, failure, s.logs())
	}
	return nil
}

func (s *system) start(i *instance) error {
	log, err := anvillogs.New(i.log, "info")
	if err != nil {
		return err
	}
	server, err := anvilserver.New(i.settings, anvilserver.WithLog(log), anvilserver.WithDial(s.fabric.dialer(i.place)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel, i.ended = cancel, make(chan struct{})
	go func() {
		defer close(i.ended)
		i.err = server.Run(ctx, make(chan os.Signal))
	}()
	return nil
}

// kill ends an instance without a word to the others.
func (s *system) kill(i *instance) {
	if i.cancel == nil {
		return
	}
	i.cancel()
	s.fabric.kill(i.name)
	<-i.ended
	i.cancel = nil
}

func (s *system) close() {
	s.fabric.hold(nil)
	for _, target := range s.targets {
		target.Close()
	}
	for _, front := range s.fronts {
		_ = front.server.Close()
	}
	for _, i := range s.instances {
		if i.cancel != nil {
			i.cancel()
			s.fabric.kill(i.name)
		}
	}
	for _, i := range s.instances {
		if i.cancel != nil {
			<-i.ended
		}
	}
	s.client.CloseIdleConnections()
	_ = os.RemoveAll(s.dir)
}

func (s *system) find(name string) *instance {
	for _, i := range s.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (s *system) get(i *instance, path string, value any) error {
	response, err := s.client.Get("http://" + string(i.settings.Public) + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}

func (s *system) status(i *instance) (status anvilhttp.Status, err error) {
	return status, s.get(i, "/v1/status", &status)
}

// ready tells whether an instance passes its readiness check.
func (s *system) ready(i *instance) bool {
	response, err := s.client.Get("http://" + string(i.settings.Public) + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// post returns the body of an answer with status 200 and otherwise an error.
func (s *system) post(i *instance, path, body string) ([]byte, error) {
	response, err := s.client.Post("http://"+string(i.settings.Public)+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", i.name, response.StatusCode, bytes.TrimSpace(data))
	}
	return data, err
}

// leader returns the instance that leads.
func (s *system) leader() (leader *instance, err error) {
	err = eventually("an instance leads", func() bool {
		for _, i := range s.instances {
			if !i.voter || i.cancel == nil {
				continue
			}
			status, err := s.status(i)
			if err == nil && status.Voter != nil && status.Voter.IsLeader && status.Voter.HasQuorum {
				leader = i
				return true
			}
		}
		return false
	})
	return leader, err
}

// lead moves the leadership to the named voter. A voter that is frozen for
// longer than an election loses it; which of the others wins is left to
// chance, so this is tried again.
func (s *system) lead(name string) error {
	for range 20 {
		leader, err := s.leader()
		if err != nil || leader.name == name {
			return err
		}
		s.fabric.freeze(leader.name)
		time.Sleep(1200 * time.Millisecond)
		s.fabric.hold(nil)
		if err := s.settle(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %s never led", errNotReached, name)
}

// addTargets starts count targets in each zone and waits until their owners
// have adopted them.
func (s *system) addTargets(prefix string, count int) error {
	zones := map[anvilid.ZoneName]anvilid.RegionName{}
	for _, i := range s.instances {
		zones[i.zone] = i.region
	}
	client := anviltarget.NewClient()
	for zone, region := range zones {
		for n := range count {
			settings := anviltarget.Settings{
				Target: anvilid.TargetID(fmt.Sprintf("%s-%s-%d", prefix, zone, n)),
				Region: region, Zone: zone, Rack: anvilid.RackName(fmt.Sprintf("%s-%d", zone, n/8)),
			}
			if err := s.startTarget(settings, client); err != nil {
				return err
			}
		}
	}
	return s.adopted()
}

// startTarget starts a target that announces itself to all instances.
func (s *system) startTarget(settings anviltarget.Settings, client *http.Client) error {
	settings.Service = service
	for _, i := range s.instances {
		settings.Instances = append(settings.Instances, i.settings.Public)
	}
	if s.fronted {
		front, err := startFronted(settings)
		if err != nil {
			return err
		}
		s.fronts[front.target] = front
		s.targets = append(s.targets, front.target)
		return nil
	}
	target, err := anviltarget.Start(settings, anviltarget.WithClient(client))
	if err != nil {
		return err
	}
	s.targets = append(s.targets, target)
	return nil
}

// adopted waits until all targets are in use by their owners.
func (s *system) adopted() error {
	running := map[anvilid.TargetID]bool{}
	for _, target := range s.targets {
		running[target.ID()] = true
	}
	return eventually("all targets are adopted", func() bool {
		adopted := 0
		for _, i := range s.instances {
			status, err := s.status(i)
			if err != nil {
				return false
			}
			for _, owned := range status.Owned {
				// Targets that have left are owned until their lease lapses.
				if owned.State == "adopted" && running[owned.Target] {
					adopted++
				}
			}
		}
		return adopted == len(s.targets)
	})
}

// changeBody returns the next change set.
func (s *system) changeBody(base int) string {
	s.changes++
	return fmt.Sprintf(`{"id": "c-%d", "operator": "ada", "base": %d, "set": [{"kind": "account", "name": "agency", "spec": {"weight": %d}}]}`,
		s.changes, base, 1+s.changes%1000)
}
