package delivery

import (
	"sync"
	"time"
)

const (
	// admissionsPerSecond limits the rate at which a source opens the sessions
	// of proxies, so that it has time for its other work when many of them
	// reconnect at once.
	admissionsPerSecond = 500
	// admissionBurst is the number of proxies' sessions that can open without
	// waiting.
	admissionBurst = 200
	// maxAdmissionWait limits the wait that a source requests. A subscriber that
	// would have to wait longer gets no ticket and tries again after this time.
	maxAdmissionWait = 30 * time.Second
	// ticketGrace is the time for which a ticket remains valid after its turn.
	ticketGrace = 5 * time.Second
)

// admission is a token bucket that assigns future tokens: a subscriber that has
// to wait receives a ticket with the time of its turn and returns with it.
type admission struct {
	interval time.Duration
	burst    int

	mu sync.Mutex
	// lastTurn is the turn of the last assigned token. After a pause it is
	// raised so that at most burst tokens are available. It is guarded by mu.
	lastTurn time.Time
}

func newAdmission(perSecond, burst int) *admission {
	return &admission{interval: time.Second / time.Duration(perSecond), burst: burst}
}

// admit returns 0 if a session may open, or else the time to wait and the
// ticket to return with, 0 for none.
func (a *admission) admit(now time.Time, ticket int64) (wait time.Duration, nextTicket int64) {
	if isTicketDue(now, ticket) {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if full := now.Add(-time.Duration(a.burst) * a.interval); a.lastTurn.Before(full) {
		a.lastTurn = full
	}
	turn := a.lastTurn.Add(a.interval)
	wait = turn.Sub(now)
	if wait <= 0 {
		a.lastTurn = turn
		return 0, 0
	}
	if wait > maxAdmissionWait {
		return maxAdmissionWait, 0
	}
	a.lastTurn = turn
	return wait, turn.UnixNano()
}

// isTicketDue reports whether the ticket's turn has come and the ticket has not
// expired.
func isTicketDue(now time.Time, ticket int64) bool {
	if ticket == 0 {
		return false
	}
	late := now.Sub(time.Unix(0, ticket))
	// The wait is sent in whole milliseconds, so a subscriber may return up to
	// one millisecond early.
	return late >= -time.Millisecond && late < ticketGrace
}
