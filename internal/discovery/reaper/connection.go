package reaper

import (
	"net"
	"sync"
)

const (
	// noRequest means that no byte of the first or next request has been read.
	noRequest requestState = iota
	// requestBegun means that a byte of a request has been read since the connection was idle.
	requestBegun
	// requestRefused means that no further byte may be read.
	requestRefused
)

type (
	requestState int

	// listener accepts connections whose reads a Reaper can refuse.
	listener struct {
		net.Listener
	}

	// connection is a connection of which either a request is read or no further byte, as soon as its idle time is over.
	connection struct {
		net.Conn
		mutex sync.Mutex
		state requestState
	}
)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c}, nil
}

// Read implements net.Conn. After refuseRequest it returns no bytes, also if some have arrived before.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == requestRefused {
		return 0, net.ErrClosed
	}
	c.state = requestBegun
	return n, err
}

// expectRequest is called when the connection becomes idle.
func (c *connection) expectRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = noRequest
}

// refuseRequest makes all further reads fail and returns true, unless a byte has been read since the connection became
// idle. Then it returns false, but true when it is called again.
func (c *connection) refuseRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == requestBegun {
		c.state = noRequest
		return false
	}
	c.state = requestRefused
	return true
}

// refuseUnlessBegun makes all further reads fail and returns true, unless a byte has been read since the connection was
// opened or became idle.
func (c *connection) refuseUnlessBegun() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == requestBegun {
		return false
	}
	c.state = requestRefused
	return true
}

// CloseWrite ends the sending direction, for a server that closes a connection on which bytes may still arrive.
func (c *connection) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// NetConn returns the connection that is wrapped.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}
