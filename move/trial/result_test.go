package trial

import (
	"os"
	"strconv"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

func init() {
	hornbeamwell.FatalInvariants.Store(true)
}

// movesOfTest is the number of generated moves per deployment. The environment
// variable HORNBEAMWELL_TRIAL_MOVES raises it.
const movesOfTest = 300

func TestRun(t *testing.T) {
	n := movesOfTest
	if v, err := strconv.Atoi(os.Getenv("HORNBEAMWELL_TRIAL_MOVES")); err == nil {
		n = v
	}
	for _, d := range Deployments() {
		policy, baseline := Run(move.DefaultPolicy(), d, n, 1)
		t.Log("\n" + policy.String() + baseline.String())
		for _, text := range policy.Misjudged {
			t.Log(text)
		}
		if policy.NoEnd > 0 {
			t.Errorf("%d moves had no end", policy.NoEnd)
		}
	}
}
