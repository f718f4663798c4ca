package sender_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
)

// rawLeaf reads one request on each connection, which runs from then on, and then breaks off as the handler says.
func rawLeaf(t *testing.T, breakOff func(c *net.TCPConn)) string {
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
					breakOff(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// unused returns an address at which nobody listens.
func unused(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	_ = listener.Close()
	return listener.Addr().String()
}

// A call is said not to have run only when the leaf cannot have read it: whoever hears that may send it again.
func TestOnlyACallThatNeverLeftIsSaidNotToHaveRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		address string
		notRun  bool
	}{
		{"nobody listens", unused(t), true},
		{"closed after the request", rawLeaf(t, func(*net.TCPConn) {}), false},
		{"reset after the request", rawLeaf(t, func(c *net.TCPConn) { _ = c.SetLinger(0) }), false},
		{"no HTTP", rawLeaf(t, func(c *net.TCPConn) { _, _ = c.Write([]byte("garbage\r\n\r\n")) }), false},
		{"ends within the head", rawLeaf(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nStep-"))
		}), false},
		{"ends within the body", rawLeaf(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))
		}), false},
		{"silent until the deadline", rawLeaf(t, func(*net.TCPConn) { time.Sleep(time.Second) }), false},
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
