package route

import (
	"math"
	"time"
)

const (
	// coldOvershoot and coldSlack bound the calls that arrive at a cold target in any
	// second: the cold rate times coldOvershoot plus coldSlack.
	coldOvershoot = 1.5
	coldSlack     = 8
	// coldWindow is the time over which the starts of calls are counted. It exceeds the
	// second over which arrivals are bounded, since a call may reach its target some time
	// after its start.
	coldWindow = 1100 * time.Millisecond
	// maxStartsKept bounds the memory of a startLog. A higher cold rate is limited to so
	// many calls within coldWindow.
	maxStartsKept = 1 << 14
	// healthInterval is the time between two health requests while the zone is evacuated.
	healthInterval = 5 * time.Second
)

// ColdSource is what a cold state is based on.
type ColdSource string

// The sources of a cold state.
const (
	// ColdFromStart is the first announcement of an incarnation to this process.
	ColdFromStart ColdSource = "start"
	// ColdFromHeartbeat is the remaining time that an announcement gives.
	ColdFromHeartbeat ColdSource = "heartbeat"
	// ColdFromHealth is a response of the health endpoint.
	ColdFromHealth ColdSource = "health"
	// ColdFromEvacuation is the end of the evacuation of the target's zone.
	ColdFromEvacuation ColdSource = "evacuation"
)

// ColdState decides until when the target beside the proxy is cold, and when its health
// endpoint is asked. The zero value is that of a service without a cold rate. It is not
// safe for concurrent use.
type ColdState struct {
	coldStart time.Duration
	perSecond float64
	// until is the end of the cold state.
	until time.Time
	// floor is the earliest end that an announcement may set. It is set by the end of an
	// evacuation and by health responses, since an announcement may be seconds late.
	floor time.Time
	// assumedAt is the time from which the target is assumed to be cold for coldStart. It is
	// zero once the target has stated otherwise.
	assumedAt   time.Time
	source      ColdSource
	isEvacuated bool
	// evacuationEndedAt is the end of the last evacuation.
	evacuationEndedAt time.Time
	// isHealthPending is true if the health endpoint is to be asked at once.
	isHealthPending bool
	// healthAskedAt is the time of the last health request.
	healthAskedAt time.Time
}

// Configure sets the limits of the service. It returns true if they changed.
func (c *ColdState) Configure(coldStart time.Duration, perSecond float64) bool {
	if c.coldStart == coldStart && c.perSecond == perSecond {
		return false
	}
	c.coldStart, c.perSecond = coldStart, perSecond
	if !c.assumedAt.IsZero() {
		c.until = c.assumedAt.Add(coldStart)
	}
	if c.source == ColdFromEvacuation {
		c.floor = c.until
	}
	return true
}

// Begin records the first announcement of an incarnation. The process can't know whether
// the target has just started or whether it was announced to an earlier process.
func (c *ColdState) Begin(now time.Time) {
	c.assume(now, ColdFromStart)
	c.floor = time.Time{}
	c.isHealthPending = true
}

func (c *ColdState) assume(now time.Time, source ColdSource) {
	c.assumedAt, c.until, c.source = now, now.Add(c.coldStart), source
}

// Heartbeat records the remaining time that an announcement of the present incarnation
// gives. Announcements must be in the order in which they were sent. A late one gives too
// long a time, which is safe, unless the target became cold after it was sent.
func (c *ColdState) Heartbeat(now time.Time, remaining time.Duration) {
	until := now.Add(max(remaining, 0))
	if until.Before(c.floor) {
		return
	}
	c.assumedAt, c.until, c.source = time.Time{}, until, ColdFromHeartbeat
}

// Health records a health response to a request that was sent at the given time. It
// returns false if the response is older than the end of the last evacuation.
func (c *ColdState) Health(now, sent time.Time, remaining time.Duration) bool {
	if sent.Before(c.evacuationEndedAt) {
		return false
	}
	c.until = now.Add(max(remaining, 0))
	c.assumedAt, c.floor, c.source = time.Time{}, c.until, ColdFromHealth
	return true
}

// SetEvacuated records whether the zone of the target is evacuated. It returns true if
// that changed. The target gets no calls during an evacuation, so it may be cold at its
// end.
func (c *ColdState) SetEvacuated(now time.Time, isEvacuated bool) bool {
	if c.isEvacuated == isEvacuated {
		return false
	}
	c.isEvacuated = isEvacuated
	if isEvacuated {
		c.healthAskedAt = now
		return true
	}
	c.evacuationEndedAt = now
	c.assume(now, ColdFromEvacuation)
	c.floor = c.until
	c.isHealthPending = true
	return true
}

// Limit returns the rate of calls that the target accepts while it is cold, 0 for any,
// and the end of that state.
func (c *ColdState) Limit() (perSecond float64, until time.Time) { return c.perSecond, c.until }

// Source returns what the present state is based on.
func (c *ColdState) Source() ColdSource { return c.source }

// TakeHealthRequest reports whether the health endpoint is to be asked now. If so, it
// counts as asked.
func (c *ColdState) TakeHealthRequest(now time.Time) bool {
	if c.perSecond == 0 {
		return false
	}
	isDue := c.isEvacuated && now.Sub(c.healthAskedAt) >= healthInterval
	if !c.isHealthPending && !isDue {
		return false
	}
	c.isHealthPending, c.healthAskedAt = false, now
	return true
}

// NextHealthRequest returns the time of the next health request during an evacuation. It
// returns false outside one.
func (c *ColdState) NextHealthRequest() (at time.Time, isNeeded bool) {
	return c.healthAskedAt.Add(healthInterval), c.perSecond > 0 && c.isEvacuated
}

// maxColdStarts returns the number of calls to a cold target that may start within
// coldWindow, at least one.
func maxColdStarts(perSecond float64) int {
	return int(min(max(math.Floor(perSecond*coldOvershoot+coldSlack), 1), maxStartsKept))
}

// startLog holds the times at which the last calls were started, as many as may start
// within coldWindow. The zero value holds none.
type startLog struct {
	// starts is a ring. next is the index of its oldest element once it is full.
	starts []time.Time
	next   int
}

// resize sets the number of starts that are kept to that for the rate, 0 for none. It
// keeps the latest ones.
func (l *startLog) resize(perSecond float64) {
	size := 0
	if perSecond > 0 {
		size = maxColdStarts(perSecond)
	}
	if size == len(l.starts) {
		return
	}
	resized := startLog{starts: make([]time.Time, size)}
	for i := range l.starts {
		resized.add(l.starts[(l.next+i)%len(l.starts)])
	}
	*l = resized
}

// add records a start.
func (l *startLog) add(at time.Time) {
	if len(l.starts) == 0 {
		return
	}
	l.starts[l.next] = at
	l.next = (l.next + 1) % len(l.starts)
}

// nextStart returns the time at which so many more calls may have started, the zero time
// if any number may.
func (l *startLog) nextStart(starts int) time.Time {
	if len(l.starts) == 0 {
		return time.Time{}
	}
	blocking := l.starts[(l.next+min(starts, len(l.starts))-1)%len(l.starts)]
	if blocking.IsZero() {
		return time.Time{}
	}
	return blocking.Add(coldWindow)
}
