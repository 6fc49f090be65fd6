package anvilreportcmd

import (
	"bytes"
	"errors"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
)

// Width and height of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// dayMillis is the number of milliseconds in a day. It scales the time axis.
const dayMillis = 24 * float64(anvilclock.Hour)

// burnWindow is the time span over which each plotted burn rate is computed. At a burn rate of 1, an
// error budget lasts for exactly 30 days.
const burnWindow = 5 * anvilclock.Minute

var errNoImage = errors.New("the plot library wrote no SVG element")

// plotBudget plots the remaining error budget of the last 30 days, in percent.
func plotBudget(report anvilburn.Report, o anvilburn.Objective) ([]byte, error) {
	points := plotter.XYs{{X: -float64(anvilburn.HourRetention) / dayMillis, Y: 100}}
	spent := uint64(0)
	for _, point := range o.Hours {
		spent += point.Spent
		left := 100.0
		if o.Budget > 0 {
			left = 100 * (1 - float64(spent)/o.Budget)
		}
		x := float64(point.At-report.At) / dayMillis
		points = append(points, plotter.XY{X: x, Y: points[len(points)-1].Y}, plotter.XY{X: x, Y: left})
	}
	points = append(points, plotter.XY{X: 0, Y: points[len(points)-1].Y})
	return renderPlot("Budget left over 30 days", "days", "percent", points)
}

// plotBurn plots the burn rate, one point per burnWindow, over the last 6 hours (MinuteRetention), for
// which counts per minute are stored.
func plotBurn(report anvilburn.Report, o anvilburn.Objective) ([]byte, error) {
	var points plotter.XYs
	first := report.At - report.At%anvilclock.Minute - anvilburn.MinuteRetention + burnWindow
	at := 0 // index of the next element of o.Minutes to count
	for end := first; end <= report.At; end += burnWindow {
		total, spent := uint64(0), uint64(0)
		for ; at < len(o.Minutes) && o.Minutes[at].At < end; at++ {
			total += o.Minutes[at].Total
			spent += o.Minutes[at].Spent
		}
		points = append(points, plotter.XY{X: float64(end-report.At) / float64(anvilclock.Hour), Y: o.BurnRate(total, spent)})
	}
	return renderPlot("Burn rate over 5 minutes", "hours", "burn rate", points)
}

// renderPlot plots the points as one line and returns the plot as an SVG element.
func renderPlot(title, x, y string, points plotter.XYs) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	p.Add(plotter.NewGrid(), line)
	p.Y.Min = min(p.Y.Min, 0)
	p.Y.Max = max(p.Y.Max, 1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, err
	}
	// Skip the prologue: its document type declaration refers to another server.
	at := bytes.Index(out.Bytes(), []byte("<svg"))
	if at < 0 {
		return nil, errNoImage
	}
	return out.Bytes()[at:], nil
}
