// Package anvilemucmd implements the command line of anvilemu, with one file per subcommand.
package anvilemucmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"anvilshunt/core/anvilid"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
	// ExitWrong means that `anvilemu load` received wrong answers, or that `anvilemu check` found an
	// overloaded target or a request that ran more than once.
	ExitWrong = 3
)

var (
	errUsage = eris.New("wrong usage")
	errWrong = eris.New("wrong answers")
)

// Streams contains the output streams and the signal handling of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// Notify returns a context that is cancelled by the first SIGTERM or SIGINT.
	Notify func(ctx context.Context) (context.Context, context.CancelFunc)
}

// System returns the standard streams and the signals of the process.
func System() Streams {
	return Streams{
		Out: os.Stdout,
		Err: os.Stderr,
		Notify: func(ctx context.Context) (context.Context, context.CancelFunc) {
			return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		},
	}
}

// Main parses the arguments, runs the command that they select and returns its exit code.
func Main(ctx context.Context, streams Streams, args []string) int {
	root := &ff.Command{
		Name:      "anvilemu",
		Usage:     "anvilemu <target|targets|load|check> [flags]",
		ShortHelp: "run stand-in targets and generate load",
		Subcommands: []*ff.Command{
			newTargetCommand(streams), newTargetsCommand(streams), newLoadCommand(streams), newCheckCommand(streams),
		},
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			fmt.Fprint(streams.Out, ffhelp.Command(root))
			return ExitOK
		}
		fmt.Fprintf(streams.Err, "anvilemu: %v; list the flags with --help\n", err)
		return ExitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(streams.Err, ffhelp.Command(root))
		return ExitUsage
	case errors.Is(err, errUsage):
		fmt.Fprintln(streams.Err, "anvilemu:", err)
		return ExitUsage
	case errors.Is(err, errWrong):
		fmt.Fprintln(streams.Err, "anvilemu:", err)
		return ExitWrong
	}
	fmt.Fprintln(streams.Err, "anvilemu:", err)
	return ExitFailed
}

func usage(format string, args ...any) error {
	return fmt.Errorf("%w: %s; list the flags with --help", errUsage, fmt.Sprintf(format, args...))
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return usage("unexpected argument %q", args[0])
	}
	return nil
}

// addresses splits a comma-separated list of addresses. It skips empty elements.
func addresses(list string) []anvilid.Address {
	var result []anvilid.Address
	for part := range strings.SplitSeq(list, ",") {
		if part = strings.TrimSpace(part); part != "" {
			result = append(result, anvilid.Address(part))
		}
	}
	return result
}

func newLogger(w io.Writer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), zap.InfoLevel))
}
