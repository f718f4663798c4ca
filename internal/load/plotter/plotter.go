// Package plotter draws the timeline of a load report as an SVG or PNG file: the 99th percentile of the
// latency or the mean coverage in each window, with the faults marked.
package plotter

import (
	"fmt"
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	width  = 24 * vg.Centimeter
	height = 10 * vg.Centimeter
)

type (
	// Config holds what a Plotter needs.
	Config struct {
		Report *pb.LoadReport
	}

	// Plotter draws one report.
	Plotter struct {
		report *pb.LoadReport
	}
)

// New returns a Plotter.
func New(c Config) *Plotter {
	return &Plotter{report: c.Report}
}

// DrawLatency writes the 99th percentile of the latency over time to the file; its extension selects SVG or PNG.
func (p *Plotter) DrawLatency(file string) error {
	return p.draw(file, "latency, ms (99th percentile of each window)",
		func(w *pb.WindowReport) float64 { return w.GetP99Ms() })
}

// DrawCoverage writes the mean coverage over time to the file; its extension selects SVG or PNG.
func (p *Plotter) DrawCoverage(file string) error {
	return p.draw(file, "mean coverage", func(w *pb.WindowReport) float64 { return w.GetMeanCoverage() })
}

func (p *Plotter) draw(file, title string, value func(w *pb.WindowReport) float64) error {
	chart := plot.New()
	chart.Title.Text = p.report.GetLabel()
	chart.X.Label.Text = "time, s"
	chart.Y.Label.Text = title
	chart.Legend.Top = true
	highest := 0.0
	for i, c := range p.report.GetClasses() {
		points := plotter.XYs{}
		for _, w := range c.GetWindows() {
			if w.GetAnswers() == 0 {
				continue
			}
			points = append(points, plotter.XY{X: w.GetStart().AsDuration().Seconds(), Y: value(w)})
			highest = max(highest, value(w))
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "draw line")
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(fmt.Sprintf("%s/%s", c.GetService(), c.GetClass()), line)
	}
	if err := p.markFaults(chart, highest); err != nil {
		return err
	}
	return errors.Wrap(chart.Save(width, height, file), "save plot")
}

func (p *Plotter) markFaults(chart *plot.Plot, highest float64) error {
	for _, f := range p.report.GetFaults() {
		at := f.GetAt().AsDuration().Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: highest}})
		if err != nil {
			return errors.Wrap(err, "mark fault")
		}
		mark.Color = color.Gray{Y: 128}
		mark.Dashes = plotutil.Dashes(1)
		chart.Add(mark)
		labels, err := plotter.NewLabels(plotter.XYLabels{
			XYs: plotter.XYs{{X: at, Y: highest}}, Labels: []string{f.GetLabel()},
		})
		if err != nil {
			return errors.Wrap(err, "label fault")
		}
		chart.Add(labels)
	}
	return nil
}
