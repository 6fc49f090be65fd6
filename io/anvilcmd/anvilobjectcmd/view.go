package anvilobjectcmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

func newView(factory *anvilfactory.Factory, kind anvilconfig.Kind) *ff.Command {
	flags := ff.NewFlagSet("view")
	opts := &options{Kind: kind, ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams}
	return &ff.Command{
		Name:      "view",
		Usage:     fmt.Sprintf("anvilshunt %s view NAME", kind),
		ShortHelp: fmt.Sprintf("show one object of kind %s as JSON", kind),
		LongHelp:  fmt.Sprintf("Example:\n  anvilshunt %s view NAME", kind),
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			name, err := anvilfactory.OneArgument(args, "the name of the object")
			if err != nil {
				return err
			}
			return runView(ctx, opts, anvilid.ObjectName(name))
		},
	}
}

func runView(ctx context.Context, opts *options, name anvilid.ObjectName) error {
	config, err := opts.ClientFlags.NewClient().Config(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	key := anvilconfig.Key{Kind: opts.Kind, Name: name}
	for _, object := range config.Objects {
		if object.Key == key {
			return anviltable.WriteJSON(opts.Streams.Out, object)
		}
	}
	return fmt.Errorf("%s %q isn't configured; list them with `anvilshunt %s list`", opts.Kind, name, opts.Kind)
}
