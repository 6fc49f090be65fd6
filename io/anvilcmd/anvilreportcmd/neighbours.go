package anvilreportcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilexplain"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// newNeighbours returns `anvilshunt report neighbours`, which shows how queues change the speed of each other.
func newNeighbours(factory *anvilfactory.Factory) *ff.Command {
	return newLogReport(factory, "neighbours", "show which queues slow each other down on one target",
		"Lists pairs of queues as they were measured last, the largest slowdown first. A factor of 0.8 means that runs\n"+
			"of the queue are a fifth slower beside runs of the other one. The error is the standard error of its natural\n"+
			"logarithm. Pairs that count as a slowdown are kept apart where another target is as good,\n"+
			"if the voters run with --keep-apart.", runNeighbours)
}

func runNeighbours(opts *logOptions) error {
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
