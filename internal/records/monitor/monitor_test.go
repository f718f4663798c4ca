package monitor_test

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/monitor"
)

func TestLastFailureIsKeptByKind(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	m := monitor.New(monitor.Config{Clock: clock})
	is.True(m.LastFailure().IsZero())
	m.RecordFailure("leaves")
	now := clock.Now()
	m.MergeFailure("leaves", now.Add(-time.Second)) // an older report changes nothing
	m.MergeFailure("config", now.Add(-time.Second))
	is.Equal(m.FailedAt("leaves"), now)
	is.Equal(m.FailedAt("config"), now.Add(-time.Second))
	is.True(m.FailedAt("evacuations").IsZero())
	is.Equal(m.LastFailure(), now)
}

func TestOwnCallsCountAsAskedButNotAsThoseOfOthers(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	m := monitor.New(monitor.Config{Clock: clock})
	asked := clock.Now().Add(-time.Second)
	m.MergeAsked("leaves", asked)
	m.MergeAsked("leaves", asked.Add(-time.Second)) // an older report changes nothing
	is.Equal(m.AskedAt("leaves"), asked)
	m.SetReading("leaves", true)
	is.True(m.IsReading("leaves"))
	is.Equal(m.AskedAt("leaves"), clock.Now())
	is.Equal(m.OthersAskedAt("leaves"), asked)
	m.SetReading("leaves", false)
	is.Equal(m.AskedAt("leaves"), asked)
}
