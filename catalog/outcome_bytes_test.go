package catalog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestOutcomesOfRefusalsAreBounded guards against outcomes that are bounded by their number
// alone: that of a refused configuration of many routes has a fault for each.
func TestOutcomesOfRefusalsAreBounded(t *testing.T) {
	t.Parallel()
	faults := make([]hornbeamwell.Fault, 1640)
	for i := range faults {
		faults[i] = hornbeamwell.Fault{Field: fmt.Sprintf("routes[%d].service", i), Problem: "the service is not part of the configuration"}
	}
	c := New(controlTakeBack)
	const refusals = 100
	for i := range refusals {
		mustApply(t, c, uint64(i+1), Command{
			Kind: KindRefuse, RequestID: fmt.Sprint(i), RequestDigest: 1, At: start,
			Refusal: Outcome{Err: &hornbeamwell.InvalidError{Faults: faults}},
		})
	}
	snapshot, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(controlTakeBack)
	if err := restored.Restore(refusals, snapshot); err != nil {
		t.Fatal(err)
	}
	for name, one := range map[string]*Catalog{"applied": c, "restored": restored} {
		bytes := 0
		for id, o := range one.outcomes {
			bytes += len(id) + len(o.outcome)
		}
		if bytes > maxOutcomeBytes || len(one.outcomes) < 2 || bytes != one.outcomeBytes {
			t.Errorf("%s: %d outcomes with %d bytes, counted as %d, want at most %d", name, len(one.outcomes), bytes, one.outcomeBytes, maxOutcomeBytes)
		}
		if last, found := one.Outcome(fmt.Sprint(refusals-1), 1); !found || !errors.Is(last.Err, hornbeamwell.ErrNotRun) {
			t.Errorf("%s: the outcome of the last request is %v", name, last)
		}
	}
}
