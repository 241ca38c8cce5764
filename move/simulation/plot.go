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

// Plot writes an SVG of a move: above the share of the new version, below the
// calls that its fault harmed in each second.
func Plot(w io.Writer, title string, end *Outcome) error {
	shares, err := shareFigure(title, end)
	if err != nil {
		return fmt.Errorf("draw the share: %w", err)
	}
	harms, err := harmFigure(end)
	if err != nil {
		return fmt.Errorf("draw the harm: %w", err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1}
	figures := [][]*plot.Plot{{shares}, {harms}}
	for row, cells := range plot.Align(figures, tiles, draw.New(canvas)) {
		figures[row][0].Draw(cells[0])
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write the plot: %w", err)
	}
	return nil
}

func shareFigure(title string, end *Outcome) (*plot.Plot, error) {
	points := make(plotter.XYs, len(end.Shares))
	for i, s := range end.Shares {
		points[i] = plotter.XY{X: float64(i), Y: 100 * fractionOf(s)}
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "share asked, %"
	p.Y.Min, p.Y.Max = 0, 100
	return p, addSteps(p, points, color.RGBA{B: 160, A: 255})
}

func harmFigure(end *Outcome) (*plot.Plot, error) {
	points := make(plotter.XYs, len(end.HarmedByWindow))
	for i, n := range end.HarmedByWindow {
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
		return fmt.Errorf("make a line of %d points: %w", len(points), err)
	}
	line.StepStyle = plotter.PostStep
	line.Color = shade
	p.Add(plotter.NewGrid(), line)
	return nil
}
