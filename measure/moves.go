package measure

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/move/simulation"
)

// movesSeed makes the generated moves the same in every run.
const movesSeed = 6

// wholePercent is all of a count.
const wholePercent = 100

// moves measures how generated moves of the deployments end, with the policy
// and with a plain baseline.
func moves() Measurement {
	m := Measurement{
		Name:     "moves",
		Usage:    "how generated moves of two deployments end, with the policy and with fixed steps and a threshold",
		points:   []int{500, 1000, 2000},
		limit:    10_000,
		duration: time.Second,
		varied:   "moves",
		run: func(_ context.Context, _ Options, x int) ([]float64, error) {
			return endings(x), nil
		},
	}
	for _, d := range simulation.Deployments() {
		for _, way := range []string{"policy", "baseline"} {
			m.series = append(m.series,
				Series{Name: d.Name + ", " + way + ": bad taken back", Unit: "percent"},
				Series{Name: d.Name + ", " + way + ": good in time", Unit: "percent"},
				Series{Name: d.Name + ", " + way + ": good found bad", Unit: "percent"},
			)
		}
	}
	return m
}

// endings plays so many moves of each deployment.
func endings(count int) []float64 {
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
	return wholePercent * float64(part) / float64(whole)
}
