package route

import (
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// minWarmth is the fraction of the usual load that a target receives right
	// after its start.
	minWarmth = 0.1
)

// Locality configures how strongly calls prefer targets in the proxy's own
// zone. Loads are per slot, relative to the speed of the target.
type Locality struct {
	// MaxLocalLoad is the load up to which a local target is picked regardless
	// of the load in other zones.
	MaxLocalLoad float64
	// Margin is the load difference above which another zone is preferred once
	// the local target exceeds MaxLocalLoad.
	Margin float64
}

// The localities of calls with short and with long responses. A queue of a
// quarter of the slots delays a call by a quarter of its duration, well within
// its objective. Sending a long response to another zone costs about fifty
// times as much as sending a short one.
var (
	LocalityShort = Locality{MaxLocalLoad: 1.25, Margin: 0.5}
	LocalityLong  = Locality{MaxLocalLoad: 3, Margin: 1.5}
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

// IsLeaving reports whether the target stated that it is about to stop. It must get no
// new calls then.
func (c *Candidate) IsLeaving() bool { return c.Health.IsLeaving(c.Incarnation) }

// warmth returns the fraction of the usual load that the target is ready for.
// It grows linearly over the cold start.
func (c *Candidate) warmth(now time.Time) float64 {
	age := now.Sub(c.ReadyAt)
	if age >= c.ColdStart {
		return 1
	}
	return max(float64(age)/float64(c.ColdStart), minWarmth)
}

const (
	// maxDurationRatio and minDurationRatio bound the duration of a target's
	// calls relative to the mean of all targets.
	maxDurationRatio = 4
	minDurationRatio = 0.4
	// durationOffset is added to the durations before they are compared, so
	// that targets whose calls last a few milliseconds count as equally fast.
	durationOffset = 50 * time.Millisecond
	// maxFailureRate bounds the failure rate in the relative load of a target,
	// so that a failing target still gets a call now and then.
	maxFailureRate = 0.8
)

// relativeLoad returns the expected load per slot with one more call, relative
// to the speed and the present pace of the target and to its success rate. Mean is the mean call
// duration at all targets, 0 if it is not known.
func (c *Candidate) relativeLoad(now time.Time, mean time.Duration) float64 {
	load := (c.Load.Current(now) + 1) / c.Load.capacity(now, float64(max(c.Slots, 1))*c.warmth(now))
	if duration := c.Load.Duration(); duration > 0 && mean > 0 {
		load *= min(max(float64(duration+durationOffset)/float64(mean+durationOffset), minDurationRatio), maxDurationRatio)
	}
	if c.Load.isHeldBack(now) {
		load *= coldHoldFactor
	}
	load *= c.Load.Pace(now)
	successRate := 1 - min(c.Health.FailureRate(now), maxFailureRate)
	return load / (successRate * successRate)
}

// meanDuration returns the mean call duration at the candidates, 0 if none is
// known.
func meanDuration(candidates []*Candidate) time.Duration {
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

// Group holds the candidates of one version of a service as seen by one proxy.
type Group struct {
	// Local are the candidates in the proxy's own zone. They are in All too.
	Local, All []*Candidate
}

// NewGroup returns a Group for a proxy in the zone.
func NewGroup(zone string, candidates []*Candidate) *Group {
	g := &Group{All: candidates}
	for _, c := range candidates {
		if c.Zone == zone {
			g.Local = append(g.Local, c)
		}
	}
	return g
}

// Outside returns the group without the candidates in the zones.
func (g *Group) Outside(zones []string) *Group {
	return &Group{Local: Outside(g.Local, zones), All: Outside(g.All, zones)}
}

// Outside returns the candidates that are not in one of the zones.
func Outside(candidates []*Candidate, zones []string) []*Candidate {
	var outside []*Candidate
	for _, c := range candidates {
		if !slices.Contains(zones, c.Zone) {
			outside = append(outside, c)
		}
	}
	return outside
}

// Pick returns a target, or nil if all were tried or are leaving. It draws two random
// candidates and picks the one with the lower relative load. It prefers the
// proxy's own zone and spills over to others when the own zone is busier.
func (g *Group) Pick(now time.Time, random Random, locality Locality, tried []*Candidate) *Candidate {
	mean := meanDuration(g.All)
	local := pickOfTwo(now, mean, random, g.Local, tried)
	if local != nil && local.relativeLoad(now, mean) <= locality.MaxLocalLoad && !local.Health.IsEjected(now) {
		return local
	}
	if len(g.Local) == len(g.All) {
		return local
	}
	other := pickOfTwo(now, mean, random, g.All, tried)
	if local == nil || other == nil {
		return other
	}
	if local.Health.IsEjected(now) && !other.Health.IsEjected(now) {
		return other
	}
	if other.relativeLoad(now, mean)+locality.Margin < local.relativeLoad(now, mean) {
		return other
	}
	return local
}

// HasRoomBeside reports whether a target that is neither tried nor cold has a free slot.
func (g *Group) HasRoomBeside(now time.Time, tried []*Candidate) bool {
	for _, c := range g.All {
		if isTried(c, tried) || c.IsLeaving() || c.Load.IsCold(now) || c.Health.IsEjected(now) {
			continue
		}
		if c.Load.Current(now) < c.Load.capacity(now, float64(max(c.Slots, 1))*c.warmth(now)) {
			return true
		}
	}
	return false
}

// HasUntried reports whether a target is neither tried nor leaving.
func (g *Group) HasUntried(tried []*Candidate) bool {
	return slices.ContainsFunc(g.All, func(c *Candidate) bool { return !isTried(c, tried) && !c.IsLeaving() })
}

// pickOfTwo returns the less loaded of two random usable candidates. The two
// are different, because a candidate drawn twice would get a call whatever its
// load.
func pickOfTwo(now time.Time, mean time.Duration, random Random, candidates, tried []*Candidate) *Candidate {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	skipEjected := isEjectionAllowed(now, candidates)
	index := random.IntN(n)
	first := nextUsable(now, candidates, index, tried, skipEjected)
	if first == nil || n == 1 {
		return first
	}
	otherIndex := (index + 1 + random.IntN(n-1)) % n
	second := nextUsable(now, candidates, otherIndex, append(tried[:len(tried):len(tried)], first), skipEjected)
	if second == nil || skipEjected && second.Health.IsEjected(now) {
		return first
	}
	if second.relativeLoad(now, mean) < first.relativeLoad(now, mean) {
		return second
	}
	return first
}

// nextUsable returns the first usable candidate at or after the start, wrapping
// around. If there is none, it falls back to one that is ejected, or cold and
// without room, which is better than none. It returns nil if all were tried or are leaving.
func nextUsable(now time.Time, candidates []*Candidate, start int, tried []*Candidate, skipEjected bool) *Candidate {
	var fallback *Candidate
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if isTried(c, tried) || c.IsLeaving() {
			continue
		}
		if (!skipEjected || !c.Health.IsEjected(now)) && !c.Load.isHeldBack(now) {
			return c
		}
		if fallback == nil {
			fallback = c
		}
	}
	return fallback
}

// isEjectionAllowed reports whether at most half of the candidates are ejected.
// With more, the cause is more likely shared, and the redirected load would
// overload the remaining targets.
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
