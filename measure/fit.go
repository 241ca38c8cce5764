package measure

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through points by least squares.
type Fit struct {
	// Slope is the change of y for each step of x; Intercept is y at 0.
	Slope, Intercept float64
	// RSquared is the part of the variance that the line explains, 1 where
	// there is none.
	RSquared float64
	// MaxResidual is the largest distance of a point from the line along y.
	MaxResidual float64
}

// leastForFit is the number of points below which no line is fitted.
const leastForFit = 2

// fitLine returns the line through the points, or a zero Fit for too few.
func fitLine(points []Point) Fit {
	if len(points) < leastForFit {
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

// At returns the value of the line.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
