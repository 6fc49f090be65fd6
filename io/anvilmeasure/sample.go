package anvilmeasure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// sample is a set of measured durations, of which a table shows quantiles.
type sample []time.Duration

// quantile returns the smallest value v of the sample such that at least the given fraction of the values
// is <= v. It returns 0 for an empty sample.
func (s sample) quantile(fraction float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[max(0, int(math.Ceil(fraction*float64(len(sorted))))-1)]
}

func (s sample) max() time.Duration { return s.quantile(1) }

// Table is the result of a measurement: rows of values, and notes on how they were measured.
type Table struct {
	Name    string     `json:"name"`
	Load    string     `json:"load"` // load average of the machine at the start and at the end
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Notes   []string   `json:"notes,omitempty"`
}

func (t *Table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		switch value := cell.(type) {
		case time.Duration:
			row[i] = milliseconds(value)
		case float64:
			row[i] = fmt.Sprintf("%.1f", value)
		default:
			row[i] = fmt.Sprint(value)
		}
	}
	t.Rows = append(t.Rows, row)
}

func (t *Table) addNote(format string, args ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
}

func milliseconds(d time.Duration) string {
	if d < 10*time.Millisecond {
		return fmt.Sprintf("%.3f ms", float64(d)/1e6)
	}
	return fmt.Sprintf("%.0f ms", float64(d)/1e6)
}

// Write prints the table.
func (t *Table) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s (load average %s)\n", t.Name, t.Load)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, note := range t.Notes {
		fmt.Fprintln(w, note)
	}
	return nil
}
