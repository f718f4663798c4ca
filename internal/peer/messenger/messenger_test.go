package messenger_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

type (
	// answerer answers probes, or nothing while it is mute.
	answerer struct{ mute atomic.Bool }

	// cutConn loses what is written to it while cut is set: a cut in one direction.
	cutConn struct {
		net.Conn
		cut *atomic.Bool
	}
)

// HandleFrame implements messenger.Handler.
func (a *answerer) HandleFrame(_ context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	if !a.mute.Load() {
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: &pb.ProbeReply{Reached: true}}})
	}
}

func (c cutConn) Write(b []byte) (int, error) {
	if c.cut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newMessenger(h messenger.Handler, cut *atomic.Bool) *messenger.Messenger {
	return messenger.New(messenger.Config{
		NodeName: "node", Handler: h, Digest: func() uint64 { return 1 }, ObserveDigest: func(string, uint64) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return cutConn{c, cut}, err
		},
	})
}

// serve starts a peer and returns its address.
func serve(t *testing.T, address string, h messenger.Handler) string {
	listener, err := net.Listen("tcp", address)
	is.New(t).NoErr(err)
	m := newMessenger(h, &atomic.Bool{})
	go func() { _ = m.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		m.Close()
	})
	return listener.Addr().String()
}

func probe() *pb.Frame { return &pb.Frame{Body: &pb.Frame_Probe{Probe: &pb.Probe{}}} }

func TestCutInOneDirectionEndsCallsInTime(t *testing.T) {
	is := is.New(t)
	cut := &atomic.Bool{}
	m := newMessenger(&answerer{}, cut)
	defer m.Close()
	address := serve(t, "127.43.8.1:0", &answerer{})
	_, err := m.Call(t.Context(), address, messenger.PlaneControl, probe())
	is.NoErr(err)
	cut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = m.Call(ctx, address, messenger.PlaneControl, probe())
	is.True(errors.Is(err, messenger.ErrPeerLost)) // the outcome is unknown, and the call does not hang
}

func TestDropFailsOpenCalls(t *testing.T) {
	is := is.New(t)
	mute := &answerer{}
	mute.mute.Store(true)
	m := newMessenger(&answerer{}, &atomic.Bool{})
	defer m.Close()
	address := serve(t, "127.43.8.1:0", mute)
	failed := make(chan error, 1)
	go func() {
		_, err := m.Call(context.Background(), address, messenger.PlaneData, probe())
		failed <- err
	}()
	for m.Links() == 0 {
		time.Sleep(time.Millisecond)
	}
	m.Drop(address) // the view has declared the peer dead
	err := <-failed
	is.True(errors.Is(err, messenger.ErrPeerLost) || errors.Is(err, messenger.ErrNotSent))
	mute.mute.Store(false)
	_, err = m.Call(t.Context(), address, messenger.PlaneData, probe())
	is.NoErr(err) // the next call connects anew
}

func TestDeadAddressIsNotSent(t *testing.T) {
	is := is.New(t)
	m := newMessenger(&answerer{}, &atomic.Bool{})
	defer m.Close()
	_, err := m.Call(t.Context(), "127.43.8.9:1", messenger.PlaneControl, probe())
	is.True(errors.Is(err, messenger.ErrNotSent))
}

// BenchmarkCall makes probes over one long-lived stream, many at a time.
func BenchmarkCall(b *testing.B) {
	m := newMessenger(&answerer{}, &atomic.Bool{})
	defer m.Close()
	listener, _ := net.Listen("tcp", "127.43.8.2:0")
	defer listener.Close()
	peer := newMessenger(&answerer{}, &atomic.Bool{})
	defer peer.Close()
	go func() { _ = peer.Serve(listener) }()
	address := listener.Addr().String()
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := m.Call(b.Context(), address, messenger.PlaneData, probe()); err != nil {
				panic(fmt.Sprint(err))
			}
		}
	})
}
