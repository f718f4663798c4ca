package idler_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entrance/idler"
)

// connection notes that it was closed.
type connection struct {
	net.Conn
	closed bool
}

func (c *connection) Close() error {
	c.closed = true
	return nil
}

func TestIdleConnectionsAreClosedInTime(t *testing.T) {
	is := is.New(t)
	clock, timeout := quartz.NewMock(t), 15*time.Second
	i := idler.New(idler.Config{Timeout: func() time.Duration { return timeout }, Clock: clock})
	idle, used, kept := &connection{}, &connection{}, &connection{}
	i.Observe(idle, http.StateIdle)
	i.Observe(used, http.StateIdle)
	clock.Advance(12 * time.Second).MustWait(t.Context())
	i.Observe(used, http.StateActive)
	timeout = 0 // the configuration has changed
	i.Observe(kept, http.StateIdle)
	clock.Advance(3 * time.Second).MustWait(t.Context())
	is.True(idle.closed)
	is.True(!used.closed)
	is.True(!kept.closed)
}
