package reaper

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// noRequest means that no byte of the first or next request has been read.
	noRequest requestState = iota
	// requestBegun means that a byte of a request has been read since the connection was idle, or a whole request.
	requestBegun
	// requestOverdue means the same, and that the connection was kept open for it once after its idle time was over.
	requestOverdue
	// requestRefused means that the server closes the connection at its next read, unless it has a request already.
	requestRefused
)

const (
	// lingerTime is how long a connection that is closed while bytes of the caller are unread stays open for the caller
	// to read the answer, and lingerBytes how many more bytes are read meanwhile.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
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
		// reading is set while the server reads.
		reading bool
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

// Read implements net.Conn. After the connection has been refused it returns no bytes, unless a read that had begun
// before gets some.
func (c *connection) Read(b []byte) (int, error) {
	if !c.beginRead() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	if n > 0 {
		c.state = requestBegun
	}
	return n, err
}

func (c *connection) beginRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = c.state != requestRefused
	return c.reading
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that is being closed.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == requestRefused {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// expectRequest is called when the connection becomes idle.
func (c *connection) expectRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = noRequest
}

// beginRequest is called when a request has been read. Its bytes may have been read together with the request before.
func (c *connection) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = requestBegun
}

// refuseRequest has the server close the connection and returns true, unless a byte of a request has arrived since the
// connection became idle. Then it returns false, but true when it is called again before a further byte has come.
func (c *connection) refuseRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == requestBegun || c.state == noRequest && c.bytesWait() {
		c.state = requestOverdue
		return false
	}
	c.refuseLocked()
	return true
}

// refuseUnlessBegun has the server close the connection unless a byte of a request has arrived since the connection was
// opened or became idle.
func (c *connection) refuseUnlessBegun() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == requestBegun || c.state == requestOverdue || c.state == noRequest && c.bytesWait() {
		return
	}
	c.refuseLocked()
}

// refuseLocked lets a read that is under way end at once, or the next one fail, after which the server closes the
// connection. If the server has a request all the same, because a read gets bytes or bytes were read together with the
// request before, the connection stays open for its answer.
func (c *connection) refuseLocked() {
	c.state = requestRefused
	if c.reading {
		// The caller sees the closed connection; no other action is possible on an error.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// bytesWait reports whether bytes have arrived that the server has not read yet, as on a machine that is slowed down.
func (c *connection) bytesWait() bool {
	socket := c.Conn
	for {
		wrapper, ok := socket.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		socket = wrapper.NetConn()
	}
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		waiting, _, _ = unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && waiting > 0
}

// Close implements net.Conn. Unread bytes would reset the connection and take the end of the answer with it, so the
// caller is first told that nothing follows, and what it sends is read until it closes.
func (c *connection) Close() error {
	if c.bytesWait() && c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
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
