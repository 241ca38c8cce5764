package route

import "time"

// Fractions of the grace period of a planned stop.
const (
	// refuseFraction is the fraction after which an entry proxy accepts no call. Readiness
	// turns false at once, but callers use open connections until the process has ended.
	refuseFraction = 0.5
	// abandonFraction is the fraction after which calls that still run are abandoned. Only
	// a call that its target still runs in the last sixth may be abandoned, so this is
	// within it: a response that a target gives just before it has 250 ms of 6 s for its way
	// to the caller.
	abandonFraction = 7.0 / 8
	// sendFraction is the fraction by which a response has to be sent. The rest until
	// endFraction is for its way to the caller.
	sendFraction = 43.0 / 48
	// endFraction is the fraction after which the process waits for nothing more. The rest
	// is left for the end of its components: 500 ms of 6 s. With 250 ms, 16 processes with 0.16
	// of a core were killed on a day of heavy load.
	endFraction = 11.0 / 12
	// exitFraction is the fraction after which the process ends although components still
	// run. A component may take 500 ms to say goodbye over a congested link.
	exitFraction = 15.0 / 16
	// unusedFraction is the longest time for which a server waits, once the calls have
	// ended, for connections on which no request has arrived: 250 ms of 6 s.
	unusedFraction = 1.0 / 24
)

// Stop is the schedule of a planned stop of a proxy. The process is killed once the grace
// period is over.
type Stop struct {
	// Began is the time of the signal.
	Began time.Time
	// Grace is the length of the grace period. It is greater than zero.
	Grace time.Duration
}

func (s Stop) at(fraction float64) time.Time {
	return s.Began.Add(time.Duration(fraction * float64(s.Grace)))
}

// RefuseAt returns the time from which on no call of a caller is accepted.
func (s Stop) RefuseAt() time.Time { return s.at(refuseFraction) }

// AbandonAt returns the time at which the calls without a response are abandoned.
func (s Stop) AbandonAt() time.Time { return s.at(abandonFraction) }

// SendBy returns the time by which a response has to be sent. One that takes longer would
// be cut.
func (s Stop) SendBy() time.Time { return s.at(sendFraction) }

// EndAt returns the time from which on the process waits for nothing.
func (s Stop) EndAt() time.Time { return s.at(endFraction) }

// ExitAt returns the time at which the process ends, whatever still runs.
func (s Stop) ExitAt() time.Time { return s.at(exitFraction) }

// ShutdownLimits returns the time that a server may wait from now on for the ends of
// requests, and that for connections on which no request has arrived.
func (s Stop) ShutdownLimits(now time.Time) (requests, unused time.Duration) {
	requests = max(s.EndAt().Sub(now), 0)
	return requests, min(requests, time.Duration(unusedFraction*float64(s.Grace)))
}

// AcceptsCall reports whether a call that arrives from a caller now, and whose route's
// calls take the given mean time, is accepted.
func (s Stop) AcceptsCall(now time.Time, mean time.Duration) bool {
	return now.Before(s.RefuseAt()) && s.StartsCall(now, mean)
}

// StartsCall reports whether a call that was accepted may be handed to a target now: its
// route's calls, which take the given mean time, would end before they are abandoned.
func (s Stop) StartsCall(now time.Time, mean time.Duration) bool {
	return now.Add(mean).Before(s.AbandonAt())
}

// ShouldAbandon reports whether the calls without a response are abandoned now.
func (s Stop) ShouldAbandon(now time.Time) bool { return !now.Before(s.AbandonAt()) }
