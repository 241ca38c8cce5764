// Package clock provides the clock by which a process measures leases. The process
// creates one at its start. Its methods are safe for
// concurrent use.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a clock that starts at the wall clock time and then advances with
// CLOCK_BOOTTIME. Adjustments of the wall clock do not affect it. Unlike Go's
// monotonic clock it counts the time for which the machine was suspended, so
// that a lease expires on it while its holder is suspended.
type Steady struct {
	start         time.Time
	uptimeAtStart time.Duration
}

// NewSteady returns a clock that starts at the given wall clock time.
func NewSteady(wallClock time.Time) (*Steady, error) {
	uptime, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	return &Steady{start: wallClock.Round(0), uptimeAtStart: uptime}, nil
}

// Now returns the time without a monotonic reading, so that times are compared
// by this clock alone.
func (s *Steady) Now() time.Time {
	uptime, err := sinceBoot()
	if err != nil {
		// The same call succeeded in NewSteady.
		panic(err)
	}
	return s.start.Add(uptime - s.uptimeAtStart)
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read the time since boot: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
