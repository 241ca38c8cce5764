package simulation

import (
	"os"
	"strconv"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

func init() {
	hornbeamwell.PanicOnViolation.Store(true)
}

// defaultMoves is the number of generated moves per deployment, defaultSeed their
// seed. The environment variables movesVariable and seedVariable override them.
const (
	defaultMoves, defaultSeed = 300, 1
	movesVariable             = "HORNBEAMWELL_TRIAL_MOVES"
	seedVariable              = "HORNBEAMWELL_TRIAL_SEED"
)

func intFromEnv(variable string, defaultValue int) int {
	if v, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return v
	}
	return defaultValue
}

func TestRun(t *testing.T) {
	n, seed := intFromEnv(movesVariable, defaultMoves), intFromEnv(seedVariable, defaultSeed)
	for _, d := range Deployments() {
		policy, baseline := Run(move.DefaultPolicy(), d, n, uint64(seed))
		t.Log("\n" + policy.String() + baseline.String())
		for _, text := range policy.Misjudged {
			t.Log(text)
		}
		policy.checkRequiredRates(t, &baseline)
	}
}

// checkRequiredRates checks that the policy judges enough bad and good canaries
// correctly and is better than the baseline.
func (r *Result) checkRequiredRates(t *testing.T, baseline *Result) {
	t.Helper()
	bad, good := r.Bad(), float64(r.Good)
	if r.Unfinished > 0 {
		t.Errorf("%s: %d moves did not end", r.Deployment, r.Unfinished)
	}
	if float64(bad.TakenBack) < 0.99*float64(bad.Moves) {
		t.Errorf("%s: %d of %d bad canaries were taken back, want at least 99%%", r.Deployment, bad.TakenBack, bad.Moves)
	}
	if float64(r.InTime) < 0.98*good || float64(r.FalseTakeBacks) > 0.01*good {
		t.Errorf("%s: of %d good canaries %d were done in time, want at least 98%%, and %d judged bad, want at most 1%%", r.Deployment, r.Good, r.InTime, r.FalseTakeBacks)
	}
	if baseline.InTime >= r.InTime || baseline.Bad().TakenBack >= bad.TakenBack {
		t.Errorf("%s: the baseline is at least as good as the policy", r.Deployment)
	}
}
