// Package sleeper sleeps on a given clock, so that tests can control time, and returns early when a context
// ends.
package sleeper

import (
	"context"
	"time"

	"github.com/coder/quartz"
)

// Sleep blocks until d has passed on the clock or ctx is done, whichever comes first.
func Sleep(ctx context.Context, clock quartz.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
