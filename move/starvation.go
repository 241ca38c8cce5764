package move

import "github.com/hornbeamwell/hornbeamwell"

const (
	// starvedFraction is the fraction of its expected calls below which the canary
	// is starved. It is higher at the full share, where only circuit breakers of
	// proxies keep calls from it.
	starvedFraction, starvedFullFraction = 0.4, 0.8
	// starvedCalls and starvedIntervals are the numbers of missed calls and of
	// intervals with missed calls that must both be reached.
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

// isStarved reports whether the canary receives far fewer calls than its share, as
// when proxies opened their circuit breakers on it.
func (e *Evidence) isStarved() bool {
	return e.missed >= starvedCalls && e.missedIntervals >= starvedIntervals
}
