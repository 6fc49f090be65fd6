package anvilreportcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilexplain"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// speedsOptions contains the flags and dependencies of `anvilshunt report speeds`, which shows the lasting speeds of
// machines that the leaders have learnt.
type speedsOptions struct {
	Streams anvilfactory.Streams
	Logs    string
	JSON    bool
}

func newSpeeds(factory *anvilfactory.Factory) *ff.Command {
	opts := &speedsOptions{Streams: factory.Streams}
	flags := ff.NewFlagSet("speeds")
	flags.StringVar(&opts.Logs, 0, "logs", "", "comma-separated log files of the voters")
	flags.BoolVar(&opts.JSON, 0, "json", "print JSON")
	return &ff.Command{
		Name:      "speeds",
		Usage:     "anvilshunt report speeds --logs FILE,FILE... [--json]",
		ShortHelp: "show the lasting speeds of machines that were learnt",
		LongHelp: "Lists the machines from the slowest to the fastest. A speed of 2 is twice the ordinary one. The error\n" +
			"is the standard error of its natural logarithm, about the share by which it may be wrong.\n\n" +
			"Example:\n  anvilshunt report speeds --logs core-1.log,core-2.log",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runSpeeds(opts)
		},
	}
}

func runSpeeds(opts *speedsOptions) error {
	speeds := anvilexplain.Speeds{}
	if err := readLogs(opts.Logs, speeds.Read); err != nil {
		return err
	}
	if opts.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, speeds.Sorted())
	}
	table := anviltable.Table{Heading: []string{"machine", "speed", "error", "comparisons", "time"}}
	for _, s := range speeds.Sorted() {
		table.Add(s.Machine, s.Speed, s.Error, s.Comparisons, s.Time.Format("15:04:05.000"))
	}
	return table.Write(opts.Streams)
}

// readLogs calls read with each of the log files that a flag names.
func readLogs(paths string, read func(io.Reader) error) error {
	if paths == "" {
		return anvilfactory.UsageErrorf("name the log files of the voters with --logs")
	}
	for _, path := range strings.Split(paths, ",") {
		if err := readLog(path, read); err != nil {
			return err
		}
	}
	return nil
}

func readLog(path string, read func(io.Reader) error) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return anvilfactory.UsageErrorf("%w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := read(file); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
