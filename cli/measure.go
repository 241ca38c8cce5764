package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/measure"
)

const (
	flagPoints   = "points"
	flagDuration = "duration"
	flagPlot     = "plot"
)

func measureCommand() *urfave.Command {
	var list strings.Builder
	for _, m := range measure.All() {
		_, _ = fmt.Fprintf(&list, "%-12s %s\n", m.Name, m.Usage)
	}
	return &urfave.Command{
		Name:        "measure",
		Usage:       "measure the costs of the system and the outcomes of simulated moves, in one process",
		ArgsUsage:   "NAME",
		Description: list.String(),
		Flags: []urfave.Flag{
			&urfave.IntSliceFlag{Name: flagPoints, Usage: "`VALUES` of the varied quantity (default: of the measurement)"},
			&urfave.DurationFlag{Name: flagDuration, Usage: "time for each point; state and moves ignore it (default: of the measurement)"},
			&urfave.StringFlag{Name: flagPlot, Usage: "write an SVG plot of each series to this `FOLDER`"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, cmd *urfave.Command) error {
	name, err := argument(cmd, "NAME")
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "hornbeamwell-measure-")
	if err != nil {
		return fmt.Errorf("create a temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	options := measure.Options{
		Points:   cmd.IntSlice(flagPoints),
		Duration: cmd.Duration(flagDuration),
		Folder:   folder,
		Progress: func(line string) { _, _ = fmt.Fprintln(cmd.Root().ErrWriter, line) },
	}
	var result *measure.Result
	err = runUntilSignal(ctx, func(ctx context.Context) error {
		var err error
		result, err = measure.Run(ctx, name, options)
		return err
	})
	if errors.Is(err, measure.ErrUnknownMeasurement) {
		return &UsageError{Problem: err.Error()}
	}
	if err != nil {
		return err
	}
	if err := writePlots(cmd.String(flagPlot), result); err != nil {
		return err
	}
	return printValue(cmd, newMeasureOutput(result), func(w io.Writer) { printMeasure(w, result) })
}

// writePlots writes an SVG file for each series, named after the measurement and
// the series.
func writePlots(folder string, result *measure.Result) error {
	if folder == "" {
		return nil
	}
	for _, series := range result.Series {
		data, err := result.SVG(series)
		if err != nil {
			return err
		}
		name := strings.ReplaceAll(result.Name+" "+series.Name, " ", "-") + ".svg"
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			return fmt.Errorf("write plot: %w", err)
		}
	}
	return nil
}

// measureOutput is the JSON output of measure.
type measureOutput struct {
	Name   string         `json:"name"`
	Varied string         `json:"varied"`
	Series []seriesOutput `json:"series"`
	At     time.Time      `json:"at"`
}

type seriesOutput struct {
	Name   string        `json:"name"`
	Unit   string        `json:"unit"`
	Points []pointOutput `json:"points"`
	Fit    fitOutput     `json:"fit"`
}

type pointOutput struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

type fitOutput struct {
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	RSquared    float64 `json:"r_squared"`
	MaxResidual float64 `json:"max_residual"`
}

func newMeasureOutput(r *measure.Result) measureOutput {
	output := measureOutput{Name: r.Name, Varied: r.Varied, At: time.Now().UTC()}
	for _, s := range r.Series {
		series := seriesOutput{Name: s.Name, Unit: s.Unit, Fit: fitOutput(s.Fit)}
		for _, p := range s.Points {
			series.Points = append(series.Points, pointOutput(p))
		}
		output.Series = append(output.Series, series)
	}
	return output
}

func printMeasure(w io.Writer, r *measure.Result) {
	rows := make([][]string, 0, len(r.Series))
	for _, s := range r.Series {
		rows = append(rows, []string{
			s.Name, formatFloat(s.Fit.Slope), formatFloat(s.Fit.Intercept),
			formatFloat(s.Fit.RSquared), formatFloat(s.Fit.MaxResidual), s.Unit,
		})
	}
	_, _ = fmt.Fprintf(w, "%s: lines through the points over %s\n\n", r.Name, r.Varied)
	printTable(w, "SERIES SLOPE INTERCEPT R_SQUARED MAX_RESIDUAL UNIT", rows)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', 4, 64) }
