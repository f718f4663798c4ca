package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
)

// newTCPLeaf returns the address of a leaf that reads one request on each connection, after which the request may
// have run, then calls respond and closes the connection.
func newTCPLeaf(t *testing.T, respond func(c *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// unusedAddress returns an address at which nobody listens until the test ends. Its port is bound, because the port of
// a listener that was closed may be given to another listener.
func unusedAddress(t *testing.T) string {
	is := is.New(t)
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(socket) })
	is.NoErr(unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(socket)
	is.NoErr(err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// TestSendReportsNotRunOnlyIfNeverSent guards against NotRun for a call that the leaf may have read and run: the
// caller may then send it a second time.
func TestSendReportsNotRunOnlyIfNeverSent(t *testing.T) {
	for _, c := range []struct {
		name    string
		address string
		notRun  bool
	}{
		{"nobody listens", unusedAddress(t), true},
		{"closed after the request", newTCPLeaf(t, func(*net.TCPConn) {}), false},
		{"reset after the request", newTCPLeaf(t, func(c *net.TCPConn) { _ = c.SetLinger(0) }), false},
		{"no HTTP", newTCPLeaf(t, func(c *net.TCPConn) { _, _ = c.Write([]byte("garbage\r\n\r\n")) }), false},
		{"ends within the head", newTCPLeaf(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nStep-"))
		}), false},
		{"ends within the body", newTCPLeaf(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))
		}), false},
		{"silent until the deadline", newTCPLeaf(t, func(*net.TCPConn) { time.Sleep(time.Second) }), false},
	} {
		for _, path := range []string{sender.PathSubmit, sender.PathSearch} {
			t.Run(c.name+path, func(t *testing.T) {
				is := is.New(t)
				s := sender.New(sender.Config{Address: c.address, Connections: 2})
				defer s.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				answer, err := s.Send(ctx, sender.Call{
					Path: path, RequestID: "r", Attempt: 1, TimeLeft: 200 * time.Millisecond, Body: "{}",
				})
				is.True(err != nil)
				is.Equal(answer.NotRun, c.notRun)
			})
		}
	}
}
