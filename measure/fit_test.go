package measure

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestFitLine(t *testing.T) {
	fit := fitLine([]Point{{1, 5}, {2, 7}, {3, 9.6}, {4, 11}})
	if math.Abs(fit.Slope-2.06) > 1e-9 || math.Abs(fit.Intercept-3) > 1e-9 {
		t.Errorf("line %v x + %v, want 2.06 x + 3", fit.Slope, fit.Intercept)
	}
	if math.Abs(fit.MaxResidual-0.42) > 1e-9 || fit.RSquared < 0.98 || fit.RSquared >= 1 {
		t.Errorf("max residual %v, R² %v", fit.MaxResidual, fit.RSquared)
	}
	if got := fitLine([]Point{{1, 5}}); got != (Fit{}) {
		t.Errorf("one point gives the line %v, want none", got)
	}
}

// TestMeasureConvergence runs a small measurement over real sockets.
func TestMeasureConvergence(t *testing.T) {
	var lines []string
	result, err := Run(t.Context(), "convergence", Options{
		Points: []int{2, 6}, Duration: 10 * time.Millisecond, Folder: t.TempDir(),
		Progress: func(line string) { lines = append(lines, line) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) != 2 || len(result.Series) != 2 || len(result.Series[0].Points) != 2 {
		t.Fatalf("lines %q, result %+v", lines, result)
	}
	for _, p := range result.Series[1].Points {
		if p.Y <= 0 || p.Y > 10_000 {
			t.Errorf("leader reported the version in force after %v ms", p.Y)
		}
	}
	svg, err := result.SVG(result.Series[1])
	if err != nil || !strings.Contains(string(svg), "<svg") {
		t.Errorf("plot: %v", err)
	}
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	for _, options := range []Options{{Points: []int{0}}, {Points: []int{5_000}}, {Duration: time.Hour}} {
		if _, err := Run(t.Context(), "control", options); err == nil {
			t.Errorf("options %+v are accepted", options)
		}
	}
	if _, err := Run(t.Context(), "nothing", Options{}); err == nil {
		t.Error("an unknown measurement is accepted")
	}
}

func TestFitLineOfEqualValues(t *testing.T) {
	fit := fitLine([]Point{{X: 1, Y: 100}, {X: 2, Y: 100}, {X: 3, Y: 100}})
	if fit.Slope != 0 || fit.Intercept != 100 || fit.RSquared != 1 {
		t.Errorf("got %+v, want a horizontal line at 100 with R² 1", fit)
	}
}
