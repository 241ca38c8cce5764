package simulation

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes an SVG of a move. It shows the decided share of the canary at the
// top and the calls harmed by the fault per second at the bottom.
func Plot(w io.Writer, title string, outcome *Outcome) error {
	shares, err := shareFigure(title, outcome)
	if err != nil {
		return fmt.Errorf("plot the share: %w", err)
	}
	harms, err := harmFigure(outcome)
	if err != nil {
		return fmt.Errorf("plot the harmed calls: %w", err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1}
	figures := [][]*plot.Plot{{shares}, {harms}}
	for row, cells := range plot.Align(figures, tiles, draw.New(canvas)) {
		figures[row][0].Draw(cells[0])
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write the SVG: %w", err)
	}
	return nil
}

func shareFigure(title string, outcome *Outcome) (*plot.Plot, error) {
	points := make(plotter.XYs, len(outcome.Shares))
	for i, s := range outcome.Shares {
		points[i] = plotter.XY{X: float64(i), Y: 100 * fractionOf(s)}
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "decided share, %"
	p.Y.Min, p.Y.Max = 0, 100
	return p, addSteps(p, points, color.RGBA{B: 160, A: 255})
}

func harmFigure(outcome *Outcome) (*plot.Plot, error) {
	points := make(plotter.XYs, len(outcome.HarmedByWindow))
	for i, n := range outcome.HarmedByWindow {
		points[i] = plotter.XY{X: float64(i), Y: float64(n)}
	}
	p := plot.New()
	p.X.Label.Text = "seconds after the start"
	p.Y.Label.Text = "harmed calls/s"
	p.Y.Min, p.Y.Max = 0, 1
	return p, addSteps(p, points, color.RGBA{R: 190, A: 255})
}

func addSteps(p *plot.Plot, points plotter.XYs, shade color.Color) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot a line of %d points: %w", len(points), err)
	}
	line.StepStyle = plotter.PostStep
	line.Color = shade
	p.Add(plotter.NewGrid(), line)
	return nil
}
