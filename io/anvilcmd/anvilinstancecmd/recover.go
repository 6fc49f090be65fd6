package anvilinstancecmd

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilsettings"
	"anvilshunt/io/anvilvoter"
)

type recoverOptions struct {
	File       string
	AcceptLoss bool
	Out        io.Writer
}

const recoverHelp = `Makes the voter of a stopped instance the only voter of a new control group. It is for
the case that a majority of the voters is lost for good.

It may lose changes and claims that only the lost voters had, and it keeps changes that
were never acknowledged. Choose the instance with the highest term and commit in the last
status you have. Before you start it again, stop all other former voters and remove their
data directories; they are enrolled as new voters when they start.

Example:
  anvilshunt instance recover --config palermo-1.jsonc --accept-loss`

func newRecover(factory *anvilfactory.Factory) *ff.Command {
	opts := &recoverOptions{Out: factory.Streams.Out}
	flags := ff.NewFlagSet("recover")
	flags.StringVar(&opts.File, 0, "config", "", "settings file of the stopped instance")
	flags.BoolVar(&opts.AcceptLoss, 0, "accept-loss", "confirm that changes may be lost")
	return &ff.Command{
		Name:      "recover",
		Usage:     "anvilshunt instance recover --config FILE --accept-loss",
		ShortHelp: "create a new control group from one voter after a majority of the voters is lost",
		LongHelp:  recoverHelp,
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runRecover(opts)
		},
	}
}

func runRecover(opts *recoverOptions) error {
	if opts.File == "" || !opts.AcceptLoss {
		return anvilfactory.UsageErrorf("instance recover takes --config FILE and --accept-loss; read its --help first")
	}
	settings, err := anvilsettings.Load(opts.File)
	if err != nil {
		return anvilfactory.UsageErrorf("%w", err)
	}
	if settings.DataDir == "" {
		return anvilfactory.UsageErrorf("%s sets no data directory, so the instance is no voter and can't be recovered", opts.File)
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	id := anvilraft.GroupID(binary.LittleEndian.Uint64(random[:]) | 1) // never zero
	if err := anvilvoter.ForceSoleVoter(settings.Instance, id, settings.DataDir); err != nil {
		return fmt.Errorf("recover %s: %w; the instance must be stopped", settings.DataDir, err)
	}
	fmt.Fprintf(opts.Out, "%s is the only voter of a new control group; start it first, then the others with empty data directories\n",
		settings.Instance)
	return nil
}
