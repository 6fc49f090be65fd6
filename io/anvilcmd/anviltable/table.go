// Package anviltable writes lists: aligned columns on a terminal,
// tab-separated text in pipes, or JSON.
package anviltable

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// Table is a list with a heading.
type Table struct {
	Heading []string
	Rows    [][]string
}

// Add adds a row.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.Rows = append(t.Rows, row)
}

// Write writes the table for people or for pipes.
func (t *Table) Write(streams anvilfactory.Streams) error {
	if !streams.Terminal {
		for _, row := range t.Rows {
			if _, err := fmt.Fprintln(streams.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	out := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.ToUpper(strings.Join(t.Heading, "\t")))
	for _, row := range t.Rows {
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return out.Flush()
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
