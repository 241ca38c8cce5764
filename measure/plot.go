package measure

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// SVG returns a plot of a series and its fitted line.
func (r *Result) SVG(series Series) ([]byte, error) {
	p := plot.New()
	p.Title.Text = r.Name + ": " + series.Name
	p.X.Label.Text = r.Varied
	p.Y.Label.Text = series.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, 0, len(series.Points))
	for _, point := range series.Points {
		points = append(points, plotter.XY{X: point.X, Y: point.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, fmt.Errorf("plot points: %w", err)
	}
	p.Add(plotter.NewGrid(), scatter, plotter.NewFunction(series.Fit.At))
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, fmt.Errorf("draw plot: %w", err)
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("write plot: %w", err)
	}
	return out.Bytes(), nil
}
