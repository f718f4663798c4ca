package estimator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/estimator"
)

// TestEstimatorQuantilesUnfinishedCallsAndExpiry guards against estimates that ignore calls which never end, and
// against samples that outlive their two windows.
func TestEstimatorQuantilesUnfinishedCallsAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := estimator.New(estimator.Config{Clock: quartz.NewReal()})
		_, ok := e.Quantile(0.5)
		is.True(!ok) // no samples yet
		for i := range 1000 {
			e.Record(time.Duration(i+1) * 100 * time.Microsecond)
		}
		time.Sleep(time.Second)
		middle, ok := e.Quantile(0.5)
		is.True(ok)
		is.True(middle > 48*time.Millisecond && middle < 52*time.Millisecond) // two significant digits
		left := e.StillOpenProbability(50*time.Millisecond, 25*time.Millisecond)
		is.True(left > 0.45 && left < 0.55)
		is.True(e.ExceedsMeasured(time.Second) && !e.ExceedsMeasured(50*time.Millisecond))
		is.Equal(e.StillOpenProbability(time.Second, time.Second) < 0.6, true) // an old call may still end
		for range 1000 {
			e.RecordUnfinished()
		}
		time.Sleep(time.Second)
		is.True(e.StillOpenProbability(time.Second, time.Second) > 0.99) // but hardly if half of the calls are unfinished
		time.Sleep(25 * time.Second)
		e.Quantile(0.5)
		time.Sleep(25 * time.Second)
		_, ok = e.Quantile(0.5)
		is.True(!ok) // old samples have expired
	})
}
