// Package anvilstatuscmd implements the commands `anvilshunt status` and `anvilshunt version`.
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
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
}

// New returns the command `anvilshunt status`.
func New(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("status")
	opts := &options{ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "status",
		Usage:     "anvilshunt status [--json]",
		ShortHelp: "show the status of an instance and of the system, as far as the instance knows it",
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
	status, err := opts.ClientFlags.NewClient().Status(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, status)
	}
	table := anviltable.Table{Heading: []string{"field", "value"}}
	table.Add("instance", status.Instance)
	table.Add("zone", fmt.Sprintf("%s/%s", status.Region, status.Zone))
	table.Add("ready", status.Ready)
	table.Add("leased", status.HasLease)
	table.Add("draining", status.Draining)
	table.Add("revision", formatRevision(status))
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

// formatRevision returns the configuration revision that the instance uses. While the instance has no
// lease, other instances may already use a newer revision; the text then says that the revision may
// be outdated.
func formatRevision(status anvilhttp.Status) string {
	if status.HasLease {
		return fmt.Sprint(status.Revision)
	}
	return fmt.Sprintf("%d (may be outdated: the instance has no lease)", status.Revision)
}
