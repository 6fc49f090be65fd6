// Package anvilverb implements the commands `list` and `view`, which work alike for instances,
// targets, jobs and configuration objects.
package anvilverb

import (
	"context"
	"slices"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// Help is the help text of a command.
type Help struct {
	Usage string
	Short string
	// Example is the command line that the long help shows.
	Example string
}

func (h Help) long() string { return "Example:\n  " + h.Example }

// Rows describes the table in which items are listed.
type Rows[T any] struct {
	Heading []string
	Add     func(*anviltable.Table, T)
}

// NewList returns the command `list`. It prints the items that fetch returns, as a table or as JSON.
func NewList[T any](factory *anvilfactory.Factory, help Help, rows Rows[T], fetch func(context.Context, *anvilclient.Client) ([]T, error)) *ff.Command {
	flags := ff.NewFlagSet("list")
	clientFlags := factory.AddClientFlags(flags)
	return &ff.Command{
		Name: "list", Usage: help.Usage, ShortHelp: help.Short, LongHelp: help.long(), Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			items, err := fetch(ctx, clientFlags.NewClient())
			if err != nil {
				return anvilfactory.ExplainError(err)
			}
			if clientFlags.JSON {
				return anviltable.WriteJSON(factory.Streams.Out, items)
			}
			table := anviltable.Table{Heading: rows.Heading}
			for _, item := range items {
				rows.Add(&table, item)
			}
			return table.Write(factory.Streams)
		},
	}
}

// Item describes how the command `view` finds one item among all.
type Item[T any] struct {
	// Argument describes the argument of the command in errors.
	Argument string
	Matches  func(item T, argument string) bool
	// Missing returns the error for an argument that no item matches.
	Missing func(argument string) error
}

// NewView returns the command `view`. It prints the item that matches the argument, of those that fetch returns, as JSON.
func NewView[T any](factory *anvilfactory.Factory, help Help, item Item[T], fetch func(context.Context, *anvilclient.Client) ([]T, error)) *ff.Command {
	flags := ff.NewFlagSet("view")
	clientFlags := factory.AddClientFlags(flags)
	return &ff.Command{
		Name: "view", Usage: help.Usage, ShortHelp: help.Short, LongHelp: help.long(), Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			argument, err := anvilfactory.OneArgument(args, item.Argument)
			if err != nil {
				return err
			}
			items, err := fetch(ctx, clientFlags.NewClient())
			if err != nil {
				return anvilfactory.ExplainError(err)
			}
			i := slices.IndexFunc(items, func(candidate T) bool { return item.Matches(candidate, argument) })
			if i < 0 {
				return item.Missing(argument)
			}
			return anviltable.WriteJSON(factory.Streams.Out, items[i])
		},
	}
}
