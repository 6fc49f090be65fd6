package anvilconfigcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilsettings"
)

type checkOptions struct {
	Files []string
	Out   io.Writer
}

func newCheck(factory *anvilfactory.Factory) *ff.Command {
	opts := &checkOptions{Out: factory.Streams.Out}
	return &ff.Command{
		Name:      "check",
		Usage:     "anvilshunt config check FILE ...",
		ShortHelp: "check settings files without starting an instance",
		LongHelp:  "Example:\n  anvilshunt config check /etc/anvilshunt/palermo-1.jsonc",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return anvilfactory.UsageErrorf("config check takes one or more settings files")
			}
			opts.Files = args
			return runCheck(opts)
		},
	}
}

func runCheck(opts *checkOptions) error {
	var failed error
	for _, file := range opts.Files {
		if _, err := anvilsettings.Load(file); err != nil {
			if failed != nil {
				err = fmt.Errorf("%w\n%w", failed, err)
			}
			failed = err
			continue
		}
		fmt.Fprintf(opts.Out, "%s: ok\n", file)
	}
	if failed != nil {
		return anvilfactory.UsageErrorf("%w", failed)
	}
	return nil
}
