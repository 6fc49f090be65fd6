package anvilreportcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
)

// burnOptions contains the flags and dependencies of `anvilshunt report burn`, which reports how much
// of their error budgets the services have spent (burned).
type burnOptions struct {
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
	Service     string
	HTMLFile    string
	// WritePage writes the HTML page.
	WritePage func(name string, data []byte) error
}

func newBurn(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("burn")
	opts := &burnOptions{
		ClientFlags: factory.AddClientFlags(flags), Streams: factory.Streams,
		WritePage: func(name string, data []byte) error { return os.WriteFile(name, data, 0o644) },
	}
	flags.StringVar(&opts.Service, 0, "service", "", "report on this service only")
	flags.StringVar(&opts.HTMLFile, 0, "html", "", "also write an HTML page with plots to this file")
	return &ff.Command{
		Name:      "burn",
		Usage:     "anvilshunt report burn [--service NAME] [--json] [--html FILE]",
		ShortHelp: "show error budgets and burn rates of the service-level objectives",
		LongHelp: "The budget is the number of events of the last 30 days that the objective allows to be bad.\n" +
			"At a burn rate of 1, it lasts for exactly 30 days.\n\n" +
			"Example:\n  anvilshunt report burn\n  anvilshunt report burn --service planner --html burn.html",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := anvilfactory.NoArguments(args); err != nil {
				return err
			}
			return runBurn(ctx, opts)
		},
	}
}

func runBurn(ctx context.Context, opts *burnOptions) error {
	report, err := opts.ClientFlags.NewClient().Burn(ctx, anvilid.ServiceName(opts.Service))
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.HTMLFile != "" {
		page, err := renderPage(report)
		if err == nil {
			err = opts.WritePage(opts.HTMLFile, page)
		}
		if err != nil {
			return fmt.Errorf("write the page %s: %w; choose another file with --html", opts.HTMLFile, err)
		}
	}
	if opts.ClientFlags.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, report)
	}
	table := objectiveTable(report)
	if err := table.Write(opts.Streams); err != nil {
		return err
	}
	return writeNotes(opts.Streams.Err, report)
}

func writeNotes(out io.Writer, report anvilburn.Report) error {
	for _, note := range reportNotes(report) {
		if _, err := fmt.Fprintln(out, "note: "+note); err != nil {
			return err
		}
	}
	return nil
}

// objectiveTable returns a table with one row for each service-level objective of each service.
func objectiveTable(report anvilburn.Report) anviltable.Table {
	table := anviltable.Table{Heading: []string{"service", "objective", "goal", "events", "spent", "budget", "left"}}
	if len(report.Objectives) > 0 {
		for _, rate := range report.Objectives[0].Rates {
			table.Heading = append(table.Heading, "burn "+rate.Window)
		}
	}
	table.Heading = append(table.Heading, "accounts", "causes")
	for _, o := range report.Objectives {
		cells := []any{
			o.Service, o.Name, formatGoal(o), o.Total, o.Spent, fmt.Sprintf("%.1f", o.Budget), fmt.Sprintf("%.1f%%", 100*o.RemainingFraction()),
		}
		for _, rate := range o.Rates {
			cells = append(cells, fmt.Sprintf("%.2f", rate.Burn))
		}
		table.Add(append(cells, formatSpenders(o.Accounts), formatSpenders(o.Causes))...)
	}
	return table
}

func formatGoal(o anvilburn.Objective) string {
	if o.Limit == 0 {
		return fmt.Sprintf("%g%%", o.Percent)
	}
	return fmt.Sprintf("%g%% within %d ms", o.Percent, o.Limit)
}

func formatSpenders(list []anvilburn.Spender) string {
	if len(list) == 0 {
		return "-"
	}
	var texts []string
	for _, s := range list {
		texts = append(texts, fmt.Sprintf("%s:%d", s.Name, s.Spent))
	}
	return strings.Join(texts, ",")
}

// reportNotes returns notes on what the numbers of the report don't include, such as damaged or lost
// counts, and a note if no service has objectives.
func reportNotes(report anvilburn.Report) []string {
	var list []string
	add := func(count uint64, format string) {
		if count > 0 {
			list = append(list, fmt.Sprintf(format, count))
		}
	}
	if len(report.Objectives) == 0 {
		list = append(list, "no service has objectives; set `objectives` in the spec of a service")
	}
	skipped := report.Skipped
	add(skipped.Damaged, "%d minutes or hours of the history are damaged and were skipped")
	add(skipped.Lost, "%d requests are missing: instances dropped their counts while the control group was out of reach")
	add(skipped.Refused,
		"%d batches of counts were refused as too old, ahead of the current time or malformed; check the clocks of the instances")
	add(skipped.Full, "%d requests were not counted, because the limit on the counts of a minute or hour was reached")
	if skipped.Summed > 0 {
		list = append(list, fmt.Sprintf(
			"%d requests are counted under the account %s, because a minute keeps at most %d different counts and an hour %d",
			skipped.Summed, anvilburn.OtherAccounts, report.Limits.Minute, report.Limits.Hour))
	}
	return list
}
