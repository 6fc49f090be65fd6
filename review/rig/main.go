// Command rig runs the scripted cases of the second review. It starts the project's own programs and stand-in
// workers as separate processes on loopback addresses, plays the operator and the clients, and checks one rule.
//
// The subcommand "worker" is one stand-in worker. Each other subcommand is a case.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig worker|CASE [flags]")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(runCase(play))
}
