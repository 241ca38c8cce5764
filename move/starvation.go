package move

import "github.com/hornbeamwell/hornbeamwell"

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

// isStarved reports whether the canary receives far fewer calls than its share, as
// when proxies opened their circuit breakers on it.
func (e *Evidence) isStarved() bool {
	return e.missed >= starvedCalls && e.missedIntervals >= starvedIntervals
}
