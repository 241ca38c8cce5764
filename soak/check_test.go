package soak

import (
	"strings"
	"testing"

	"github.com/hornbeamwell/hornbeamwell/load"
)

// TestCheckCallsFindsEachViolation violates one guarantee to callers at a time,
// in both halves of the entry proxies.
func TestCheckCallsFindsEachViolation(t *testing.T) {
	t.Parallel()
	passing := func() load.Report {
		return load.Report{Sent: 10, Verdicts: map[load.Verdict]uint64{load.VerdictAnswered: 8, load.VerdictUnknown: 1, load.VerdictRefused: 1}}
	}
	tests := []struct {
		name                 string
		violate              func(*load.Report)
		want                 string
		isCheckedUnderFaults bool
	}{
		{"duplicated", func(r *load.Report) { r.Duplicated = 1 }, "ran twice", true},
		{"false refusal", func(r *load.Report) { r.FalseRefusals = 1 }, "had run", true},
		{"never run", func(r *load.Report) { r.NeverRun = 1 }, "never ran", true},
		{"mismatched", func(r *load.Report) { r.Verdicts[load.VerdictMismatched] = 1 }, "another", true},
		{"lost", func(r *load.Report) { r.Verdicts[load.VerdictLost] = 1 }, "no response", false},
		{"truncated", func(r *load.Report) { r.Verdicts[load.VerdictTruncated] = 1 }, "truncated", false},
	}
	for _, test := range tests {
		steady, underFaults, archive := passing(), passing(), passing()
		if found := checkCalls(&steady, &underFaults, &archive); len(found) != 0 {
			t.Fatalf("no guarantee is violated, but the findings are %q", found)
		}
		test.violate(&steady)
		if found := checkCalls(&steady, &underFaults, &archive); len(found) != 1 || !strings.Contains(found[0], test.want) {
			t.Errorf("%s in the steady half: findings %q, want only the violated guarantee", test.name, found)
		}
		steady = passing()
		test.violate(&underFaults)
		if found := checkCalls(&steady, &underFaults, &archive); (len(found) == 1) != test.isCheckedUnderFaults {
			t.Errorf("%s in the half under faults: findings %q", test.name, found)
		}
		underFaults = passing()
		test.violate(&archive)
		if found := checkCalls(&steady, &underFaults, &archive); (len(found) == 1) != test.isCheckedUnderFaults {
			t.Errorf("%s among the large responses: findings %q", test.name, found)
		}
	}
}
