package delivery

import (
	"sync"
	"time"
)

const (
	// admissionsPerSecond bounds the sessions that a source opens, so that a
	// herd of proxies that comes back leaves it time for its other work.
	admissionsPerSecond = 500
	// admissionBurst is the number of sessions that open without a wait.
	admissionBurst = 200
	// admissionHorizon bounds the wait that a source asks for. A herd that
	// would take longer is spread over this time and asks again.
	admissionHorizon = 30 * time.Second
	// ticketGrace is the time after its turn for which a ticket admits.
	ticketGrace = 5 * time.Second
)

// admission is a token bucket that hands out the turns ahead of it: who has to
// wait is told its turn and comes back with a ticket for it.
type admission struct {
	interval time.Duration
	burst    int

	mu sync.Mutex
	// next is the time at which the bucket's next token is free. It is guarded
	// by mu.
	next time.Time
}

func newAdmission(perSecond, burst int) *admission {
	return &admission{interval: time.Second / time.Duration(perSecond), burst: burst}
}

// admit returns 0 if a session may open, or the time to wait and the ticket to
// come back with.
func (a *admission) admit(now time.Time, ticket int64) (wait time.Duration, nextTicket int64) {
	if isTurnOf(now, ticket) {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if full := now.Add(-time.Duration(a.burst) * a.interval); a.next.Before(full) {
		a.next = full
	}
	turn := a.next.Add(a.interval)
	wait = turn.Sub(now)
	if wait <= 0 {
		a.next = turn
		return 0, 0
	}
	if wait > admissionHorizon {
		return admissionHorizon, 0
	}
	a.next = turn
	return wait, turn.UnixNano()
}

// isTurnOf reports whether the ticket's turn has come and is not long past.
func isTurnOf(now time.Time, ticket int64) bool {
	if ticket == 0 {
		return false
	}
	late := now.Sub(time.Unix(0, ticket))
	return late >= -time.Millisecond && late < ticketGrace
}
