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
		// timers has one timer for each idle connection; nil where there is no timeout.
		timers map[net.Conn]*quartz.Timer
		// busy has the connections that are neither closed nor idle, new ones included.
		busy map[net.Conn]struct{}
		// draining is set for good by Drain.
		draining bool
	}
)

// New returns a Reaper.
func New(c Config) *Reaper {
	return &Reaper{config: c, timers: map[net.Conn]*quartz.Timer{}, busy: map[net.Conn]struct{}{}}
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
	switch state {
	case http.StateNew:
		r.busy[c] = struct{}{}
		if r.draining {
			r.drain(c)
		}
	case http.StateActive:
		r.busy[c] = struct{}{}
		if t, tracked := c.(*connection); tracked {
			t.beginRequest()
		}
	case http.StateIdle:
		delete(r.busy, c)
		r.observeIdle(c)
	case http.StateClosed, http.StateHijacked:
		delete(r.busy, c)
	}
}

func (r *Reaper) observeIdle(c net.Conn) {
	if t, tracked := c.(*connection); tracked {
		t.expectRequest()
	}
	if r.draining {
		r.drain(c)
		return
	}
	if timeout := r.config.Timeout(); timeout > 0 {
		r.timers[c] = r.config.Clock.AfterFunc(timeout, func() { r.close(c, timeout) })
	} else {
		r.timers[c] = nil
	}
}

// Drain closes each idle or new connection now, and each other one when it becomes idle. A connection on which a
// request has begun to arrive is left open for its answer.
func (r *Reaper) Drain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = true
	for c, timer := range r.timers {
		if timer != nil {
			timer.Stop()
		}
		delete(r.timers, c)
		r.drain(c)
	}
	for c := range r.busy {
		r.drain(c)
	}
}

// drain closes a connection unless a request has begun to arrive on it.
func (r *Reaper) drain(c net.Conn) {
	r.busy[c] = struct{}{}
	if t, tracked := c.(*connection); tracked {
		t.refuseUnlessBegun()
	}
}

// Busy returns the number of connections that are neither closed nor idle.
func (r *Reaper) Busy() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.busy)
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
	t, tracked := c.(*connection)
	if tracked && !t.refuseRequest() {
		timer.Reset(timeout)
		return
	}
	delete(r.timers, c)
	if !tracked {
		// The caller sees the closed connection; no other action is possible on an error.
		_ = c.Close()
	}
}
