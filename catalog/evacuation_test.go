package catalog

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestEvacuationsSurviveResendsAndReplacements guards against an order that a resend
// changes, or that a snapshot or a document of the operators loses.
func TestEvacuationsSurviveResendsAndReplacements(t *testing.T) {
	t.Parallel()
	c := New(nil)
	order := func(index uint64, kind Kind, zone string) Outcome {
		return mustApply(t, c, index, Command{Kind: kind, Zone: zone, At: start.Add(time.Duration(index) * time.Second)})
	}
	check := func(when string, zones ...string) {
		t.Helper()
		got := c.Configuration().Evacuations
		if len(got) != len(zones) {
			t.Fatalf("%s: %+v is evacuated, want %v", when, got, zones)
		}
		for i, zone := range zones {
			if got[i].Zone != zone {
				t.Fatalf("%s: %+v is evacuated, want %v", when, got, zones)
			}
		}
	}
	if outcome := order(1, KindEndEvacuation, "north"); outcome.Err != nil || outcome.Version != 0 {
		t.Errorf("the end without a start returned %+v", outcome)
	}
	first := order(2, KindStartEvacuation, "south")
	if resent := order(3, KindStartEvacuation, "south"); resent.Err != nil || resent.Version != first.Version {
		t.Errorf("the resend returned %+v, the first outcome was %+v", resent, first)
	}
	order(4, KindStartEvacuation, "north")
	check("after two starts", "north", "south")
	if got := c.Configuration().Evacuations[1].StartedAt; !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("the evacuation started at %v after a resend", got)
	}
	if outcome, _ := replaceDocument(t, c, 5, 1, 0, "letters"); outcome.Err != nil {
		t.Fatal(outcome.Err)
	}
	check("after a replacement", "north", "south")
	snapshot, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	c = New(nil)
	if err := c.Restore(5, snapshot); err != nil {
		t.Fatal(err)
	}
	check("after a restore", "north", "south")
	if end := order(6, KindEndEvacuation, "north"); end.Err != nil || end.Version != 6 {
		t.Errorf("the end returned %+v", end)
	}
	check("after the end", "south")
	var invalidErr *hornbeamwell.InvalidError
	if outcome := order(7, KindStartEvacuation, ""); !errors.As(outcome.Err, &invalidErr) {
		t.Errorf("an empty zone got %v, want an InvalidError", outcome.Err)
	}
}
