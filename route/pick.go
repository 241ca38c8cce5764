package route

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// coldestPart is the part that a target receives right after its start.
	coldestPart = 0.1
)

// Locality says how much a call stays in its own zone. Loads are per slot, in
// relation to the speed of the target.
type Locality struct {
	// Enough is the load up to which a target of the own zone is taken whatever
	// the others have.
	Enough float64
	// Margin is the load by which another zone must be lighter above it.
	Margin float64
}

// The localities. A queue of a quarter of the slots delays a call by a quarter of
// its duration, well within the users' objectives. A long answer to another zone
// costs the users some fifty times as much as a short one.
var (
	LocalityShort = Locality{Enough: 1.25, Margin: 0.5}
	LocalityLong  = Locality{Enough: 3, Margin: 1.5}
)

// Candidate is a target that calls may be sent to.
type Candidate struct {
	hornbeamwell.Target
	Load   *Load
	Health *Health
}

// IsCold reports whether the target is in its cold start.
func (c *Candidate) IsCold(now time.Time) bool {
	return now.Sub(c.ReadyAt) < c.ColdStart
}

// warmth returns the part of the calls that the target is ready for. It grows
// over the cold start.
func (c *Candidate) warmth(now time.Time) float64 {
	age := now.Sub(c.ReadyAt)
	if age >= c.ColdStart {
		return 1
	}
	return max(float64(age)/float64(c.ColdStart), coldestPart)
}

const (
	// slowestFactor and fastestFactor bound the speed of a target in relation to
	// the others.
	slowestFactor = 4
	fastestFactor = 0.4
	// durationFloor is added to the mean duration of a call at a target, so that
	// targets whose calls last a few milliseconds count as equally fast.
	durationFloor = 50 * time.Millisecond
	// mostFailing bounds the failing part that a target is avoided for, so that
	// it gets a call now and then.
	mostFailing = 0.8
)

// pressure returns the expected load per slot with one more call, in relation to
// the speed of the target and the part of its calls that do not fail. Usual is
// the mean duration of a call at all targets, 0 where it is not known.
func (c *Candidate) pressure(now time.Time, usual time.Duration) float64 {
	load := (c.Load.Current(now) + 1) / (float64(max(c.Slots, 1)) * c.warmth(now))
	if duration := c.Load.Duration(); duration > 0 && usual > 0 {
		load *= min(max(float64(duration+durationFloor)/float64(usual+durationFloor), fastestFactor), slowestFactor)
	}
	sound := 1 - min(c.Health.FailureRate(now), mostFailing)
	return load / (sound * sound)
}

// usualDuration returns the mean duration of a call at the candidates, 0 where
// none is known.
func usualDuration(candidates []*Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, c := range candidates {
		if d := c.Load.Duration(); d > 0 {
			sum += d
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

// Group is the candidates of one version of a service as one proxy sees them.
type Group struct {
	// Local are the candidates in the proxy's own zone. They are in All too.
	Local, All []*Candidate
}

// NewGroup sorts the candidates by zone.
func NewGroup(zone string, candidates []*Candidate) *Group {
	g := &Group{All: candidates}
	for _, c := range candidates {
		if c.Zone == zone {
			g.Local = append(g.Local, c)
		}
	}
	return g
}

// Pick returns a target, nil if there is none but the tried ones. It prefers
// the proxy's own zone, spills to others where the own zone is busier, and of
// two random candidates takes the one with less load per slot.
func (g *Group) Pick(now time.Time, random Random, locality Locality, tried []*Candidate) *Candidate {
	usual := usualDuration(g.All)
	local := pickOfTwo(now, usual, random, g.Local, tried)
	if local != nil && local.pressure(now, usual) <= locality.Enough && !local.Health.IsEjected(now) {
		return local
	}
	if len(g.Local) == len(g.All) {
		return local
	}
	remote := pickOfTwo(now, usual, random, g.All, tried)
	if local == nil || remote == nil {
		return remote
	}
	if local.Health.IsEjected(now) && !remote.Health.IsEjected(now) {
		return remote
	}
	if remote.pressure(now, usual)+locality.Margin < local.pressure(now, usual) {
		return remote
	}
	return local
}

// pickOfTwo returns the less loaded of two different random candidates that may
// be used. A candidate drawn twice would get a call whatever its load.
func pickOfTwo(now time.Time, usual time.Duration, random Random, candidates, tried []*Candidate) *Candidate {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	ejectionHolds := isEjectionAllowed(now, candidates)
	place := random.IntN(n)
	first := nextUsable(now, candidates, place, tried, ejectionHolds)
	if first == nil || n == 1 {
		return first
	}
	other := (place + 1 + random.IntN(n-1)) % n
	second := nextUsable(now, candidates, other, append(tried[:len(tried):len(tried)], first), ejectionHolds)
	if second == nil || ejectionHolds && second.Health.IsEjected(now) {
		return first
	}
	if second.pressure(now, usual) < first.pressure(now, usual) {
		return second
	}
	return first
}

// nextUsable returns the first usable candidate at or after the start. Without
// one it falls back to an ejected candidate, which is better than none.
func nextUsable(now time.Time, candidates []*Candidate, start int, tried []*Candidate, ejectionHolds bool) *Candidate {
	var fallback *Candidate
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if isTried(c, tried) {
			continue
		}
		if !ejectionHolds || !c.Health.IsEjected(now) {
			return c
		}
		if fallback == nil {
			fallback = c
		}
	}
	return fallback
}

// isEjectionAllowed reports whether at most half of the candidates are
// ejected. With more, the fault is more likely a shared one, and the load of
// the rest would break them too.
func isEjectionAllowed(now time.Time, candidates []*Candidate) bool {
	ejected := 0
	for _, c := range candidates {
		if c.Health.IsEjected(now) {
			ejected++
		}
	}
	return 2*ejected <= len(candidates)
}

func isTried(c *Candidate, tried []*Candidate) bool {
	for _, t := range tried {
		if t.ID == c.ID {
			return true
		}
	}
	return false
}
