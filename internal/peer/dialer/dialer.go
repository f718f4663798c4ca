// Package dialer opens connections that may be idle for long and must show when the other side goes silent: to
// other nodes and to the platform's store. A timeout flows in, a dialer of the standard library flows out.
package dialer

import (
	"net"
	"time"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount end a silent connection within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Config holds what a dialer needs.
type Config struct {
	// Timeout bounds connecting.
	Timeout time.Duration
}

// New returns a dialer whose connections are probed while they are idle.
func New(c Config) *net.Dialer {
	return &net.Dialer{Timeout: c.Timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}
