package move

import "github.com/hornbeamwell/hornbeamwell"

const (
	// starvedPart is the part of its calls under which a version is starved.
	// It is higher at the full share, where nothing but a cut keeps calls
	// from it.
	starvedFraction, starvedFullFraction = 0.4, 0.8
	// starvedCalls and starvedIntervals must both be missed.
	starvedCalls, starvedIntervals = 20, 4
)

// countMissed counts the calls of the last interval that the share promised to the
// new version and that went elsewhere.
func (e *Evidence) countMissed() {
	received := float64(e.last.canary.received())
	expected := (received + float64(e.last.old.received())) * fractionOf(e.share)
	part := starvedFraction
	if e.share == hornbeamwell.FullShare {
		part = starvedFullFraction
	}
	if e.intervalAt.Before(e.inForceAt) || received > part*expected {
		e.missed, e.missedIntervals = 0, 0
		return
	}
	e.missed += expected - received
	e.missedIntervals++
}

// isStarved reports whether calls keep from the new version although it has a
// share, as when proxies saw it fail and cut it by themselves.
func (e *Evidence) isStarved() bool {
	return e.missed >= starvedCalls && e.missedIntervals >= starvedIntervals
}
