package anvilserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvilfault"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anvilserver"
	"anvilshunt/io/anvilsettings"
	"anvilshunt/io/anviltarget"
)

// conditionTimeout limits the wait for a condition of a test. It is far longer than any condition
// needs, so that a busy machine does not fail a test.
const conditionTimeout = 60 * time.Second

var errPartitioned = errors.New("the network is partitioned")

// system is a set of instances and emulated targets that run in the test process.
type system struct {
	t         testing.TB
	dir       string
	instances map[string]*instance
	order     []string
	targets   map[string]*anviltarget.Target
	client    *http.Client
	base      anvilsettings.Settings
	syncTime  atomic.Int64 // additional time that each disk sync of a voter takes, in nanoseconds
}

// instance is one run of a Server, with the network through which the test can partition it from the
// other instances.
type instance struct {
	settings anvilsettings.Settings
	log      anvillogs.Tail
	server   *anvilserver.Server
	signals  chan os.Signal
	cancel   context.CancelFunc
	ended    chan error
	network  *network
}

// network contains the connections between one instance and the other instances. A test can break
// them.
type network struct {
	mu          sync.Mutex
	open        map[net.Conn]bool
	partitioned atomic.Bool
	dialer      net.Dialer
	// blocked is an address that this instance cannot reach.
	blocked atomic.Value
}

// block makes one address unreachable and closes the open connections.
func (n *network) block(address anvilid.Address) {
	n.blocked.Store(string(address))
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.open {
		_ = conn.Close()
	}
}

func (n *network) dial(ctx context.Context, kind, address string) (net.Conn, error) {
	if blocked, _ := n.blocked.Load().(string); n.partitioned.Load() || blocked == address {
		return nil, errPartitioned
	}
	conn, err := n.dialer.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	return n.track(conn), nil
}

func (n *network) track(conn net.Conn) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[conn] = true
	return &tracked{Conn: conn, network: n}
}

func (n *network) setPartitioned(partitioned bool) {
	n.partitioned.Store(partitioned)
	if !partitioned {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.open {
		_ = conn.Close()
	}
}

type tracked struct {
	net.Conn
	network *network
}

func (c *tracked) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.open, c.Conn)
	return c.Conn.Close()
}

// listener refuses connections from other instances while the network is partitioned.
type listener struct {
	net.Listener
	network *network
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.network.partitioned.Load() {
			return l.network.track(conn), nil
		}
		_ = conn.Close()
	}
}

func newSystem(t testing.TB) *system {
	t.Helper()
	s := &system{
		t: t, dir: t.TempDir(), instances: map[string]*instance{}, targets: map[string]*anviltarget.Target{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		base:   anvilsettings.Defaults(),
	}
	t.Cleanup(s.close)
	return s
}

func (s *system) close() {
	for _, target := range s.targets {
		target.Close()
	}
	for _, name := range s.order {
		s.kill(name)
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, &s.instances[name].log)
		}
	}
}

// declare reserves the ports and builds the settings of all instances before any of them starts,
// because the settings of each one contain the addresses of the voters.
func (s *system) declare(names []string, region func(string) string, voter func(string) bool) {
	ports, err := anvilport.Reserve(2 * len(names))
	assert.NilError(s.t, err)
	var peers []anvilsettings.Peer
	for n, name := range names {
		settings := s.base
		settings.Instance = anvilid.InstanceID(name)
		settings.Region, settings.Zone = anvilid.RegionName(region(name)), anvilid.ZoneName("zone-"+name)
		settings.Public, settings.Peer = anvilport.LoopbackAddress(ports[2*n]), anvilport.LoopbackAddress(ports[2*n+1])
		if voter(name) {
			settings.DataDir = filepath.Join(s.dir, name)
		}
		s.instances[name] = &instance{settings: settings}
		s.order = append(s.order, name)
		peers = append(peers, anvilsettings.Peer{
			Instance: settings.Instance, Address: settings.Peer, Region: settings.Region, Voter: voter(name),
		})
	}
	for _, name := range names {
		s.instances[name].settings.Peers = peers
	}
}

func (s *system) start(name string) {
	s.t.Helper()
	i := s.instances[name]
	i.network = &network{open: map[net.Conn]bool{}}
	log, err := anvillogs.New(&i.log, "info")
	assert.NilError(s.t, err)
	files := anvilfault.BeforeSync(func() error {
		time.Sleep(time.Duration(s.syncTime.Load()))
		return nil
	})
	server, err := anvilserver.New(i.settings, anvilserver.WithLog(log),
		anvilserver.WithDisk(anvildisk.WithFiles(files)),
		anvilserver.WithDial(i.network.dial),
		anvilserver.WithListen(func(kind, address string) (net.Listener, error) {
			l, err := net.Listen(kind, address)
			if err != nil || address == string(i.settings.Public) {
				return l, err
			}
			return &listener{Listener: l, network: i.network}, nil
		}))
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	i.server, i.cancel, i.signals, i.ended = server, cancel, make(chan os.Signal, 2), make(chan error, 1)
	go func() { i.ended <- server.Run(ctx, i.signals) }()
}

// kill stops an instance at once, without a drain: it does not notify the other instances.
func (s *system) kill(name string) {
	i := s.instances[name]
	if i.server == nil {
		return
	}
	i.network.setPartitioned(true)
	i.cancel()
	<-i.ended
	i.server = nil
}

