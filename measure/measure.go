package measure

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// Bounds of Options. Measurement.limit overrides maxPoint.
const (
	maxPoint    = 2_000
	maxPoints   = 12
	maxDuration = 30 * time.Second
)

// ErrUnknownMeasurement is returned by Run for a name that no measurement has.
var ErrUnknownMeasurement = errors.New("no such measurement")

// Options configures a run of a measurement.
type Options struct {
	// Points are the values of the varied quantity. If empty, the defaults of
	// the measurement are used.
	Points []int
	// Duration is the time for which each point is measured. The measurement
	// convergence waits for it before its changes instead, and state and moves ignore
	// it. If zero, the default of the measurement is used.
	Duration time.Duration
	// Folder holds the data folders of control instances while a point is
	// measured. Empty means the default folder for temporary files.
	Folder string
	// Progress receives a line for each measured point. It must not be nil.
	Progress func(line string)
	// observe returns the observations of moves that each proxy reports. It may
	// be nil.
	observe func() []hornbeamwell.Observation
}

// Result is the result of a measurement.
type Result struct {
	Name string
	// Varied names the quantity on the horizontal axis.
	Varied string
	Series []Series
}

// Series holds the values of one measured quantity.
type Series struct {
	Name, Unit string
	Points     []Point
	// Fit is the straight line through the points.
	Fit Fit
}

// Point is one measured value Y at the value X of the varied quantity.
type Point struct {
	X, Y float64
}

// Measurement describes a measurement that Run can perform.
type Measurement struct {
	Name, Usage string
	points      []int
	// limit is the largest allowed point; 0 means maxPoint.
	limit    int
	duration time.Duration
	varied   string
	// run measures one point and returns one value for each series.
	run    func(ctx context.Context, options Options, x int) ([]float64, error)
	series []Series
}

// All returns every measurement.
func All() []Measurement {
	return []Measurement{hops(), convergence(), control(), churn(), state(), evidence(), moves()}
}

// Run runs the measurement with the name. The result lists the series with their
// points and fitted lines.
func Run(ctx context.Context, name string, options Options) (*Result, error) {
	all := All()
	i := slices.IndexFunc(all, func(m Measurement) bool { return m.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("%q: %w; the measurements are %s", name, ErrUnknownMeasurement, strings.Join(names(all), ", "))
	}
	m := all[i]
	if len(options.Points) == 0 {
		options.Points = m.points
	}
	if options.Duration == 0 {
		options.Duration = m.duration
	}
	if err := options.check(cmp.Or(m.limit, maxPoint)); err != nil {
		return nil, err
	}
	return m.measure(ctx, options)
}

func names(all []Measurement) []string {
	list := make([]string, 0, len(all))
	for _, m := range all {
		list = append(list, m.Name)
	}
	return list
}

func (o Options) check(limit int) error {
	if len(o.Points) > maxPoints {
		return fmt.Errorf("%d points, want at most %d", len(o.Points), maxPoints)
	}
	for _, x := range o.Points {
		if x < 1 || x > limit {
			return fmt.Errorf("point %d is not between 1 and %d", x, limit)
		}
	}
	if o.Duration <= 0 || o.Duration > maxDuration {
		return fmt.Errorf("duration %s is out of range: it must be above 0 and at most %s", o.Duration, maxDuration)
	}
	return nil
}

func (m Measurement) measure(ctx context.Context, options Options) (*Result, error) {
	result := &Result{Name: m.Name, Varied: m.varied, Series: slices.Clone(m.series)}
	for _, x := range options.Points {
		values, err := m.run(ctx, options, x)
		if err != nil {
			return nil, fmt.Errorf("measure %s at %d: %w", m.Name, x, err)
		}
		for i, y := range values {
			result.Series[i].Points = append(result.Series[i].Points, Point{X: float64(x), Y: y})
		}
		options.Progress(describe(m, x, values))
	}
	for i := range result.Series {
		result.Series[i].Fit = fitLine(result.Series[i].Points)
	}
	return result, nil
}

func describe(m Measurement, x int, values []float64) string {
	parts := make([]string, 0, len(values))
	for i, y := range values {
		parts = append(parts, fmt.Sprintf("%s %.4g %s", m.series[i].Name, y, m.series[i].Unit))
	}
	return fmt.Sprintf("%d %s: %s", x, m.varied, strings.Join(parts, ", "))
}
