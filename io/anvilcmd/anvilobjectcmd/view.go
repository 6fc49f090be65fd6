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
	return anvilverb.NewView(factory, help, "the name of the object", func(ctx context.Context, client *anvilclient.Client, name string) (anvilconfig.Object, error) {
		return find(ctx, client, anvilconfig.Key{Kind: kind, Name: anvilid.ObjectName(name)})
	})
}

func find(ctx context.Context, client *anvilclient.Client, key anvilconfig.Key) (anvilconfig.Object, error) {
	config, err := client.Config(ctx)
	if err != nil {
		return anvilconfig.Object{}, err
	}
	for _, object := range config.Objects {
		if object.Key == key {
			return object, nil
		}
	}
	return anvilconfig.Object{}, fmt.Errorf("%s %q isn't configured; list them with `anvilshunt %s list`", key.Kind, key.Name, key.Kind)
}
