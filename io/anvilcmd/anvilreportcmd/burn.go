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

// burnOptions are the options of `report burn`.
type burnOptions struct {
	Remote  *anvilfactory.ClientFlags
	Streams anvilfactory.Streams
	Service string
	HTML    string
	// Write writes the page.
	Write func(name string, data []byte) error
}

func newBurn(factory *anvilfactory.Factory) *ff.Command {
	flags := ff.NewFlagSet("burn")
	opts := &burnOptions{
		Remote: factory.AddClientFlags(flags), Streams: factory.Streams,
		Write: func(name string, data []byte) error { return os.WriteFile(name, data, 0o644) },
	}
	flags.StringVar(&opts.Service, 0, "service", "", "report on this service only")
	flags.StringVar(&opts.HTML, 0, "html", "", "also write a page with plots to this file")
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
	report, err := opts.Remote.NewClient().Burn(ctx, anvilid.ServiceName(opts.Service))
	if err != nil {
		return anvilfactory.ExplainError(err)
	}
	if opts.HTML != "" {
		page, err := renderPage(report)
		if err == nil {
			err = opts.Write(opts.HTML, page)
		}
		if err != nil {
			return fmt.Errorf("write the page %s: %w; choose another file with --html", opts.HTML, err)
		}
	}
	if opts.Remote.JSON {
		return anviltable.WriteJSON(opts.Streams.Out, report)
	}
	table := tableOf(report)
	if err := table.Write(opts.Streams); err != nil {
		return err
	}
	return writeNotes(opts.Streams.Err, report)
}

func writeNotes(out io.Writer, report anvilburn.Report) error {
	for _, note := range notes(report) {
		if _, err := fmt.Fprintln(out, "note: "+note); err != nil {
			return err
		}
	}
	return nil
}

// tableOf lists the objectives, one a row.
func tableOf(report anvilburn.Report) anviltable.Table {
	table := anviltable.Table{Heading: []string{"service", "objective", "goal", "events", "spent", "budget", "left"}}
	if len(report.Objectives) > 0 {
		for _, rate := range report.Objectives[0].Rates {
			table.Heading = append(table.Heading, "burn "+rate.Window)
		}
	}
	table.Heading = append(table.Heading, "accounts", "causes")
	for _, o := range report.Objectives {
		cells := []any{
			o.Service, o.Name, goal(o), o.Total, o.Spent, fmt.Sprintf("%.1f", o.Budget), fmt.Sprintf("%.1f%%", 100*o.RemainingFraction()),
		}
		for _, rate := range o.Rates {
			cells = append(cells, fmt.Sprintf("%.2f", rate.Burn))
		}
		table.Add(append(cells, spenders(o.Accounts), spenders(o.Causes))...)
	}
	return table
}

func goal(o anvilburn.Objective) string {
	if o.Limit == 0 {
		return fmt.Sprintf("%g%%", o.Percent)
	}
	return fmt.Sprintf("%g%% within %d ms", o.Percent, o.Limit)
}

func spenders(list []anvilburn.Spender) string {
	if len(list) == 0 {
		return "-"
	}
	var texts []string
	for _, s := range list {
		texts = append(texts, fmt.Sprintf("%s:%d", s.Name, s.Spent))
	}
	return strings.Join(texts, ",")
}

// notes says what the figures leave out.
func notes(report anvilburn.Report) []string {
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
	add(skipped.Refused, "%d batches of counts were refused as too old, ahead of the time or malformed; check the clocks of the instances")
	add(skipped.Full, "%d counts found no room in a minute or hour and were skipped")
	if skipped.Summed > 0 {
		list = append(list, fmt.Sprintf("%d counts are under the account %s, because a minute keeps %d kinds of counts and an hour %d",
			skipped.Summed, anvilburn.OtherAccounts, report.Limits.Minute, report.Limits.Hour))
	}
	return list
}
