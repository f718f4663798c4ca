// Package dialer makes dialers for long-lived connections, to other nodes and to the platform's store. TCP
// keep-alive probes detect that the other side has gone silent even while a connection is idle.
package dialer

import (
	"net"
	"time"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount together end a silent connection within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Config holds what a dialer needs.
type Config struct {
	// Timeout bounds connecting.
	Timeout time.Duration
}

// New returns a dialer that enables TCP keep-alive on its connections.
func New(c Config) *net.Dialer {
	return &net.Dialer{Timeout: c.Timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}
