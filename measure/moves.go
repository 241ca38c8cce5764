package measure

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/move/simulation"
)

// movesSeed seeds the generated moves, which are the same in every run.
const movesSeed = 6

// hundredPercent converts a fraction to a percentage.
const hundredPercent = 100

// moves returns the measurement of the outcomes of generated moves of the
// simulated deployments, decided by the policy and by a baseline with fixed steps
// and a threshold.
func moves() Measurement {
	m := Measurement{
		Name:     "moves",
		Usage:    "outcomes of generated moves of two deployments, with the policy and with fixed steps and a threshold",
		points:   []int{500, 1000, 2000},
		limit:    10_000,
		duration: time.Second,
		varied:   "moves",
		run: func(_ context.Context, _ Options, x int) ([]float64, error) {
			return simulateMoves(x), nil
		},
	}
	for _, d := range simulation.Deployments() {
		for _, strategy := range []string{"policy", "baseline"} {
			m.series = append(m.series,
				Series{Name: d.Name + ", " + strategy + ": bad taken back", Unit: "percent"},
				Series{Name: d.Name + ", " + strategy + ": good in time", Unit: "percent"},
				Series{Name: d.Name + ", " + strategy + ": good found bad", Unit: "percent"},
			)
		}
	}
	return m
}

// simulateMoves simulates count moves of each deployment and returns the values
// of the series of moves.
func simulateMoves(count int) []float64 {
	var values []float64
	for _, d := range simulation.Deployments() {
		policy, baseline := simulation.Run(move.DefaultPolicy(), d, count, movesSeed)
		for _, r := range []simulation.Result{policy, baseline} {
			bad := r.Bad()
			values = append(values,
				percent(bad.TakenBack, bad.Moves),
				percent(r.InTime, r.Good),
				percent(r.FalseTakeBacks, r.Good),
			)
		}
	}
	return values
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return hundredPercent * float64(part) / float64(whole)
}
