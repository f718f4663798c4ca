// Package idler closes callers' connections that stay idle longer than the configuration allows. It observes the
// state changes of an HTTP server's connections. The server's own idle timeout does not suffice, because it is fixed
// at start, while the configuration may change at any time.
package idler

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/quartz"
)

type (
	// Config holds what an Idler needs.
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

// New returns an Idler.
func New(c Config) *Reaper {
	return &Reaper{config: c, timers: map[net.Conn]*quartz.Timer{}}
}

// Observe handles a state change of a connection. It has the signature of http.Server.ConnState.
func (i *Reaper) Observe(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	if timeout := i.config.Timeout(); state == http.StateIdle && timeout > 0 {
		i.timers[c] = i.config.Clock.AfterFunc(timeout, func() { i.close(c) })
	}
}

// close closes a connection unless it has become active since its timer expired.
func (i *Reaper) close(c net.Conn) {
	i.mutex.Lock()
	_, idle := i.timers[c]
	delete(i.timers, c)
	i.mutex.Unlock()
	if idle {
		// The caller sees the closed connection; no other action is possible on an error.
		_ = c.Close()
	}
}
