// Package sleeper waits on a clock that is passed in. A duration flows in; the wait ends when it is over
// or with the context, whichever comes first.
package sleeper

import (
	"context"
	"time"

	"github.com/coder/quartz"
)

// Sleep waits for the duration on the clock, or until the context ends.
func Sleep(ctx context.Context, clock quartz.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
