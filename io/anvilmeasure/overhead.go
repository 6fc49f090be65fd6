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

// OverheadOptions are the options of Overhead, which compares the latency and the throughput of short
// requests through an instance with those of requests that are sent directly to targets.
type OverheadOptions struct {
	BinDir      string        // directory of anvilshunt and anvilemu
	RowDuration time.Duration // how long each of the two loads of a row runs: direct, and through the instance
	Repeats     int           // rows of the table for each number of callers
	Targets     int           // targets that the instance uses, and as many others that are called directly
	Callers     []int         // numbers of concurrent callers to measure with
	Stderr      io.Writer     // standard error of the child processes
	// ProfileFile, if set, is the file for a CPU profile of the instance. The instance then runs in
	// this process.
	ProfileFile string
}

// processes are the child processes of an Overhead measurement: targets, and usually the instance.
type processes struct {
	dir          string
	binDir       string
	stderr       io.Writer
	commands     []*exec.Cmd
	stopInstance func() error // stops an instance that runs in this process
}

func (p *processes) start(name string, args ...string) error {
	command := exec.Command(filepath.Join(p.binDir, name), args...)
	command.Stderr = p.stderr
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: build the programs with `make build` and set --bin to their directory: %w", name, err)
	}
	p.commands = append(p.commands, command)
	return nil
}

func (p *processes) close() {
	for _, command := range p.commands {
		_ = command.Process.Signal(syscall.SIGTERM)
	}
	for _, command := range p.commands {
		timer := time.AfterFunc(5*time.Second, func() { _ = command.Process.Kill() })
		_ = command.Wait()
		timer.Stop()
	}
	if p.stopInstance != nil {
		_ = p.stopInstance()
	}
	_ = os.RemoveAll(p.dir)
}

// load runs the load generator as a child process and returns its summary.
func (p *processes) load(ctx context.Context, to string, direct bool, callers int, duration time.Duration) (*anvilload.Summary, error) {
	args := []string{
		"load", "--to", to, "--service", service, "--accounts", account + "=1", "--duration", duration.String(),
		"--concurrency", fmt.Sprint(callers), "--repeatable", "yes", "--json",
	}
	if direct {
		args = append(args, "--direct")
	}
	out, err := exec.CommandContext(ctx, filepath.Join(p.binDir, "anvilemu"), args...).Output()
	if err != nil {
		return nil, fmt.Errorf("run the load generator: %w", err)
	}
	summary := &anvilload.Summary{}
	return summary, json.Unmarshal(out, summary)
}

// startInstance starts an instance that is the only voter, as a child process or, if a profile is
// wanted, in this process.
func (p *processes) startInstance(profile string) (*system, error) {
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
		instances: []*instance{{instanceSpec: instanceSpec{location{"palermo-1", "west", "palermo"}, true}, settings: settings}},
		client:    &http.Client{Timeout: 20 * time.Second}, netSim: newNetSim(true),
	}
	if profile != "" {
		return s, p.startProfiled(settings, profile)
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

func (p *processes) startProfiled(settings anvilsettings.Settings, profile string) error {
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
	p.stopInstance = func() error {
		cancel()
		err := <-ended
		pprof.StopCPUProfile()
		return errors.Join(err, file.Close())
	}
	return nil
}

// Overhead measures the latency that an instance adds to a short request, and the throughput through the
// instance, in comparison with requests that are sent directly to targets.
func Overhead(ctx context.Context, o OverheadOptions) (*Table, error) {
	t := &Table{Name: "overhead: short requests through one instance against the target called directly", Columns: []string{
		"callers", "direct p50", "p99", "rate", "through p50", "p99", "rate", "added p50", "rate ratio", "not done",
	}}
	dir, err := os.MkdirTemp("", "anvilmeasure")
	if err != nil {
		return nil, err
	}
	p := &processes{dir: dir, binDir: o.BinDir, stderr: o.Stderr}
	defer p.close()
	s, err := p.startInstance(o.ProfileFile)
	if err != nil {
		return nil, err
	}
	public := s.instances[0].settings.Public
	directAddresses, err := p.startTargets(s, o.Targets)
	if err != nil {
		return nil, err
	}
	for _, callers := range o.Callers {
		for range o.Repeats {
			directLoad, err := p.load(ctx, directAddresses, true, callers, o.RowDuration)
			if err != nil {
				return nil, err
			}
			instanceLoad, err := p.load(ctx, string(public), false, callers, o.RowDuration)
			if err != nil {
				return nil, err
			}
			t.addRow(callers, microseconds(directLoad.Latency.P50), microseconds(directLoad.Latency.P99), fmt.Sprintf("%.0f/s", directLoad.Rate),
				microseconds(instanceLoad.Latency.P50), microseconds(instanceLoad.Latency.P99), fmt.Sprintf("%.0f/s", instanceLoad.Rate),
				microseconds(instanceLoad.Latency.P50-directLoad.Latency.P50), fmt.Sprintf("%.2f", instanceLoad.Rate/directLoad.Rate),
				directLoad.Sent-directLoad.Done+instanceLoad.Sent-instanceLoad.Done)
		}
	}
	t.addNote("%d targets that answer without delay; the targets, one instance and the load generator run in separate processes; bodies of 100 bytes; repeatable requests without ids.",
		o.Targets)
	return t, nil
}

// startTargets starts a process with targets that announce themselves to the instance, and another
// process with targets that are called directly. It returns the addresses of the targets that are called
// directly, separated by commas.
func (p *processes) startTargets(s *system, count int) (directAddresses string, err error) {
	announcedPorts, err := anvilport.Reserve(count)
	if err != nil {
		return "", err
	}
	directPorts, err := anvilport.Reserve(count)
	if err != nil {
		return "", err
	}
	i := s.instances[0]
	if err := p.start("anvilemu", "targets", "--count", fmt.Sprint(count), "--listen",
		string(anvilport.LoopbackAddress(announcedPorts[0])),
		"--instances", string(i.settings.Public), "--zones", "west/palermo"); err != nil {
		return "", err
	}
	if err := p.start("anvilemu", "targets", "--count", fmt.Sprint(count), "--listen",
		string(anvilport.LoopbackAddress(directPorts[0])), "--no-fencing", "--zones", "west/palermo"); err != nil {
		return "", err
	}
	if err := waitUntil("the instance is ready", func() bool { return s.ready(i) }); err != nil {
		return "", err
	}
	if _, err := s.post(i, "/v1/config/changes?everywhere=yes", baseConfig); err != nil {
		return "", err
	}
	var list []string
	for _, port := range directPorts {
		list = append(list, string(anvilport.LoopbackAddress(port)))
	}
	return strings.Join(list, ","), waitUntil("the targets are adopted", func() bool {
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
