package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Kind is a way for a new version to be bad, or good.
type Kind string

// The kinds of new versions.
const (
	Good             Kind = "good"
	FailsAtOnce      Kind = "fails_at_once"
	FailsSlightly    Kind = "fails_slightly"
	FailsLater       Kind = "fails_later"
	FailsUnderLoad   Kind = "fails_under_load"
	FailsOneRoute    Kind = "fails_on_one_route"
	FailsOneZone     Kind = "fails_in_one_zone"
	FailsUnsafeCalls Kind = "fails_on_non_idempotent_routes"
	FailsHealthy     Kind = "fails_with_healthy_endpoint"
	SlowAtOnce       Kind = "slow_at_once"
	SlowLater        Kind = "slow_later"
	SlowUnderLoad    Kind = "slow_under_load"
	SlowOneRoute     Kind = "slow_on_one_route"
	CrashLoop        Kind = "crash_loop"
)

// BadKinds returns every kind but Good.
func BadKinds() []Kind {
	return []Kind{
		FailsAtOnce, FailsSlightly, FailsLater, FailsUnderLoad, FailsOneRoute, FailsOneZone,
		FailsUnsafeCalls, FailsHealthy, SlowAtOnce, SlowLater, SlowUnderLoad, SlowOneRoute, CrashLoop,
	}
}

// Fault is what is wrong with a new version.
type Fault struct {
	Kind Kind
	// Onset is the time after the start of the move at which the fault
	// begins.
	Onset time.Duration
	// Extra is the part of the calls that fail because of the fault.
	Extra float64
	// Slowdown is the factor on the latency. Zero and one change nothing.
	Slowdown float64
	// Routes and Zone limit the fault. Empty ones do not.
	Routes []string
	Zone   string
	// AboveShare limits the fault to shares above it.
	AboveShare hornbeamwell.Share
	// CrashEvery is the time between two crashes of new targets, zero for
	// none.
	CrashEvery time.Duration
}

// isActive reports whether the fault shows in calls.
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
