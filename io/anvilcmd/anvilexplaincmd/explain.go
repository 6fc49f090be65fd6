// Package anvilexplaincmd implements the command `anvilshunt explain`, which determines from log
// files what happened to a job.
package anvilexplaincmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilexplain"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

type options struct {
	Streams anvilfactory.Streams
	Logs    string
	JSON    bool
	ID      string
}

// New returns the command `anvilshunt explain`.
func New(f *anvilfactory.Factory) *ff.Command {
	opts := &options{Streams: f.Streams}
	flags := ff.NewFlagSet("explain")
	flags.StringVar(&opts.Logs, 0, "logs", "", "comma-separated log files of the instances")
	flags.BoolVar(&opts.JSON, 0, "json", "print JSON")
	return &ff.Command{
		Name: "explain", Usage: "anvilshunt explain ID --logs FILE,FILE...",
		ShortHelp: "explain from log files what happened to a job",
		LongHelp: "Prints the log lines that contain the id of the job, sorted by time, and then one sentence that\n" +
			"says what happened and why, or which log file is missing.\n\n" +
			"Example:\n  anvilshunt explain 5c0e7a21d94b36f8 --logs core-1.log,front-1.log",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, "the id of a job")
			if err != nil {
				return err
			}
			opts.ID = id
			return run(opts)
		},
	}
}

func run(opts *options) error {
	if opts.Logs == "" {
		return anvilfactory.UsageErrorf("name the log files of the instances with --logs")
	}
	var lines []anvilexplain.Line
	for _, path := range strings.Split(opts.Logs, ",") {
		found, err := readLog(path, opts.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	explanation, err := anvilexplain.Explain(opts.ID, lines)
	if err != nil {
		return err
	}
	if opts.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, explanation)
	}
	return show(opts, explanation)
}

func readLog(path, id string) (lines []anvilexplain.Line, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, anvilfactory.UsageErrorf("%w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	lines, err = anvilexplain.Read(file, id)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return lines, nil
}

func show(opts *options, explanation anvilexplain.Explanation) error {
	table := anviltable.Table{Heading: []string{"time", "instance", "event", "text", "fields"}}
	for _, line := range explanation.Lines {
		table.Add(line.Time.Format("15:04:05.000"), line.Instance, line.Event, line.Text, formatFields(line.Fields))
	}
	if err := table.Write(opts.Streams); err != nil {
		return err
	}
	_, err := fmt.Fprintln(opts.Streams.Out, explanation.Verdict)
	return err
}

func formatFields(values map[string]any) string {
	parts := make([]string, 0, len(values))
	for name, value := range values {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
