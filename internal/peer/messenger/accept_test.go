package messenger_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

// faultyListener fails a number of times before it accepts a connection.
type faultyListener struct {
	net.Listener
	failures atomic.Int64
	err      error
}

func (f *faultyListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: f.err}
	}
	return f.Listener.Accept()
}

// Guards against a node that ends, with all its requests, because it can't accept a connection of a peer for a moment.
func TestServeSurvivesErrorsOfAccept(t *testing.T) {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		t.Run(e.Error(), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.43.9.1:0")
			is.NoErr(err)
			f := &faultyListener{Listener: l, err: e}
			f.failures.Store(3)
			m := newMessenger(&probeHandler{}, &atomic.Bool{})
			ended := make(chan error, 1)
			go func() { ended <- m.Serve(f) }()
			caller := newMessenger(&probeHandler{}, &atomic.Bool{})
			defer caller.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = caller.Call(ctx, l.Addr().String(), messenger.PlaneControl, probeFrame())
			is.NoErr(err)
			is.NoErr(l.Close())
			m.Close()
			select {
			case err := <-ended:
				is.True(errors.Is(err, net.ErrClosed))
			case <-time.After(5 * time.Second):
				t.Fatal("still serves a closed listener")
			}
		})
	}
}
