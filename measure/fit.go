package measure

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line fitted to points by least squares.
type Fit struct {
	// Slope is the change of y when x grows by 1; Intercept is y at x = 0.
	Slope, Intercept float64
	// RSquared is the coefficient of determination, 1 if all y are equal.
	RSquared float64
	// MaxResidual is the largest distance along y between a point and the line.
	MaxResidual float64
}

// minFitPoints is the smallest number of points to which a line is fitted.
const minFitPoints = 2

// fitLine fits a line to the points. It returns the zero Fit for fewer than
// minFitPoints.
func fitLine(points []Point) Fit {
	if len(points) < minFitPoints {
		return Fit{}
	}
	xs := make([]float64, 0, len(points))
	ys := make([]float64, 0, len(points))
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{Slope: slope, Intercept: intercept, RSquared: stat.RSquared(xs, ys, nil, intercept, slope)}
	if math.IsNaN(fit.RSquared) {
		fit.RSquared = 1
	}
	for _, p := range points {
		fit.MaxResidual = max(fit.MaxResidual, math.Abs(p.Y-fit.At(p.X)))
	}
	return fit
}

// At returns the y of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
