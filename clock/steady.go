// Package clock reads clocks that decisions about leases rest on.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a clock that starts at the time of day and then goes on by the time
// since the boot of the machine. A step of the time of day does not move it, and
// unlike Go's monotonic clock it counts the time for which the machine was
// suspended, so that a lease ends by it while its holder sleeps.
type Steady struct {
	start  time.Time
	booted time.Duration
}

// NewSteady returns a clock that starts at the time of day.
func NewSteady(timeOfDay time.Time) (*Steady, error) {
	booted, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	return &Steady{start: timeOfDay.Round(0), booted: booted}, nil
}

// Now returns the time. It has no monotonic reading, so that times are compared
// by the steady clock alone.
func (s *Steady) Now() time.Time {
	booted, err := sinceBoot()
	if err != nil {
		// The same call worked in NewSteady, and nothing can take it away.
		panic(err)
	}
	return s.start.Add(booted - s.booted)
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read the time since boot: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
