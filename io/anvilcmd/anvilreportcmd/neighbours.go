package anvilreportcmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilexplain"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// neighboursOptions contains the flags and dependencies of `anvilshunt report neighbours`, which shows how queues change the
// speed of each other.
type neighboursOptions struct {
	Streams anvilfactory.Streams
	Logs    string
	JSON    bool
}

func newNeighbours(factory *anvilfactory.Factory) *ff.Command {
	opts := &neighboursOptions{Streams: factory.Streams}
	flags := ff.NewFlagSet("neighbours")
	flags.StringVar(&opts.Logs, 0, "logs", "", "comma-separated log files of the voters")
	flags.BoolVar(&opts.JSON, 0, "json", "print JSON")
	return &ff.Command{
		Name:      "neighbours",
		Usage:     "anvilshunt report neighbours --logs FILE,FILE... [--json]",
		ShortHelp: "show which queues slow each other down on one target",
		LongHelp: "Lists pairs of queues as they were measured last, the largest slowdown first. A factor of 0.8 means that runs\n" +
			"of the queue are a fifth slower beside runs of the other one. The error is the standard error of its natural\n" +
			"logarithm. Pairs that count as a slowdown are kept apart where another target is as good.\n\n" +
			"Example:\n  anvilshunt report neighbours --logs core-1.log,core-2.log",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runNeighbours(opts)
		},
	}
}

func runNeighbours(opts *neighboursOptions) error {
	var neighbours anvilexplain.Neighbours
	if err := readLogs(opts.Logs, neighbours.Read); err != nil {
		return err
	}
	if opts.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, neighbours)
	}
	table := anviltable.Table{Heading: []string{"queue", "beside", "factor", "error", "runs", "slows"}}
	for _, pair := range neighbours.Pairs {
		table.Add(pair.Victim, pair.Beside, pair.Factor, pair.Error, pair.Runs, pair.Slows)
	}
	return table.Write(opts.Streams)
}
