package anvilreportcmd

import (
	"bytes"
	"fmt"
	"html/template"
	"time"

	"anvilshunt/core/anvilburn"
)

// page is the template of the HTML page that `anvilshunt report burn --html` writes. The page is
// self-contained: it has no scripts and loads no other files.
var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Error budgets and burn rates</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.3em 0.6em; text-align: left; }
figure { display: inline-block; margin: 1em 1em 1em 0; }
</style>
</head>
<body>
<h1>Error budgets and burn rates</h1>
<p>As of {{.At}}. Budgets are those of the last 30 days; at a burn rate of 1, a budget lasts for exactly 30 days.</p>
{{range .Notes}}<p class="note">Note: {{.}}</p>
{{end}}<table>
<tr>{{range .Heading}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Sections}}<h2>{{.Title}}</h2>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}{{end}}</body>
</html>
`))

// section is the part of the HTML page about one service-level objective of one service.
type section struct {
	Title string
	Plots []template.HTML
}

func renderPage(report anvilburn.Report) ([]byte, error) {
	table := objectiveTable(report)
	data := struct {
		At       string
		Notes    []string
		Heading  []string
		Rows     [][]string
		Sections []section
	}{
		At:    time.UnixMilli(int64(report.At)).UTC().Format(time.RFC3339),
		Notes: reportNotes(report), Heading: table.Heading, Rows: table.Rows,
	}
	for _, o := range report.Objectives {
		s := section{Title: fmt.Sprintf("%s: %s, %s", o.Service, o.Name, formatGoal(o))}
		for _, draw := range []func(anvilburn.Report, anvilburn.Objective) ([]byte, error){plotBudget, plotBurn} {
			svg, err := draw(report, o)
			if err != nil {
				return nil, fmt.Errorf("plot objective %s of service %q: %w", o.Name, o.Service, err)
			}
			// The plot needs no escaping: it contains only numbers and fixed texts, no names.
			s.Plots = append(s.Plots, template.HTML(svg))
		}
		data.Sections = append(data.Sections, s)
	}
	var out bytes.Buffer
	err := page.Execute(&out, data)
	return out.Bytes(), err
}
