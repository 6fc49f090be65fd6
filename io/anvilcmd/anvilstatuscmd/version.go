package anvilstatuscmd

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// NewVersion returns the command `anvilshunt version`.
func NewVersion(factory *anvilfactory.Factory) *ff.Command {
	return &ff.Command{
		Name:      "version",
		Usage:     "anvilshunt version",
		ShortHelp: "print the version of the program",
		Exec: func(_ context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = fmt.Sprintf("%s %s", info.Main.Version, info.GoVersion)
			}
			_, err := fmt.Fprintln(factory.Streams.Out, "anvilshunt", version)
			return err
		},
	}
}
