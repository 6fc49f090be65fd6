// Package anvilcmd is the root command of the anvilshunt command line.
package anvilcmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/io/anvilcmd/anvilconfigcmd"
	"anvilshunt/io/anvilcmd/anvilexplaincmd"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anvilinstancecmd"
	"anvilshunt/io/anvilcmd/anviljobcmd"
	"anvilshunt/io/anvilcmd/anvilobjectcmd"
	"anvilshunt/io/anvilcmd/anvilreportcmd"
	"anvilshunt/io/anvilcmd/anvilservecmd"
	"anvilshunt/io/anvilcmd/anvilstatuscmd"
	"anvilshunt/io/anvilcmd/anviltargetcmd"
	"anvilshunt/io/anvilcmd/anvilzonecmd"
)

// Main parses the arguments, runs the command that they select and returns its exit code.
func Main(ctx context.Context, factory *anvilfactory.Factory, args []string) int {
	root := &ff.Command{
		Name:      "anvilshunt",
		Usage:     "anvilshunt <command> [flags]",
		ShortHelp: "schedule multi-accelerator jobs under client account guarantees",
		Subcommands: []*ff.Command{
			anvilservecmd.New(factory),
			anvilconfigcmd.New(factory),
			anvilobjectcmd.New(factory, anvilconfig.KindAccount),
			anvilobjectcmd.New(factory, anvilconfig.KindGuarantee),
			anvilobjectcmd.New(factory, anvilconfig.KindShape),
			anvilobjectcmd.New(factory, anvilconfig.KindService),
			anviljobcmd.New(factory),
			anviltargetcmd.New(factory),
			anvilzonecmd.New(factory),
			anvilreportcmd.New(factory),
			anvilinstancecmd.New(factory),
			anvilstatuscmd.New(factory),
			anvilexplaincmd.New(factory),
			anvilstatuscmd.NewVersion(factory),
		},
	}
	err := root.Parse(flagsFirst(root, args))
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprint(factory.Streams.Out, ffhelp.Command(root.GetSelected()))
		return anvilfactory.ExitOK
	case err != nil:
		err = anvilfactory.UsageErrorf("%w; list the flags with --help", err)
	default:
		err = root.Run(ctx)
	}
	if errors.Is(err, ff.ErrNoExec) {
		fmt.Fprint(factory.Streams.Err, ffhelp.Command(root.GetSelected()))
		return anvilfactory.ExitUsage
	}
	if err != nil {
		fmt.Fprintf(factory.Streams.Err, "anvilshunt: %v\n", err)
	}
	return anvilfactory.ExitCode(err)
}
