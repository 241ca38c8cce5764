package route

import "time"

const (
	// guardWindow is the time over which a guard compares the two versions.
	guardWindow = 10 * time.Second
	// guardFactor is the ratio of the failure rates above which the unproved
	// version is cut.
	guardFactor = 4
	// guardFewFailures cut a version that fails at guardHighRate or more,
	// guardFailures one that fails at guardLowRate or more. What fails more
	// seldom is left to control.
	guardFewFailures = 3
	guardHighRate    = 0.2
	guardFailures    = 5
	guardLowRate     = 0.05
	// guardComparison is the least number of calls of the proved version that
	// few failures are compared with.
	guardComparison = 5
)

// Breaker cuts the share of an unproved version at the proxy that sees it fail on
// a route, until control decides. It is not safe for use by several goroutines
// at once.
type Breaker struct {
	step       uint64
	cut        bool
	windowEnds time.Time
	// routes holds the counts of this window by route.
	routes map[string]*guardRoute
}

type guardRoute struct {
	newer, older guardCount
}

type guardCount struct {
	calls, failures int
}

func (c *guardCount) add(failed bool) {
	c.calls++
	if failed {
		c.failures++
	}
}

// rate returns the failure rate, as if one more call had not failed.
func (c *guardCount) rate() float64 {
	return float64(c.failures) / float64(c.calls+1)
}

// isBad reports whether the newer version fails far more than the older one.
func (r *guardRoute) isBad() bool {
	rate := r.newer.rate()
	if rate <= guardFactor*r.older.rate() {
		return false
	}
	if r.newer.failures >= guardFailures && rate >= guardLowRate {
		return true
	}
	return r.newer.failures >= guardFewFailures && rate >= guardHighRate && r.older.calls >= guardComparison
}

// IsOpen reports whether the unproved version is to receive no call.
func (g *Breaker) IsOpen() bool { return g.cut }

// SetStep takes a step of the move: a later one lifts the cut.
func (g *Breaker) SetStep(step uint64) {
	if step <= g.step {
		return
	}
	*g = Breaker{step: step}
}

// Report counts the end of a call on a route. It returns true if this cut the
// share.
func (g *Breaker) Report(now time.Time, route string, unproved, failed bool) bool {
	if g.routes == nil || now.After(g.windowEnds) {
		g.windowEnds = now.Add(guardWindow)
		g.routes = make(map[string]*guardRoute)
	}
	counts := g.routes[route]
	if counts == nil {
		counts = &guardRoute{}
		g.routes[route] = counts
	}
	if !unproved {
		counts.older.add(failed)
		return false
	}
	counts.newer.add(failed)
	if g.cut || !counts.isBad() {
		return false
	}
	g.cut = true
	return true
}
