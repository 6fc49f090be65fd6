// Package anvilmeasure measures complete instances that communicate over loopback, with simulated
// delays and network cuts. Each measurement is a subcommand that prints one table.
// docs/measurements.md has the results.
//
// A claim is the command in the replicated log with which an instance gets the exclusive right to run
// the request that has a given id.
package anvilmeasure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// maxDuration limits the time of one subcommand. If it takes longer, it is assumed to hang and is
// cancelled.
const maxDuration = 150 * time.Second

// Streams are the outputs for results and for errors.
type Streams struct{ Out, Err io.Writer }

// measurement is one subcommand of the command line.
type measurement struct {
	name, help string
	flags      func(*ff.FlagSet) func(context.Context) (*Table, error)
}

func measurements() []measurement {
	return []measurement{
		{"change", "time until a configuration change is in force on all instances", changeFlags},
		{"leader", "time from the loss of the leader until the next accepted change", leaderFlags},
		{"restart", "time to restart voters with a long log", restartFlags},
		{"link", "bytes over the link between the regions", linkFlags},
		{"once", "latency that a claim adds to a request", onceFlags},
		{"overhead", "latency and throughput of requests through one instance", overheadFlags},
		{"leaving", "time until a leaving target gets no new work", leavingFlags},
		{"place", "jobs in time by policy of placement, on targets of unequal speed", placeFlags},
		{"neighbours", "jobs in time with queues kept apart that slow each other down", neighboursFlags},
		{"capacity", "resource use per instance, target, change, claim and object", capacityFlags},
	}
}

// Main parses and runs a command line and returns the exit code.
func Main(ctx context.Context, streams Streams, args []string) int {
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	root := &ff.Command{Name: "anvilmeasure", Usage: "anvilmeasure MEASUREMENT [flags]", ShortHelp: "measure complete instances over loopback"}
	for _, m := range measurements() {
		root.Subcommands = append(root.Subcommands, m.command(streams))
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(streams.Err, ffhelp.Command(root))
		return ExitUsage
	}
	fmt.Fprintln(streams.Err, "anvilmeasure:", err)
	return ExitFailed
}

func (m measurement) command(streams Streams) *ff.Command {
	fs := ff.NewFlagSet(m.name)
	asJSON := fs.BoolLong("json", "print the table as JSON")
	run := m.flags(fs)
	return &ff.Command{
		Name: m.name, Usage: "anvilmeasure " + m.name + " [flags]", ShortHelp: m.help, Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			load := loadAverage()
			table, err := run(ctx)
			if err != nil {
				return err
			}
			table.Load = load + " to " + loadAverage()
			if *asJSON {
				return json.NewEncoder(streams.Out).Encode(table)
			}
			return table.Write(streams.Out)
		},
	}
}

// loadAverage returns the load average of the last minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

func changeFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o ChangeOptions
	rate := fs.IntLong("rate", 0, "changes per second; 0 measures 1 and 10")
	fs.DurationVar(&o.RowDuration, 0, "span", 6*time.Second, "time for which changes are published for each row of the table")
	fs.DurationVar(&o.CutPeriod, 0, "period", 6*time.Second, "time between the starts of two network cuts")
	fs.IntVar(&o.Repeats, 0, "repeats", 1, "rows of the table for each rate and network fault")
	return func(ctx context.Context) (*Table, error) {
		o.ChangesPerSecond = []int{1, 10}
		if *rate > 0 {
			o.ChangesPerSecond = []int{*rate}
		}
		return Change(ctx, o)
	}
}

func leaderFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o LeaderOptions
	fs.IntVar(&o.Trials, 0, "trials", 10, "leader losses by the end of its process, and as many by freezing it")
	return func(ctx context.Context) (*Table, error) { return Leader(ctx, o) }
}

func restartFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o RestartOptions
	fs.IntVar(&o.Claims, 0, "claims", 100_000, "claims of request ids in the log")
	fs.IntVar(&o.Callers, 0, "callers", 256, "callers that propose claims concurrently")
	fs.IntVar(&o.Repeats, 0, "repeats", 3, "restarts of each set of voters")
	return func(ctx context.Context) (*Table, error) { return Restart(ctx, o) }
}

func linkFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o LinkOptions
	fs.DurationVar(&o.IdleDuration, 0, "idle", 5*time.Second, "time without requests")
	fs.IntVar(&o.Count, 0, "count", 100, "changes or requests for each row of the table")
	fs.Float64Var(&o.RequestsPerSecond, 0, "rate", 50, "requests per second")
	fs.IntVar(&o.Targets, 0, "targets", 4, "targets in each zone")
	return func(ctx context.Context) (*Table, error) { return Link(ctx, o) }
}

func onceFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o OnceOptions
	fs.DurationVar(&o.RowDuration, 0, "span", 2*time.Second, "time for which requests are sent for each row of the table")
	fs.IntVar(&o.Repeats, 0, "repeats", 3, "rows of the table for each instance and kind of request")
	fs.IntVar(&o.Targets, 0, "targets", 4, "targets in each zone")
	return func(ctx context.Context) (*Table, error) { return Once(ctx, o) }
}

func overheadFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o OverheadOptions
	callers := fs.IntLong("callers", 0, "concurrent callers; 0 measures with 1, 8 and 32")
	fs.StringVar(&o.BinDir, 0, "bin", "bin", "directory of anvilshunt and anvilemu")
	fs.DurationVar(&o.RowDuration, 0, "span", 3*time.Second, "time for which each of the two loads of a row runs")
	fs.IntVar(&o.Repeats, 0, "repeats", 3, "rows of the table for each number of callers")
	fs.IntVar(&o.Targets, 0, "targets", 4, "number of targets")
	fs.StringVar(&o.ProfileFile, 0, "profile", "", "run the instance in this process and write a CPU profile of it to this file")
	return func(ctx context.Context) (*Table, error) {
		o.Callers = []int{1, 8, 32}
		if *callers > 0 {
			o.Callers = []int{*callers}
		}
		o.Stderr = os.Stderr
		return Overhead(ctx, o)
	}
}

func leavingFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o LeavingOptions
	fs.IntVar(&o.Trials, 0, "trials", 10, "targets that leave, for each row of the table")
	fs.IntVar(&o.Targets, 0, "targets", 4, "targets in each zone")
	fs.Float64Var(&o.RequestsPerSecond, 0, "rate", 800, "requests per second")
	fs.DurationVar(&o.WatchDuration, 0, "watch", 3*time.Second, "time for which the work of a leaving target is counted")
	return func(ctx context.Context) (*Table, error) { return Leaving(ctx, o) }
}

func capacityFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	var o CapacityOptions
	fs.DurationVar(&o.IdleDuration, 0, "span", 5*time.Second, "duration of each idle period")
	fs.IntVar(&o.Instances, 0, "instances", 13, "instances without a vote in the larger of two systems")
	fs.IntVar(&o.Targets, 0, "targets", 32, "targets in each of three zones")
	fs.IntVar(&o.Changes, 0, "changes", 50, "configuration changes")
	fs.IntVar(&o.Claims, 0, "claims", 20_000, "claims of request ids")
	fs.IntVar(&o.Objects, 0, "states", 20_000, "objects of each kind in the state machine")
	return func(ctx context.Context) (*Table, error) { return Capacity(ctx, o) }
}
