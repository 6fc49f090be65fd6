package anvilreportcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilexplain"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// newSpeeds returns `anvilshunt report speeds`, which shows the lasting speeds of machines that the leaders have learnt.
func newSpeeds(factory *anvilfactory.Factory) *ff.Command {
	return newLogReport(factory, "speeds", "show the lasting speeds of machines that were learnt",
		"Lists the machines from the slowest to the fastest. A speed of 2 is twice the ordinary one. The error\n"+
			"is the standard error of its natural logarithm, about the share by which it may be wrong.", runSpeeds)
}

func runSpeeds(opts *logOptions) error {
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
