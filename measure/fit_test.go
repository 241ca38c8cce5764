package measure

import (
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	fit := fitLine([]Point{{1, 5}, {2, 7}, {3, 9.6}, {4, 11}})
	if math.Abs(fit.Slope-2.06) > 1e-9 || math.Abs(fit.Intercept-3) > 1e-9 {
		t.Errorf("line %v x + %v, want 2.06 x + 3", fit.Slope, fit.Intercept)
	}
	if math.Abs(fit.MaxResidual-0.42) > 1e-9 || fit.RSquared < 0.98 || fit.RSquared >= 1 {
		t.Errorf("max residual %v and R² %v, want 0.42 and a value from 0.98 to below 1", fit.MaxResidual, fit.RSquared)
	}
	if got := fitLine([]Point{{1, 5}}); got != (Fit{}) {
		t.Errorf("one point gives the line %v, want none", got)
	}
}

func TestFitLineOfEqualValues(t *testing.T) {
	fit := fitLine([]Point{{X: 1, Y: 100}, {X: 2, Y: 100}, {X: 3, Y: 100}})
	if fit.Slope != 0 || fit.Intercept != 100 || fit.RSquared != 1 {
		t.Errorf("fit %+v, want a horizontal line at 100 with R² 1", fit)
	}
}
