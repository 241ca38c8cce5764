package soak

import (
	"strings"
	"testing"

	"github.com/hornbeamwell/hornbeamwell/load"
)

// TestEachBrokenPromiseToACallerIsFound breaks one promise after the other, in
// both halves of the entries.
func TestEachBrokenPromiseToACallerIsFound(t *testing.T) {
	t.Parallel()
	kept := func() load.Report {
		return load.Report{Sent: 10, Verdicts: map[load.Verdict]uint64{load.VerdictAnswered: 8, load.VerdictUnknown: 1, load.VerdictRefused: 1}}
	}
	tests := []struct {
		name       string
		breakIt    func(*load.Report)
		want       string
		isRoughToo bool
	}{
		{"doubled", func(r *load.Report) { r.Duplicated = 1 }, "ran twice", true},
		{"false refusal", func(r *load.Report) { r.FalseRefusals = 1 }, "had run", true},
		{"made up", func(r *load.Report) { r.NeverRun = 1 }, "never ran", true},
		{"crossed", func(r *load.Report) { r.Verdicts[load.VerdictMismatched] = 1 }, "another", true},
		{"lost", func(r *load.Report) { r.Verdicts[load.VerdictLost] = 1 }, "no answer", false},
		{"cut", func(r *load.Report) { r.Verdicts[load.VerdictTruncated] = 1 }, "a part", false},
	}
	for _, test := range tests {
		steady, rough := kept(), kept()
		if found := judgeCalls(&steady, &rough); len(found) != 0 {
			t.Fatalf("nothing is broken, found %q", found)
		}
		test.breakIt(&steady)
		if found := judgeCalls(&steady, &rough); len(found) != 1 || !strings.Contains(found[0], test.want) {
			t.Errorf("%s, steady: found %q", test.name, found)
		}
		steady = kept()
		test.breakIt(&rough)
		if found := judgeCalls(&steady, &rough); (len(found) == 1) != test.isRoughToo {
			t.Errorf("%s, rough: found %q", test.name, found)
		}
	}
}
