package anvilobjectcmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anvilverb"
)

func newView(factory *anvilfactory.Factory, kind anvilconfig.Kind) *ff.Command {
	help := anvilverb.Help{
		Usage:   fmt.Sprintf("anvilshunt %s view NAME", kind),
		Short:   fmt.Sprintf("show one object of kind %s as JSON", kind),
		Example: fmt.Sprintf("anvilshunt %s view NAME", kind),
	}
	item := anvilverb.Item[anvilconfig.Object]{
		Argument: "the name of the object",
		Matches: func(object anvilconfig.Object, name string) bool {
			return object.Key == anvilconfig.Key{Kind: kind, Name: anvilid.ObjectName(name)}
		},
		Missing: func(name string) error {
			return fmt.Errorf("%s %q isn't configured; list them with `anvilshunt %s list`", kind, name, kind)
		},
	}
	return anvilverb.NewView(factory, help, item, func(ctx context.Context, client *anvilclient.Client) ([]anvilconfig.Object, error) {
		config, err := client.Config(ctx)
		return config.Objects, err
	})
}
