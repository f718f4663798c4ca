package throttler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/throttler"
)

func TestThrottlerWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slots := throttler.New(throttler.Config{Limit: 1, Clock: quartz.NewReal()})
		ctx := context.Background()
		is.True(slots.Acquire(ctx, time.Second))
		start := time.Now()
		is.True(!slots.Acquire(ctx, time.Second)) // the wait ends before the slot is free
		is.Equal(time.Since(start), time.Second)
		go func() {
			time.Sleep(500 * time.Millisecond)
			slots.Release()
		}()
		is.True(slots.Acquire(ctx, time.Second))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		is.True(!slots.Acquire(ended, time.Second)) // the caller has disconnected
	})
}
