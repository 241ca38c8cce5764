package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// starvedFraction is the fraction of its expected calls up to which the canary
	// is starved. At the full share, where only circuit breakers of proxies keep
	// calls from it, the fraction is the higher starvedFullFraction.
	starvedFraction, starvedFullFraction = 0.4, 0.8
	// starvedCalls and starvedIntervals are the numbers of missed calls and of
	// consecutive intervals with too few calls that must both be reached.
	starvedCalls, starvedIntervals = 20, 4
)

// countMissed counts the calls of the last interval that the canary should have
// received by its share and did not.
func (e *Evidence) countMissed() {
	received := float64(e.last.canary.received())
	expected := (received + float64(e.last.old.received())) * fractionOf(e.share)
	fraction := starvedFraction
	if e.share == hornbeamwell.FullShare {
		fraction = starvedFullFraction
	}
	if e.intervalAt.Before(e.inForceAt) || received > fraction*expected {
		e.missed, e.missedIntervals = 0, 0
		return
	}
	e.missed += expected - received
	e.missedIntervals++
}

// markEvacuated records that all ready targets of the canary are in evacuated zones. The
// calls that it lacks do not count until every live proxy is expected to send calls
// again after the evacuation.
func (e *Evidence) markEvacuated(now time.Time) {
	e.inForceAt = now.Add(e.policy.InForceTimeout)
	e.missed, e.missedIntervals = 0, 0
}

// isStarved reports whether the canary receives far fewer calls than its share, as
// when proxies opened their circuit breakers on it.
func (e *Evidence) isStarved() bool {
	return e.missed >= starvedCalls && e.missedIntervals >= starvedIntervals
}
