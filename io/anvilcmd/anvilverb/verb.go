// Package anvilverb implements the commands `list` and `view`, which work alike for instances,
// targets, jobs and configuration objects.
package anvilverb

import (
	"context"

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

// NewView returns the command `view`. It prints the item that fetch returns for the argument, which the
// text argument describes in errors, as JSON.
func NewView[T any](factory *anvilfactory.Factory, help Help, argument string, fetch func(context.Context, *anvilclient.Client, string) (T, error)) *ff.Command {
	flags := ff.NewFlagSet("view")
	clientFlags := factory.AddClientFlags(flags)
	return &ff.Command{
		Name: "view", Usage: help.Usage, ShortHelp: help.Short, LongHelp: help.long(), Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			id, err := anvilfactory.OneArgument(args, argument)
			if err != nil {
				return err
			}
			item, err := fetch(ctx, clientFlags.NewClient(), id)
			if err != nil {
				return anvilfactory.ExplainError(err)
			}
			return anviltable.WriteJSON(factory.Streams.Out, item)
		},
	}
}
