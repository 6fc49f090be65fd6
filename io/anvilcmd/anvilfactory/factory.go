// Package anvilfactory provides the dependencies of the commands (streams, signals, a clock and an
// HTTP client), the flags they share, and the errors that determine the exit code.
package anvilfactory

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/term"

	"anvilshunt/core/anvilclock"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that a valid command failed, for example because the system refused it.
	ExitFailed = 1
	// ExitUsage means that the command line, a settings file or a change set is invalid.
	ExitUsage = 2
	// ExitUnavailable means that no instance could be reached.
	ExitUnavailable = 3
)

// Errors that ExitCode maps to ExitUsage and ExitUnavailable.
var (
	ErrUsage       = errors.New("usage")
	ErrUnavailable = errors.New("unavailable")
)

// UsageErrorf returns a formatted error that wraps ErrUsage, for an invalid command line, settings
// file or change set.
func UsageErrorf(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrUsage, fmt.Errorf(format, args...))
}

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailed
}

// Streams contains the input and output streams of a command.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // whether Out is a terminal
}

// Factory contains the dependencies that every command receives. Tests replace them.
type Factory struct {
	Streams Streams
	Clock   anvilclock.Clock
	Client  func() *http.Client
	Env     func(string) string
	Signals func() <-chan os.Signal
}

// System returns a Factory with the standard streams, environment and signals of the process.
func System() *Factory {
	return &Factory{
		Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: term.IsTerminal(int(os.Stdout.Fd()))},
		Clock:   anvilclock.Wall(),
		Client:  func() *http.Client { return &http.Client{} },
		Env:     os.Getenv,
		Signals: func() <-chan os.Signal {
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			return signals
		},
	}
}
