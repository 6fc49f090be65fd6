package anvilconfigcmd

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

func newDiff(factory *anvilfactory.Factory) *ff.Command {
	opts := &applyOptions{Streams: factory.Streams, LoadFile: os.ReadFile}
	flags := ff.NewFlagSet("diff")
	opts.ClientFlags = factory.AddClientFlags(flags)
	return &ff.Command{
		Name:      "diff",
		Usage:     "anvilshunt config diff FILE",
		ShortHelp: "show what a change set would change, and check it",
		LongHelp:  "Example:\n  anvilshunt config diff accounts.jsonc",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) (err error) {
			if opts.File, err = anvilfactory.OneArgument(args, "the file of the change set"); err != nil {
				return err
			}
			return runDiff(ctx, opts)
		},
	}
}

func runDiff(ctx context.Context, opts *applyOptions) error {
	change, err := readChange(opts)
	if err != nil {
		return err
	}
	if change.Operator == "" {
		change.Operator = "diff" // the check of a change set needs an operator, but records none
	}
	client := opts.ClientFlags.NewClient()
	current, err := client.Config(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if change.BaseRevision == 0 {
		change.BaseRevision = current.Revision
	}
	if err := writeDiff(opts.Streams.Out, current, change); err != nil {
		return err
	}
	return anvilfactory.ExplainError(client.Check(ctx, change))
}
