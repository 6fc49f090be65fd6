// Package anvilstatuscmd holds the commands that describe an instance and the
// program.
package anvilstatuscmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
	"anvilshunt/io/anvilhttp"
)

type options struct {
	Remote  *anvilfactory.ClientFlags
	Streams anvilfactory.Streams
}

// New returns the status command.
func New(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("status")
	opts := &options{Remote: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "status",
		Usage:     "anvilshunt status [--json]",
		ShortHelp: "show what an instance knows of itself and of the system",
		LongHelp:  "Example:\n  anvilshunt status --servers 10.0.0.1:8081",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return run(ctx, opts)
		},
	}
}

func run(ctx context.Context, opts *options) error {
	status, err := opts.Remote.NewClient().Status(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.Remote.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, status)
	}
	table := anviltable.Table{Heading: []string{"field", "value"}}
	table.Add("instance", status.Instance)
	table.Add("zone", fmt.Sprintf("%s/%s", status.Region, status.Zone))
	table.Add("ready", status.Ready)
	table.Add("leased", status.HasLease)
	table.Add("draining", status.Draining)
	table.Add("revision", revision(status))
	table.Add("admitted", status.Admitted)
	table.Add("instances", len(status.Instances))
	table.Add("targets", len(status.Targets))
	table.Add("owned", len(status.Owned))
	if voter := status.Voter; voter != nil {
		table.Add("leader", voter.Leader)
		table.Add("term", voter.Term)
		table.Add("commit", voter.CommitIndex)
		table.Add("voters", voter.Voters)
	}
	return table.Write(opts.Streams)
}

// revision shows the configuration that the instance knows. Without a lease a
// newer one may be in force everywhere else.
func revision(status anvilhttp.Status) string {
	if status.HasLease {
		return fmt.Sprint(status.Revision)
	}
	return fmt.Sprintf("%d (may be old: no lease)", status.Revision)
}
