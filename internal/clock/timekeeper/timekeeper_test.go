package timekeeper_test

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/clock/timekeeper"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// Guards against a suspended node that takes its documents for confirmed just now when it wakes.
func TestSuspendedTimeCountsInAgeOfConfirmation(t *testing.T) {
	is := is.New(t)
	uptime := time.Hour
	clock := timekeeper.New(timekeeper.Config{
		Clock: quartz.NewMock(t), SinceBoot: func() (time.Duration, bool) { return uptime, true },
	})
	r := replicator.New(replicator.Config{Clock: clock, OnChange: func(replicator.Document, time.Time) {}})
	r.ApplyList("config", nil, replicator.Point{Revision: 7}, clock.Now())
	uptime += 5 * time.Second // the monotonic clock stands still
	is.Equal(clock.Since(r.Position("config").ConfirmedAt), 5*time.Second)
	is.Equal(clock.Until(clock.Now().Add(time.Second)), time.Second)
}

func TestTimeOfDayIsThatOfTheStart(t *testing.T) {
	is := is.New(t)
	mock := quartz.NewMock(t)
	clock := timekeeper.New(timekeeper.Config{
		Clock: mock, SinceBoot: func() (time.Duration, bool) { return time.Hour, true },
	})
	is.True(clock.Now().Equal(mock.Now()))
	is.True(time.Since(timekeeper.New(timekeeper.Config{Clock: quartz.NewReal()}).Now()).Abs() < time.Minute)
}

func TestClockWithoutTimeSinceBootIsUsedAsItIs(t *testing.T) {
	is := is.New(t)
	mock := quartz.NewMock(t)
	clock := timekeeper.New(timekeeper.Config{
		Clock: mock, SinceBoot: func() (time.Duration, bool) { return 0, false },
	})
	mock.Advance(time.Second)
	is.True(clock.Now().Equal(mock.Now()))
}
