// Package reaper closes callers' connections that stay idle longer than the configuration allows. It observes the
// state changes of an HTTP server's connections and, through its listener, what the server reads from them. The
// server's own idle timeout does not suffice, because it is fixed at start, while the configuration may change at any
// time.
package reaper

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/quartz"
)

type (
	// Config holds what a Reaper needs.
	Config struct {
		// Timeout returns how long a connection may stay idle; 0 means no limit.
		Timeout func() time.Duration
		Clock   quartz.Clock
	}

	// Reaper tracks idle connections and closes them after the timeout. It is safe for concurrent use.
	Reaper struct {
		config Config
		mutex  sync.Mutex
		// timers has one timer for each idle connection.
		timers map[net.Conn]*quartz.Timer
	}
)

// New returns a Reaper.
func New(c Config) *Reaper {
	return &Reaper{config: c, timers: map[net.Conn]*quartz.Timer{}}
}

// Listener returns a listener for the server whose connections the Reaper observes. It makes sure that a connection is
// not closed once the server has read a byte of a request, which is some time before the server calls it active.
func (r *Reaper) Listener(l net.Listener) net.Listener {
	return &listener{l}
}

// Observe handles a state change of a connection. It has the signature of http.Server.ConnState.
func (r *Reaper) Observe(c net.Conn, state http.ConnState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if timer := r.timers[c]; timer != nil {
		timer.Stop()
		delete(r.timers, c)
	}
	if timeout := r.config.Timeout(); state == http.StateIdle && timeout > 0 {
		if t, tracked := c.(*connection); tracked {
			t.expectRequest()
		}
		r.timers[c] = r.config.Clock.AfterFunc(timeout, func() { r.close(c, timeout) })
	}
}

// close closes a connection unless it has become active since its timer expired. One of which a request has begun to
// arrive has the timeout once more.
func (r *Reaper) close(c net.Conn, timeout time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	timer := r.timers[c]
	if timer == nil {
		return
	}
	if t, tracked := c.(*connection); tracked && !t.refuseRequest() {
		timer.Reset(timeout)
		return
	}
	delete(r.timers, c)
	// The caller sees the closed connection; no other action is possible on an error.
	_ = c.Close()
}
