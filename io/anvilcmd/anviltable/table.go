// Package anviltable writes the output of commands: tables, which are aligned on a terminal and
// tab-separated otherwise, and JSON.
package anviltable

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"anvilshunt/io/anvilcmd/anvilfactory"
)

// Table is a table with a heading row.
type Table struct {
	Heading []string
	Rows    [][]string
}

// Add appends a row. Each cell is formatted with fmt.Sprint.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.Rows = append(t.Rows, row)
}

// Write writes the table: aligned and with the heading if the output is a terminal, otherwise
// without the heading and with tabs between the cells, so that scripts can split the lines.
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
