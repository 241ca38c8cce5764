package route

import "time"

const (
	// guardWindow is the time over which a guard compares the two versions.
	guardWindow = 10 * time.Second
	// guardFailures is the least number of failures of the unproved version
	// that cut its share.
	guardFailures = 5
	// guardFactor is the ratio of the failure rates above which the unproved
	// version is cut.
	guardFactor = 4
)

// Guard cuts the share of an unproved version at the proxy that sees it fail,
// until control decides. It is not safe for use by several goroutines at once.
type Guard struct {
	step         uint64
	cut          bool
	windowEnds   time.Time
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

// IsCut reports whether the unproved version is to receive no call.
func (g *Guard) IsCut() bool { return g.cut }

// Decided takes a step of the move: a later one lifts the cut.
func (g *Guard) Decided(_ time.Time, step uint64) {
	if step <= g.step {
		return
	}
	*g = Guard{step: step}
}

// Report counts the end of a call. It returns true if this cut the share.
func (g *Guard) Report(now time.Time, unproved, failed bool) bool {
	if now.After(g.windowEnds) {
		g.windowEnds = now.Add(guardWindow)
		g.newer, g.older = guardCount{}, guardCount{}
	}
	if !unproved {
		g.older.add(failed)
		return false
	}
	g.newer.add(failed)
	if g.cut || g.newer.failures < guardFailures {
		return false
	}
	if g.newer.rate() <= guardFactor*g.older.rate() {
		return false
	}
	// A rate of a few failures in very many calls is left to control.
	g.cut = g.newer.rate() > 0.05
	return g.cut
}
