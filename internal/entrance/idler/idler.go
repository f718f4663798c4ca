// Package idler closes callers' connections that stay idle for too long. Changes of the state of connections
// flow in from the server; connections are closed when the time that the configuration allows is over. The
// server's own timeout is fixed at its start, while the configuration may change at any time.
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
		// Timeout returns how long a connection may stay idle; 0 means for ever.
		Timeout func() time.Duration
		Clock   quartz.Clock
	}

	// Idler holds the idle connections. It is safe for concurrent use.
	Idler struct {
		config Config
		mutex  sync.Mutex
		// timers has one timer for each idle connection.
		timers map[net.Conn]*quartz.Timer
	}
)

// New returns an Idler.
func New(c Config) *Idler {
	return &Idler{config: c, timers: map[net.Conn]*quartz.Timer{}}
}

// Observe takes a change of the state of a connection.
func (i *Idler) Observe(c net.Conn, state http.ConnState) {
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

func (i *Idler) close(c net.Conn) {
	i.mutex.Lock()
	_, idle := i.timers[c]
	delete(i.timers, c)
	i.mutex.Unlock()
	if idle {
		// The caller sees the close; there is nothing else to do about an error.
		_ = c.Close()
	}
}
