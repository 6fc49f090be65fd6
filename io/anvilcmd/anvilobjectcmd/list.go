package anvilobjectcmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

func newList(factory *anvilfactory.Factory, kind anvilconfig.Kind) *ff.Command {
	flags := ff.NewFlagSet("list")
	opts := &options{Kind: kind, ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "list",
		Usage:     fmt.Sprintf("anvilshunt %s list [--json]", kind),
		ShortHelp: fmt.Sprintf("list objects of kind %s", kind),
		LongHelp:  fmt.Sprintf("Example:\n  anvilshunt %s list", kind),
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runList(ctx, opts)
		},
	}
}

func runList(ctx context.Context, opts *options) error {
	config, err := opts.ClientFlags.NewClient().Config(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	objects := []anvilconfig.Object{}
	table := anviltable.Table{Heading: []string{"name", "revision", "object"}}
	for _, object := range config.Objects {
		if object.Kind != opts.Kind {
			continue
		}
		data, err := json.Marshal(object)
		if err != nil {
			return err
		}
		objects = append(objects, object)
		table.Add(object.Name, object.Revision, string(data))
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, objects)
	}
	return table.Write(opts.Streams)
}
