// Package timekeeper is a clock that also counts the time for which the VM was suspended. The monotonic clock, from
// which Go measures durations, stands still meanwhile; what was confirmed before a suspension would still seem fresh
// after it.
package timekeeper

import (
	"time"

	"github.com/coder/quartz"
	"golang.org/x/sys/unix"
)

type (
	// Config holds what a Timekeeper needs.
	Config struct {
		// Clock runs the timers, which do not count suspended time.
		Clock quartz.Clock
		// SinceBoot returns the time since the VM was booted, including suspended time, or false if it is not known;
		// nil means the operating system's clock.
		SinceBoot func() (time.Duration, bool)
	}

	// Timekeeper is a quartz.Clock whose time never jumps with the time of day. It is safe for concurrent use.
	Timekeeper struct {
		quartz.Clock
		sinceBoot func() (time.Duration, bool)
		// bootedAt is the time of day of the boot as of the Timekeeper's start.
		bootedAt time.Time
	}
)

// New returns a Timekeeper. It falls back to Config.Clock if the time since the boot is not known.
func New(c Config) quartz.Clock {
	if c.SinceBoot == nil {
		c.SinceBoot = sinceBoot
	}
	uptime, known := c.SinceBoot()
	if !known {
		return c.Clock
	}
	return &Timekeeper{Clock: c.Clock, sinceBoot: c.SinceBoot, bootedAt: c.Clock.Now().Round(0).Add(-uptime)}
}

// Now returns the time of day at the start plus the time since then.
func (t *Timekeeper) Now(...string) time.Time {
	uptime, _ := t.sinceBoot()
	return t.bootedAt.Add(uptime)
}

// Since returns the time since at, including suspended time.
func (t *Timekeeper) Since(at time.Time, _ ...string) time.Duration {
	return t.Now().Sub(at)
}

// Until returns the time until at, including suspended time.
func (t *Timekeeper) Until(at time.Time, _ ...string) time.Duration {
	return at.Sub(t.Now())
}

func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
