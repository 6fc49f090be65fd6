package anvilconfigcmd

import (
	"context"
	"encoding/json"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

type viewOptions struct {
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
}

func newView(factory *anvilfactory.Factory) *ff.Command {
	opts := &viewOptions{Streams: factory.Streams}
	flags := ff.NewFlagSet("view")
	opts.ClientFlags = factory.AddClientFlags(flags)
	return &ff.Command{
		Name:      "view",
		Usage:     "anvilshunt config view [--json]",
		ShortHelp: "show the configuration in force",
		LongHelp:  "Example:\n  anvilshunt config view --json",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runView(ctx, opts)
		},
	}
}

func runView(ctx context.Context, opts *viewOptions) error {
	config, err := opts.ClientFlags.NewClient().Config(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, config)
	}
	table := anviltable.Table{Heading: []string{"kind", "name", "revision", "object"}}
	for _, object := range config.Objects {
		data, err := json.Marshal(object)
		if err != nil {
			return err
		}
		table.Add(object.Kind, object.Name, object.Revision, string(data))
	}
	return table.Write(opts.Streams)
}
