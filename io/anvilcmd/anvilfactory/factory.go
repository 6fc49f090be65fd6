// Package anvilfactory holds what the commands of the command line are given:
// streams, signals, a clock and a client.
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
	// ExitFailed reports that a command could not do what it was asked.
	ExitFailed = 1
	// ExitUsage reports a wrong command line, settings file or change set.
	ExitUsage = 2
	// ExitUnavailable reports that no instance could be reached.
	ExitUnavailable = 3
)

// Errors that decide the exit code.
var (
	ErrUsage       = errors.New("usage")
	ErrUnavailable = errors.New("unavailable")
)

// UsageErrorf returns an error about the command line.
func UsageErrorf(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrUsage, fmt.Errorf(format, args...))
}

// ExitCode returns the exit code for the error of a command.
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

// Streams are the input and output of a command.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // Out is a terminal
}

// Factory is given to every command.
type Factory struct {
	Streams Streams
	Clock   anvilclock.Clock
	Client  func() *http.Client
	Env     func(string) string
	Signals func() <-chan os.Signal
}

// System returns the factory of the process.
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
