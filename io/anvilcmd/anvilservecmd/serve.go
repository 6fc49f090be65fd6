// Package anvilservecmd implements the command `anvilshunt serve`, which runs an instance.
package anvilservecmd

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilserver"
	"anvilshunt/io/anvilsettings"
)

// Options contains the flags and dependencies of the command `anvilshunt serve`.
type Options struct {
	File    string
	Log     io.Writer
	Signals func() <-chan os.Signal
}

// New returns the command `anvilshunt serve`.
func New(factory *anvilfactory.Factory) *ff.Command {
	opts := &Options{Log: factory.Streams.Err, Signals: factory.Signals}
	flags := ff.NewFlagSet("serve")
	flags.StringVar(&opts.File, 0, "config", "", "settings file of the instance")
	return &ff.Command{
		Name:      "serve",
		Usage:     "anvilshunt serve --config FILE",
		ShortHelp: "run one instance",
		LongHelp:  "Example:\n  anvilshunt serve --config /etc/anvilshunt/palermo-1.jsonc",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || opts.File == "" {
				return anvilfactory.UsageErrorf("serve takes --config FILE and nothing else")
			}
			return run(ctx, opts)
		},
	}
}

func run(ctx context.Context, opts *Options) error {
	settings, err := anvilsettings.Load(opts.File)
	if err != nil {
		return anvilfactory.UsageErrorf("%w", err)
	}
	log, err := anvillogs.New(opts.Log, settings.LogLevel)
	if err != nil {
		return err
	}
	log.CaptureStandard(anvillogs.LibraryMessage)
	server, err := anvilserver.New(settings, anvilserver.WithLog(log))
	if err != nil {
		return err
	}
	return server.Run(ctx, opts.Signals())
}
