package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// FaultKind is a kind of fault of a canary, or Good for none.
type FaultKind string

// The kinds of faults. FailsWhileHealthy is simulated like FailsAtOnce: policies
// receive no results of health endpoints.
const (
	Good               FaultKind = "good"
	FailsAtOnce        FaultKind = "fails_at_once"
	FailsSlightly      FaultKind = "fails_slightly"
	FailsLater         FaultKind = "fails_later"
	FailsUnderLoad     FaultKind = "fails_under_load"
	FailsOneRoute      FaultKind = "fails_on_one_route"
	FailsOneZone       FaultKind = "fails_in_one_zone"
	FailsNonIdempotent FaultKind = "fails_on_non_idempotent_routes"
	FailsWhileHealthy  FaultKind = "fails_with_healthy_endpoint"
	SlowAtOnce         FaultKind = "slow_at_once"
	SlowLater          FaultKind = "slow_later"
	SlowUnderLoad      FaultKind = "slow_under_load"
	SlowOneRoute       FaultKind = "slow_on_one_route"
	CrashLoop          FaultKind = "crash_loop"
)

// BadKinds returns all kinds of faults except Good.
func BadKinds() []FaultKind {
	return []FaultKind{
		FailsAtOnce, FailsSlightly, FailsLater, FailsUnderLoad, FailsOneRoute, FailsOneZone,
		FailsNonIdempotent, FailsWhileHealthy, SlowAtOnce, SlowLater, SlowUnderLoad, SlowOneRoute, CrashLoop,
	}
}

// Fault describes the fault of a canary.
type Fault struct {
	// Kind names the fault. Unless it is Good or empty, the fields below alone
	// determine the effect.
	Kind FaultKind
	// Onset is the time from the start of the move to that of the fault.
	Onset time.Duration
	// ExcessFailures is the fraction of the calls that fail because of the fault.
	ExcessFailures float64
	// Slowdown is the factor on the latency. Values up to one have no effect.
	Slowdown float64
	// Routes and Zone limit the fault to these routes and this availability zone
	// if they are not empty.
	Routes []string
	Zone   string
	// AboveShare limits the fault to shares above it.
	AboveShare hornbeamwell.Share
	// CrashEvery is the time between two crashes of canary targets, zero for
	// none.
	CrashEvery time.Duration
}

// isActive reports whether the fault affects calls at this time and share on this
// route and zone.
func (f *Fault) isActive(after time.Duration, share hornbeamwell.Share, route, zone string) bool {
	if f.Kind == Good || f.Kind == "" || after < f.Onset || share <= f.AboveShare {
		return false
	}
	if f.Zone != "" && f.Zone != zone {
		return false
	}
	if len(f.Routes) == 0 {
		return true
	}
	for _, r := range f.Routes {
		if r == route {
			return true
		}
	}
	return false
}
