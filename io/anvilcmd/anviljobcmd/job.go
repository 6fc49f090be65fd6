// Package anviljobcmd implements the commands that submit, view, wait for and cancel long jobs.
package anviljobcmd

import (
	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// New returns the command `anvilshunt job`.
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

// options contains the flags and dependencies that all commands about jobs share.
type options struct {
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
}

// show prints a job as a table of one row, or as JSON.
func (o *options) show(job anvilstate.Job) error {
	if o.ClientFlags.JSON {
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
