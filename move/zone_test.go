package move

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestVersionsInDifferentZonesAreCompared runs the canary only in a zone where the
// old version has no targets. Both must still be compared.
func TestVersionsInDifferentZonesAreCompared(t *testing.T) {
	tests := []struct {
		name     string
		failures uint64
		isProved bool
		isBad    bool
	}{
		{name: "good", isProved: true},
		{name: "half of the calls fail", failures: 10, isBad: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
			m := hornbeamwell.Move{Service: "credit", From: "v1", To: "v2", Deadline: now.Add(time.Minute), Share: 500}
			policy := DefaultPolicy()
			evidence := NewEvidence(policy, m, now)
			for range 30 {
				now = now.Add(policy.Interval)
				evidence.Add(now,
					observedIn("v1", "zone-a", 200, 0),
					observedIn("v2", "zone-b", 20, test.failures),
				)
			}
			overall := evidence.scope(scopeKey{kind: scopeOverall})
			if got := overall.stage.excludes(0.10, policy.ProofLevel); got != test.isProved {
				t.Errorf("proof of at most 10%% more failures is %v, want %v", got, test.isProved)
			}
			if got := evidence.verdict.Bad; got != test.isBad {
				t.Errorf("verdict %+v, want bad %v", evidence.verdict, test.isBad)
			}
		})
	}
}

func observedIn(version, zone string, calls, failures uint64) hornbeamwell.Observation {
	o := hornbeamwell.Observation{
		Key:   hornbeamwell.EvidenceKey{Service: "credit", Version: version, Route: "post", Zone: zone},
		Calls: calls, Failures: failures,
	}
	for range calls - failures {
		o.Latency.Add(5 * time.Millisecond)
	}
	return o
}
