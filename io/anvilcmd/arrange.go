package anvilcmd

import (
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// switches are the flags without a value.
var switches = map[string]bool{"json": true, "accept-loss": true, "help": true, "h": true}

// arrange moves flags that follow arguments before them, because the flag
// library stops at the first argument.
func arrange(root *ff.Command, args []string) []string {
	command, path := root, 0
	for path < len(args) {
		next := subcommand(command, args[path])
		if next == nil {
			break
		}
		command = next
		path++
	}
	arranged := append([]string(nil), args[:path]...)
	var plain []string
	rest := args[path:]
	for i := 0; i < len(rest); i++ {
		name := strings.TrimLeft(rest[i], "-")
		switch {
		case rest[i] == "--":
			return append(append(arranged, plain...), rest[i:]...)
		case !strings.HasPrefix(rest[i], "-"):
			plain = append(plain, rest[i])
		case strings.Contains(name, "=") || switches[name] || i+1 == len(rest):
			arranged = append(arranged, rest[i])
		default:
			arranged = append(arranged, rest[i], rest[i+1])
			i++
		}
	}
	return append(arranged, plain...)
}

func subcommand(command *ff.Command, name string) *ff.Command {
	for _, sub := range command.Subcommands {
		if sub.Name == name {
			return sub
		}
	}
	return nil
}
