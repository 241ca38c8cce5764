package route

import (
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// ShedCause says why a target shed a call, as far as its load shows.
type ShedCause int

// The causes of a shed call.
const (
	// ShedNone means that the call was not shed.
	ShedNone ShedCause = iota
	// ShedByLoad means that the target may be full. Its concurrency limit decreases.
	ShedByLoad
	// ShedWithFreeSlots means that the target stated free slots.
	ShedWithFreeSlots
	// ShedBelowPeak means that the target ran far fewer calls than shortly before.
	ShedBelowPeak
	// ShedRegardless means that recent calls were shed with free slots or below the peak,
	// so that this one says nothing either.
	ShedRegardless
)

func (c ShedCause) String() string {
	switch c {
	case ShedByLoad:
		return "load"
	case ShedWithFreeSlots:
		return "free_slots"
	case ShedBelowPeak:
		return "below_peak"
	case ShedRegardless:
		return "regardless"
	default:
		return "none"
	}
}

const (
	// StatementLifetime is the time for which the running calls, the waiting calls and
	// the slots that a target states are used.
	StatementLifetime = 300 * time.Millisecond
	// settleTime is the time after which a running call counts as accepted. Targets shed
	// calls sooner. Where calls last less, no call counts as accepted, and all sheds count
	// as load.
	settleTime = 20 * time.Millisecond
	// peakWindow is the time after which a peak of accepted calls is replaced. The peak is
	// that of the last one to two windows.
	peakWindow = time.Second
	// belowPeak is the fraction of the peak, less one call, below which a shed does not
	// come from the number of calls. A target counts a call a little longer or shorter
	// than its proxy does.
	belowPeak = 0.75
	// shedsRegardless is the number of sheds within regardlessTime that show that the
	// target sheds at any load. Single ones may have crossed the end of a call.
	shedsRegardless = 3
	// regardlessTime is the time for which sheds are taken to be independent of load after
	// the last one that shows it.
	regardlessTime = time.Second
)

// sheds decides whether the calls that a target sheds say anything about the number of
// calls it can run.
type sheds struct {
	statement hornbeamwell.LoadStatement
	statedAt  time.Time
	// starts holds the start times of the running calls in ascending order.
	starts []time.Time
	// peak is the maximum number of accepted calls since peakFrom, peakBefore that of the
	// window before.
	peak, peakBefore int
	peakFrom         time.Time
	// evidence counts the sheds that load does not explain. Its time is that of the last one.
	evidence   int
	evidenceAt time.Time
}

// start records the start of a call.
func (s *sheds) start(now time.Time) { s.starts = append(s.starts, now) }

// end records the end of a call. A call whose start is not known counts as the oldest.
func (s *sheds) end(now time.Time, duration time.Duration) {
	if len(s.starts) == 0 {
		return
	}
	started := now.Add(-duration)
	i, _ := slices.BinarySearchFunc(s.starts, started, time.Time.Compare)
	if i > 0 && (i == len(s.starts) || started.Sub(s.starts[i-1]) < s.starts[i].Sub(started)) {
		i--
	}
	s.starts = slices.Delete(s.starts, i, i+1)
}

// accepted returns the number of running calls that the target has not shed for a time.
func (s *sheds) accepted(now time.Time, settle time.Duration) int {
	i, _ := slices.BinarySearchFunc(s.starts, now.Add(-settle), time.Time.Compare)
	return i
}

// recordPeak records the number of accepted calls.
func (s *sheds) recordPeak(now time.Time, accepted int) {
	switch age := now.Sub(s.peakFrom); {
	case age >= 2*peakWindow:
		s.peak, s.peakBefore, s.peakFrom = 0, 0, now
	case age >= peakWindow:
		s.peak, s.peakBefore, s.peakFrom = 0, s.peak, now
	}
	s.peak = max(s.peak, accepted)
}

// state records what the target stated about its load.
func (s *sheds) state(now time.Time, statement hornbeamwell.LoadStatement) {
	if statement.IsStated {
		s.statement, s.statedAt = statement, now
	}
}

// statesFreeSlots reports whether the target stated recently that some of its slots are
// free. Up to an eighth of them may be free by chance when it sheds because it is full.
func (s *sheds) statesFreeSlots(now time.Time) bool {
	if !s.statement.IsStated || now.Sub(s.statedAt) > StatementLifetime {
		return false
	}
	margin := max(s.statement.Slots/8, 1)
	return s.statement.Running+s.statement.Waiting+margin <= s.statement.Slots
}

// judge returns the cause of a shed call that lasted for the duration and was ended
// before.
func (s *sheds) judge(now time.Time, duration time.Duration) ShedCause {
	accepted := s.accepted(now, max(2*duration, settleTime))
	s.recordPeak(now, accepted)
	cause := ShedByLoad
	switch {
	case s.statesFreeSlots(now):
		cause = ShedWithFreeSlots
	case float64(accepted) < belowPeak*float64(max(s.peak, s.peakBefore))-1:
		cause = ShedBelowPeak
	}
	if now.Sub(s.evidenceAt) > regardlessTime {
		s.evidence = 0
	}
	if cause != ShedByLoad {
		s.evidence++
		s.evidenceAt = now
	}
	if s.evidence >= shedsRegardless && cause == ShedByLoad {
		return ShedRegardless
	}
	return cause
}

// isRegardless reports whether the target sheds calls at any load.
func (s *sheds) isRegardless() bool { return s.evidence >= shedsRegardless }
