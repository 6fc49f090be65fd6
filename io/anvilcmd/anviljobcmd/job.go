// Package anviljobcmd holds the commands about long jobs.
package anviljobcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// New returns the command.
func New(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:      "job",
		Usage:     "anvilshunt job <submit|list|view|wait|cancel> ...",
		ShortHelp: "submit, list, view, wait for and cancel long jobs",
		Subcommands: []*ff.Command{
			newSubmit(factory), newList(factory), newView(factory), newWait(factory), newCancel(factory),
		},
	}
}

// options are what the commands about jobs run with.
type options struct {
	Remote  *anvilfactory.ClientFlags
	Streams anvilfactory.Streams
}

// show prints one job.
func (o *options) show(job anvilstate.Job) error {
	if o.Remote.JSON {
		return anviltable.WriteJSON(o.Streams.Out, job)
	}
	table := anviltable.Table{Heading: heading}
	addRow(&table, job)
	return table.Write(o.Streams)
}

var heading = []string{"id", "account", "service", "accelerators", "within", "state", "detail"}

func addRow(table *anviltable.Table, job anvilstate.Job) {
	table.Add(job.ID, job.Account, job.Service, job.Accelerators, job.Within, job.State, job.Detail)
}