// drain sends a signal to an instance, so that it drains, and waits until the instance has stopped.
func (s *system) drain(name string) error {
	i := s.instances[name]
	i.signals <- syscall.SIGTERM
	err := <-i.ended
	i.server = nil
	return err
}

func (s *system) publicAddresses() []anvilid.Address {
	var addresses []anvilid.Address
	for _, name := range s.order {
		addresses = append(addresses, s.instances[name].settings.Public)
	}
	return addresses
}

func (s *system) startTarget(name string, settings anviltarget.Settings) *anviltarget.Target {
	s.t.Helper()
	settings.Target, settings.Service = anvilid.TargetID(name), "planner"
	settings.Listen = "127.0.0.1:0"
	settings.Instances = s.publicAddresses()
	settings.Interval = 100
	target, err := anviltarget.Start(settings)
	assert.NilError(s.t, err)
	s.targets[name] = target
	return target
}

// eventually waits until a condition is true, and fails the test after conditionTimeout.
func (s *system) eventually(what string, condition func() bool) {
	s.t.Helper()
	for until := time.Now().Add(conditionTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for _, name := range s.order {
		select {
		case err := <-s.instances[name].ended:
			s.t.Logf("instance %s has ended: %v", name, err)
			s.instances[name].ended <- err
		default:
		}
	}
	s.t.Fatalf("%s: not after %s", what, conditionTimeout)
}

func (s *system) status(name string) (status anvilhttp.Status, ok bool) {
	response, err := s.client.Get("http://" + string(s.instances[name].settings.Public) + "/v1/status")
	if err != nil {
		return status, false
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

func (s *system) ready(name string) bool {
	status, ok := s.status(name)
	return ok && status.Ready
}

// adopted reports whether the running instances have adopted the given number of targets in total.
func (s *system) adopted(count int) bool {
	owned := 0
	for _, name := range s.order {
		if s.instances[name].server == nil {
			continue
		}
		status, ok := s.status(name)
		if !ok {
			return false
		}
		for _, target := range status.Owned {
			if target.State == "adopted" {
				owned++
			}
		}
	}
	return owned == count
}

// answer is the response that a caller received to a short request.
type answer struct {
	status  int
	outcome string
	code    string
	id      string
	body    string
}

// request is a short request of a caller.
type request struct {
	at, id, account, service, repeatable, timeout, work, body string
}

func (s *system) send(r request) (answer, error) {
	call, err := http.NewRequest(http.MethodPost,
		fmt.Sprintf("http://%s/v1/services/%s/requests", s.instances[r.at].settings.Public, r.service), bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{}, err
	}
	for name, value := range map[string]string{
		"Anvilshunt-Account": r.account, "Anvilshunt-Request-Id": r.id, "Anvilshunt-Repeatable": r.repeatable,
		"Anvilshunt-Timeout": r.timeout, "X-Emu-Time": r.work,
	} {
		if value != "" {
			call.Header.Set(name, value)
		}
	}
	response, err := s.client.Do(call)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{
		status: response.StatusCode, outcome: response.Header.Get("Anvilshunt-Outcome"),
		id: response.Header.Get("Anvilshunt-Request-Id"), body: string(body),
	}
	if a.outcome != "done" {
		var failure struct{ Code string }
		_ = json.Unmarshal(body, &failure)
		a.code, a.body = failure.Code, ""
	}
	return a, err
}

// runCount returns how often the targets ran a request.
func (s *system) runCount(account, id string) int {
	sum := 0
	for _, target := range s.targets {
		sum += target.RunCount(anvilid.AccountID(account), anvilid.RequestID(id))
	}
	return sum
}

func (s *system) post(at, path, body string) (int, string) {
	s.t.Helper()
	response, err := s.client.Post("http://"+string(s.instances[at].settings.Public)+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, string(bytes.TrimSpace(data))
}

// baseConfig is the configuration that startThree publishes.
const baseConfig = `{"id": "base", "operator": "ada", "base": 0, "set": [
 {"kind": "account", "name": "agency", "spec": {"weight": 3}},
 {"kind": "account", "name": "clubs", "spec": {"weight": 1, "services": ["desk"]}},
 {"kind": "shape", "name": "gang", "spec": {"accelerators": 16, "within": "rack"}},
 {"kind": "shape", "name": "rack", "spec": {"accelerators": 32, "within": "rack"}},
 {"kind": "service", "name": "planner", "spec": {"timeout": 20000, "body": 1000, "repeatable": true}},
 {"kind": "service", "name": "desk", "spec": {"timeout": 20000, "body": 1000}}]}`

// startThree starts three voters with one target each and publishes the base configuration.
func startThree(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.declare([]string{"i1", "i2", "i3"}, func(string) string { return "west" }, func(string) bool { return true })
	for _, name := range s.order {
		s.start(name)
	}
	s.eventually("all instances are ready and voters", func() bool {
		for _, name := range s.order {
			status, ok := s.status(name)
			if !ok || !status.Ready || !status.Voter.IsVoter || len(status.Voter.Voters) != 3 {
				return false
			}
		}
		return true
	})
	for _, name := range s.order {
		zone := s.instances[name].settings.Zone
		s.startTarget("t-"+name, anviltarget.Settings{Region: "west", Zone: zone, Rack: "r1"})
	}
	status, body := s.post("i1", "/v1/config/changes?everywhere=yes", baseConfig)
	assert.Equal(t, status, http.StatusOK, body)
	s.eventually("all targets are adopted", func() bool { return s.adopted(3) })
	return s
}
