package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func init() {
	hornbeamwell.PanicOnViolation.Store(true)
}

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func moveInPhase(phase hornbeamwell.Phase, share hornbeamwell.Share) hornbeamwell.Move {
	return hornbeamwell.Move{
		ID: "m1", Service: "credit", From: "v1", To: "v2",
		AcceptedAt: start, Deadline: start.Add(2 * time.Minute), Hold: 30 * time.Second,
		Prefer: hornbeamwell.PreferSafety, Phase: phase, Share: share, Step: 1, StageAt: start,
	}
}

func healthyMesh() MeshState {
	return MeshState{
		From:    Pool{Ready: 3, Slots: 30, Targets: 3},
		To:      Pool{Ready: 3, Slots: 30, Targets: 3},
		InForce: true,
	}
}

// observed returns an observation of calls with a latency of 10 ms.
func observed(version string, calls, failures uint64) hornbeamwell.Observation {
	o := hornbeamwell.Observation{
		Key:   hornbeamwell.EvidenceKey{Service: "credit", Version: version, Route: "post", Zone: "a"},
		Calls: calls, Failures: failures,
	}
	for range calls - failures {
		o.Latency.Add(10 * time.Millisecond)
	}
	return o
}

// collected returns evidence of the given number of closed intervals. It adds the
// same observations at the start of each, where they count for the interval before.
// The first interval thus holds them twice and the last not at all.
func collected(m hornbeamwell.Move, intervals int, observations ...hornbeamwell.Observation) *Evidence {
	e := NewEvidence(DefaultPolicy(), m, start)
	for i := range intervals {
		e.Add(start.Add(time.Duration(i)*time.Second), observations...)
	}
	e.CloseInterval(start.Add(time.Duration(intervals) * time.Second))
	return e
}
