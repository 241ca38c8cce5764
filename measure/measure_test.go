package measure

import (
	"strings"
	"testing"
	"time"
)

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
		t.Fatalf("progress %q and result %+v, want 2 lines and 2 series of 2 points", lines, result)
	}
	for _, p := range result.Series[1].Points {
		if p.Y <= 0 || p.Y > 10_000 {
			t.Errorf("leader reported the version in force after %v ms, want above 0 and at most 10000 ms", p.Y)
		}
	}
	svg, err := result.SVG(result.Series[1])
	if err != nil || !strings.Contains(string(svg), "<svg") {
		t.Errorf("the plot is not an SVG file; error: %v", err)
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
