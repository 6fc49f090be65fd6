package anvilconfigcmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilcheck"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// applyTimeout is how long a change set is sent again while no instance answers or while it is not
// yet in force on all instances. Resends are safe, because the change id makes them idempotent.
const applyTimeout = 30 * time.Second

type applyOptions struct {
	File        string
	Operator    string
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
	LoadFile    func(string) ([]byte, error)
}

func newApply(factory *anvilfactory.Factory) *ff.Command {
	opts := &applyOptions{Streams: factory.Streams, LoadFile: os.ReadFile}
	flags := ff.NewFlagSet("apply")
	opts.ClientFlags = factory.AddClientFlags(flags)
	flags.StringVar(&opts.Operator, 0, "operator", factory.Env("USER"), "name of the operator that is recorded with the change")
	return &ff.Command{
		Name:      "apply",
		Usage:     "anvilshunt config apply FILE [--operator NAME] [--json]",
		ShortHelp: "publish a change set and wait until it is in force everywhere",
		LongHelp: "FILE holds {\"set\": [objects], \"delete\": [keys]} as JSON with comments. The fields id and base are\n" +
			"optional: the default id is random, and the default base is the current revision.\n\n" +
			"Example:\n  anvilshunt config apply accounts.jsonc --operator ada",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) (err error) {
			if opts.File, err = anvilfactory.OneArgument(args, "the file of the change set"); err != nil {
				return err
			}
			return runApply(ctx, opts)
		},
	}
}

func runApply(ctx context.Context, opts *applyOptions) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	client := opts.ClientFlags.NewClient()
	change, err := readChange(opts)
	if err != nil {
		return err
	}
	current, err := client.Config(ctx)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if change.BaseRevision == 0 {
		change.BaseRevision = current.Revision
	}
	if !opts.ClientFlags.JSON {
		if err := writeDiff(opts.Streams.Err, current, change); err != nil {
			return err
		}
	}
	applied, err := applyWithRetry(ctx, client, change)
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, applied)
	}
	if !applied.Everywhere {
		return fmt.Errorf("revision %d was accepted, but not all instances applied it in time; check them with `anvilshunt instance list`",
			applied.Revision)
	}
	fmt.Fprintf(opts.Streams.Out, "revision %d is in force on all instances\n", applied.Revision)
	return nil
}

// applyWithRetry sends a change set repeatedly until it is in force on all instances, is refused or
// ctx is done. It also sends the change set again if no instance answered, because the answer may
// have been lost.
func applyWithRetry(ctx context.Context, client *anvilclient.Client, change anvilconfig.Change) (anvilclient.ApplyResult, error) {
	for {
		applied, err := client.Apply(ctx, change)
		if err == nil && applied.Everywhere || err != nil && !errors.Is(err, anvilclient.ErrUnreachable) {
			return applied, err
		}
		select {
		case <-ctx.Done():
			return applied, err
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func readChange(opts *applyOptions) (anvilconfig.Change, error) {
	data, err := opts.LoadFile(opts.File)
	if err != nil {
		return anvilconfig.Change{}, anvilfactory.UsageErrorf("read the change set: %w", err)
	}
	document, findings := anvilcheck.Parse(data)
	if len(findings) > 0 {
		return anvilconfig.Change{}, anvilfactory.UsageErrorf("%s", formatFinding(opts.File, findings[0]))
	}
	change := document.Change
	if change.ID == "" {
		var id [8]byte
		_, _ = rand.Read(id[:])
		change.ID = anvilid.ChangeID("cli-" + hex.EncodeToString(id[:]))
	}
	if change.Operator == "" {
		change.Operator = anvilid.OperatorID(opts.Operator)
	}
	return change, nil
}

// writeDiff writes the differences that the change set would make to the current configuration.
func writeDiff(out io.Writer, current anvilclient.Config, change anvilconfig.Change) error {
	before := anvilconfig.NewSnapshot(current.Revision, current.Objects...)
	after := anvilconfig.NewSnapshot(current.Revision, current.Objects...)
	after.Apply(change, current.Revision+1)
	for _, difference := range anvilconfig.Diff(before, after) {
		if err := writeDifference(out, difference); err != nil {
			return err
		}
	}
	return nil
}

// writeDifference writes the old version of an object after a minus sign and the new version after
// a plus sign.
func writeDifference(out io.Writer, difference anvilconfig.Difference) error {
	for _, side := range []struct {
		sign   string
		object *anvilconfig.Object
	}{{"-", difference.Old}, {"+", difference.New}} {
		if side.object == nil {
			continue
		}
		side.object.Revision = 0
		data, err := json.Marshal(side.object)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, side.sign, string(data)); err != nil {
			return err
		}
	}
	return nil
}
