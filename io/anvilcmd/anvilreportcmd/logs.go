package anvilreportcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// logOptions contains the flags and dependencies of a report that is read from the logs of voters.
type logOptions struct {
	Streams anvilfactory.Streams
	Logs    string
	JSON    bool
}

// newLogReport returns the command `anvilshunt report NAME`.
func newLogReport(factory *anvilfactory.Factory, name, short, long string, run func(*logOptions) error) *ff.Command {
	opts := &logOptions{Streams: factory.Streams}
	flags := ff.NewFlagSet(name)
	flags.StringVar(&opts.Logs, 0, "logs", "", "comma-separated log files of the voters")
	flags.BoolVar(&opts.JSON, 0, "json", "print JSON")
	return &ff.Command{
		Name:      name,
		Usage:     "anvilshunt report " + name + " --logs FILE,FILE... [--json]",
		ShortHelp: short,
		LongHelp:  long + "\n\nExample:\n  anvilshunt report " + name + " --logs core-1.log,core-2.log",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return run(opts)
		},
	}
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
