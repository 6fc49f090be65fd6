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

// service and account are the names of the service and the client account that all measurements use.
const (
	service = "planner"
	account = "agency"
)

const baseConfig = `{"id": "base", "operator": "ada", "base": 0, "set": [
 {"kind": "account", "name": "agency", "spec": {"weight": 3}},
 {"kind": "service", "name": "planner", "spec": {"timeout": 5000, "body": 65536, "repeatable": true}}]}`

// instanceSpec is the location of an instance, and whether it is a voter.
type instanceSpec struct {
	location
	voter bool
}

// deployment returns the deployment that the requirements describe: 8 instances, 5 of them in one
// region and 3 in the other. 3 instances in different zones are voters.
func deployment() []instanceSpec {
	at := func(name, region, zone string, voter bool) instanceSpec {
		return instanceSpec{location{name, anvilid.RegionName(region), anvilid.ZoneName(zone)}, voter}
	}
	return []instanceSpec{
		at("palermo-1", "west", "palermo", true), at("trapani-1", "west", "trapani", true),
		at("catania-1", "east", "catania", true), at("palermo-2", "west", "palermo", false),
		at("palermo-3", "west", "palermo", false), at("trapani-2", "west", "trapani", false),
		at("catania-2", "east", "catania", false), at("catania-3", "east", "catania", false),
	}
}

// instance is an instance that runs in this process, or that is stopped and can be started again.
type instance struct {
	instanceSpec
	settings anvilsettings.Settings
	log      *anvillogs.Tail
	cancel   context.CancelFunc // nil while it is stopped
	ended    chan struct{}      // closed once it has ended
	err      error              // result of Run, valid once ended is closed
}

// system is a set of instances and stand-in targets in this process.
type system struct {
	dir         string
	netSim      *netSim
	instances   []*instance
	targets     []*anviltarget.Target
	proxies     map[*anviltarget.Target]*acceptingProxy // proxies of the targets that have one
	useProxies  bool                                    // start new targets behind an acceptingProxy
	client      *http.Client
	revision    int // base revision of the next new change of a changePublisher
	changeCount int // change sets made by changeBody; makes their ids unique
}

// newSystem starts the instances, waits until all are ready and publishes the
// base configuration.
func newSystem(specs []instanceSpec, netSim *netSim) (*system, error) {
	dir, err := os.MkdirTemp("", "anvilmeasure")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, netSim: netSim, proxies: map[*anviltarget.Target]*acceptingProxy{}, client: &http.Client{
		Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512},
	}}
	var peers []anvilsettings.Peer
	for _, spec := range specs {
		settings := anvilsettings.Defaults()
		settings.Instance, settings.Region, settings.Zone = anvilid.InstanceID(spec.name), spec.region, spec.zone
		var publicErr, peerErr error
		settings.Public, publicErr = anvilport.ReserveAddress()
		settings.Peer, peerErr = anvilport.ReserveAddress()
		if err := errors.Join(publicErr, peerErr); err != nil {
			return nil, err
		}
		if spec.voter {
			settings.DataDir = filepath.Join(dir, spec.name)
		}
		netSim.locations[string(settings.Peer)] = spec.location
		s.instances = append(s.instances, &instance{instanceSpec: spec, settings: settings, log: &anvillogs.Tail{}})
		peers = append(peers, anvilsettings.Peer{Instance: settings.Instance, Address: settings.Peer, Region: spec.region, Voter: spec.voter})
	}
	for _, i := range s.instances {
		i.settings.Peers = peers
		if err := s.start(i); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
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

// publishBase publishes the base configuration. It repeats the configuration change until it is accepted,
// which is safe because the id of the change makes it idempotent.
func (s *system) publishBase() error {
	var failure error
	err := waitUntil("the base configuration is in force", func() bool {
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
	server, err := anvilserver.New(i.settings, anvilserver.WithLog(log), anvilserver.WithDial(s.netSim.dialer(i.location)))
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

// kill stops an instance abruptly: its connections break, and it doesn't notify the other instances.
func (s *system) kill(i *instance) {
	if i.cancel == nil {
		return
	}
	i.cancel()
	s.netSim.breakConnections(i.name)
	<-i.ended
	i.cancel = nil
}

func (s *system) close() {
	s.netSim.setBlocked(nil)
	for _, target := range s.targets {
		target.Close()
	}
	for _, proxy := range s.proxies {
		_ = proxy.server.Close()
	}
	for _, i := range s.instances {
		if i.cancel != nil {
			i.cancel()
			s.netSim.breakConnections(i.name)
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

// ready reports whether an instance passes its readiness check.
func (s *system) ready(i *instance) bool {
	response, err := s.client.Get("http://" + string(i.settings.Public) + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// post sends a JSON body and returns the body of the answer. Any status except 200 is an error.
func (s *system) post(i *instance, path, body string) ([]byte, error) {
	response, err := s.client.Post("http://"+string(i.settings.Public)+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered with status %d: %s", i.name, response.StatusCode, bytes.TrimSpace(data))
	}
	return data, err
}

// leader waits for a leader with a quorum and returns it.
func (s *system) leader() (leader *instance, err error) {
	err = waitUntil("an instance leads", func() bool {
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

// makeLeader moves the leadership to the named voter. It isolates the leader for longer than an
// election timeout, so that another voter is elected. Which one is random, so it retries.
func (s *system) makeLeader(name string) error {
	for range 20 {
		leader, err := s.leader()
		if err != nil || leader.name == name {
			return err
		}
		s.netSim.isolate(leader.name)
		time.Sleep(1200 * time.Millisecond)
		s.netSim.setBlocked(nil)
		if err := s.waitReady(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %s did not become the leader", errNotReached, name)
}

// addTargets starts count targets in each zone and waits until their owners have adopted them all.
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
	return s.waitAdopted()
}

// startTarget starts a target that announces itself to all instances, behind a proxy if useProxies is
// set.
func (s *system) startTarget(settings anviltarget.Settings, client *http.Client) error {
	settings.Service = service
	for _, i := range s.instances {
		settings.Instances = append(settings.Instances, i.settings.Public)
	}
	if s.useProxies {
		proxy, err := startWithProxy(settings)
		if err != nil {
			return err
		}
		s.proxies[proxy.target] = proxy
		s.targets = append(s.targets, proxy.target)
		return nil
	}
	target, err := anviltarget.Start(settings, anviltarget.WithClient(client))
	if err != nil {
		return err
	}
	s.targets = append(s.targets, target)
	return nil
}

// waitAdopted waits until the owners have adopted all targets.
func (s *system) waitAdopted() error {
	running := map[anvilid.TargetID]bool{}
	for _, target := range s.targets {
		running[target.ID()] = true
	}
	return waitUntil("all targets are adopted", func() bool {
		adopted := 0
		for _, i := range s.instances {
			status, err := s.status(i)
			if err != nil {
				return false
			}
			for _, owned := range status.Owned {
				// Don't count targets that have left: they are owned until their lease expires.
				if owned.State == "adopted" && running[owned.Target] {
					adopted++
				}
			}
		}
		return adopted == len(s.targets)
	})
}

// changeBody returns a new change set, as JSON, based on the given revision.
func (s *system) changeBody(base int) string {
	s.changeCount++
	return fmt.Sprintf(`{"id": "c-%d", "operator": "ada", "base": %d, "set": [{"kind": "account", "name": "agency", "spec": {"weight": %d}}]}`,
		s.changeCount, base, 1+s.changeCount%1000)
}
