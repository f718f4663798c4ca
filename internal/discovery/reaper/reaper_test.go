package reaper_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/reaper"
)

// fakeConnection records whether it was closed.
type fakeConnection struct {
	net.Conn
	closed bool
}

func (c *fakeConnection) Close() error {
	c.closed = true
	return nil
}

func TestReaperClosesConnectionAfterTimeout(t *testing.T) {
	is := is.New(t)
	clock, timeout := quartz.NewMock(t), 15*time.Second
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return timeout }, Clock: clock})
	idle, active, unlimited := &fakeConnection{}, &fakeConnection{}, &fakeConnection{}
	r.Observe(idle, http.StateIdle)
	r.Observe(active, http.StateIdle)
	clock.Advance(12 * time.Second).MustWait(t.Context())
	r.Observe(active, http.StateActive)
	timeout = 0 // the configuration has changed
	r.Observe(unlimited, http.StateIdle)
	clock.Advance(3 * time.Second).MustWait(t.Context())
	is.True(idle.closed)
	is.True(!active.closed)
	is.True(!unlimited.closed)
}
