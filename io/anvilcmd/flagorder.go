package anvilcmd

import (
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// boolFlags contains the flags without a value of all commands. The argument after such a flag is not
// the value of the flag.
var boolFlags = map[string]bool{"json": true, "accept-loss": true, "help": true, "h": true}

// flagsFirst returns args with the flags in front of the positional arguments, because the flag
// library stops parsing flags at the first positional argument. Arguments after "--" stay where
// they are.
func flagsFirst(root *ff.Command, args []string) []string {
	command, path := root, 0
	for path < len(args) {
		next := subcommand(command, args[path])
		if next == nil {
			break
		}
		command = next
		path++
	}
	reordered := append([]string(nil), args[:path]...)
	var arguments []string
	rest := args[path:]
	for i := 0; i < len(rest); i++ {
		name := strings.TrimLeft(rest[i], "-")
		switch {
		case rest[i] == "--":
			return append(append(reordered, arguments...), rest[i:]...)
		case !strings.HasPrefix(rest[i], "-"):
			arguments = append(arguments, rest[i])
		case strings.Contains(name, "=") || boolFlags[name] || i+1 == len(rest):
			reordered = append(reordered, rest[i])
		default:
			reordered = append(reordered, rest[i], rest[i+1])
			i++
		}
	}
	return append(reordered, arguments...)
}

func subcommand(command *ff.Command, name string) *ff.Command {
	for _, sub := range command.Subcommands {
		if sub.Name == name {
			return sub
		}
	}
	return nil
}
