package anvilmeasure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"anvilshunt/io/anvilload"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anvilserver"
	"anvilshunt/io/anvilsettings"
)

// OverheadOptions are the options of Overhead.
type OverheadOptions struct {
	Bin     string        // directory of anvilshunt and anvilemu
	Span    time.Duration // of each row
	Repeats int
	Targets int
	Callers []int
	Errors  io.Writer // of the processes
	// Profile is a file for a CPU profile of the instance, which then runs in
	// this process.
	Profile string
}

// processes are child processes of a measurement.
type processes struct {
	dir     string
	bin     string
	errors  io.Writer
	running []*exec.Cmd
	stop    func() error // ends an instance in this process
}

func (p *processes) start(name string, args ...string) error {
	command := exec.Command(filepath.Join(p.bin, name), args...)
	command.Stderr = p.errors
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: build the programs with `make build` and name their directory with --bin: %w", name, err)
	}
	p.running = append(p.running, command)
	return nil
}

func (p *processes) close() {
	for _, command := range p.running {
		_ = command.Process.Signal(syscall.SIGTERM)
	}
	for _, command := range p.running {
		timer := time.AfterFunc(5*time.Second, func() { _ = command.Process.Kill() })
		_ = command.Wait()
		timer.Stop()
	}
	if p.stop != nil {
		_ = p.stop()
	}
	_ = os.RemoveAll(p.dir)
}

// load runs the load generator in a process of its own.
func (p *processes) load(ctx context.Context, to string, direct bool, callers int, span time.Duration) (*anvilload.Summary, error) {
	args := []string{
		"load", "--to", to, "--service", service, "--accounts", account + "=1", "--duration", span.String(),
		"--concurrency", fmt.Sprint(callers), "--repeatable", "yes", "--json",
	}
	if direct {
		args = append(args, "--direct")
	}
	out, err := exec.CommandContext(ctx, filepath.Join(p.bin, "anvilemu"), args...).Output()
	if err != nil {
		return nil, fmt.Errorf("run the load: %w", err)
	}
	summary := &anvilload.Summary{}
	return summary, json.Unmarshal(out, summary)
}

// oneInstance starts an instance with a vote of its own, as a process or, to
// profile it, in this process.
func (p *processes) oneInstance(profile string) (*system, error) {
	settings := anvilsettings.Defaults()
	settings.Instance, settings.Region, settings.Zone, settings.LogLevel = "palermo-1", "west", "palermo", "warn"
	var publicErr, peerErr error
	settings.Public, publicErr = anvilport.ReserveAddress()
	settings.Peer, peerErr = anvilport.ReserveAddress()
	settings.DataDir = filepath.Join(p.dir, "data")
	settings.Peers = []anvilsettings.Peer{{Instance: settings.Instance, Address: settings.Peer, Region: "west", Voter: true}}
	if err := errors.Join(publicErr, peerErr); err != nil {
		return nil, err
	}
	s := &system{
		instances: []*instance{{layout: layout{place{"palermo-1", "west", "palermo"}, true}, settings: settings}},
		client:    &http.Client{Timeout: 20 * time.Second}, fabric: newFabric(true),
	}
	if profile != "" {
		return s, p.profiled(settings, profile)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.dir, "palermo-1.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	return s, p.start("anvilshunt", "serve", "--config", file)
}

func (p *processes) profiled(settings anvilsettings.Settings, profile string) error {
	server, err := anvilserver.New(settings)
	if err != nil {
		return err
	}
	file, err := os.Create(profile)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, make(chan os.Signal)) }()
	p.stop = func() error {
		cancel()
		err := <-ended
		pprof.StopCPUProfile()
		return errors.Join(err, file.Close())
	}
	return nil
}

// Overhead measures what an instance adds to a short request.
func Overhead(ctx context.Context, o OverheadOptions) (*Table, error) {
	t := &Table{Name: "overhead: short requests through one instance against the target called directly", Columns: []string{
		"callers", "direct p50", "p99", "rate", "through p50", "p99", "rate", "added p50", "rate ratio", "not done",
	}}
	dir, err := os.MkdirTemp("", "anvilmeasure")
	if err != nil {
		return nil, err
	}
	p := &processes{dir: dir, bin: o.Bin, errors: o.Errors}
	defer p.close()
	s, err := p.oneInstance(o.Profile)
	if err != nil {
		return nil, err
	}
	public := s.instances[0].settings.Public
	direct, err := p.targets(s, o.Targets)
	if err != nil {
		return nil, err
	}
	for _, callers := range o.Callers {
		for range o.Repeats {
			plain, err := p.load(ctx, direct, true, callers, o.Span)
			if err != nil {
				return nil, err
			}
			through, err := p.load(ctx, string(public), false, callers, o.Span)
			if err != nil {
				return nil, err
			}
			t.row(callers, microseconds(plain.Latency.P50), microseconds(plain.Latency.P99), fmt.Sprintf("%.0f/s", plain.Rate),
				microseconds(through.Latency.P50), microseconds(through.Latency.P99), fmt.Sprintf("%.0f/s", through.Rate),
				microseconds(through.Latency.P50-plain.Latency.P50), fmt.Sprintf("%.2f", through.Rate/plain.Rate),
				plain.Sent-plain.Done+through.Sent-through.Done)
		}
	}
	t.note("%d targets that answer at once, one instance and the load generator in processes of their own; bodies of 100 bytes; repeatable requests without ids.", o.Targets)
	return t, nil
}

// targets starts a group of targets that announce themselves and one that is
// called directly, whose addresses it returns.
func (p *processes) targets(s *system, count int) (direct string, err error) {
	announced, err := anvilport.Reserve(count)
	if err != nil {
		return "", err
	}
	called, err := anvilport.Reserve(count)
	if err != nil {
		return "", err
	}
	i := s.instances[0]
	if err := p.start("anvilemu", "targets", "--count", fmt.Sprint(count), "--listen", string(anvilport.LoopbackAddress(announced[0])),
		"--instances", string(i.settings.Public), "--zones", "west/palermo"); err != nil {
		return "", err
	}
	if err := p.start("anvilemu", "targets", "--count", fmt.Sprint(count), "--listen", string(anvilport.LoopbackAddress(called[0])), "--no-fencing", "--zones", "west/palermo"); err != nil {
		return "", err
	}
	if err := eventually("the instance is ready", func() bool { return s.ready(i) }); err != nil {
		return "", err
	}
	if _, err := s.post(i, "/v1/config/changes?everywhere=yes", baseConfig); err != nil {
		return "", err
	}
	var list []string
	for _, port := range called {
		list = append(list, string(anvilport.LoopbackAddress(port)))
	}
	return strings.Join(list, ","), eventually("the targets are adopted", func() bool {
		status, err := s.status(i)
		adopted := 0
		for _, owned := range status.Owned {
			if owned.State == "adopted" {
				adopted++
			}
		}
		return err == nil && adopted == count
	})
}
