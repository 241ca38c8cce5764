package route

import "time"

const (
	// shedFactor is the factor by which a limit is multiplied when the target
	// sheds load.
	shedFactor = 0.8
	// shedInterval is the minimum time between two reductions of a limit, so
	// that the calls of one burst reduce it once.
	shedInterval = 100 * time.Millisecond
	// durationWeight is the weight of one call in the mean duration.
	durationWeight = 0.05
)

// Limit is the adaptive concurrency limit of a target. It follows the announced
// slots and decreases while the target sheds load.
type Limit struct {
	slots   float64
	current float64
	shedAt  time.Time
	// before is the limit before the reductions that followed each other within
	// regardlessTime.
	before float64
	// mean is the mean duration of a call, 0 before the first call has ended.
	mean time.Duration
}

// SetSlots sets the announced number of slots.
func (l *Limit) SetSlots(slots int) {
	slots = max(slots, 1)
	if l.current == 0 || l.current >= l.slots {
		l.current = float64(slots)
	}
	l.slots = float64(slots)
	l.current = min(l.current, l.slots)
}

// Current returns the number of calls that may run concurrently, at least one.
func (l *Limit) Current() int { return max(int(l.current), 1) }

// Slots returns the announced number of slots, at least one.
func (l *Limit) Slots() int { return max(int(l.slots), 1) }

// Mean returns the mean duration of a call.
func (l *Limit) Mean() time.Duration { return l.mean }

// Done records the end of a call. A call that the target shed reduces the
// limit; any other call raises it step by step, up to the announced slots.
func (l *Limit) Done(now time.Time, duration time.Duration, shed bool) {
	if shed {
		if now.Sub(l.shedAt) >= shedInterval {
			if now.Sub(l.shedAt) >= regardlessTime {
				l.before = l.current
			}
			l.shedAt = now
			l.current = max(l.current*shedFactor, 1)
		}
		return
	}
	l.current = min(l.current+1/max(l.current, 1), l.slots)
	if l.mean == 0 {
		l.mean = duration
		return
	}
	l.mean += time.Duration(durationWeight * float64(duration-l.mean))
}

// Restore withdraws the recent reductions, because the calls were not shed for load.
func (l *Limit) Restore(now time.Time) {
	if now.Sub(l.shedAt) >= regardlessTime {
		return
	}
	l.current = min(max(l.current, l.before), l.slots)
	l.before = l.current
}
