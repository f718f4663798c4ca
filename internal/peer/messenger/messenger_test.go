package messenger_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

type (
	// probeHandler answers probes, or nothing while silent is set.
	probeHandler struct{ silent atomic.Bool }

	// droppingConn drops writes while dropWrites is set, like a network partition in one direction.
	droppingConn struct {
		net.Conn
		dropWrites *atomic.Bool
	}
)

// HandleFrame implements messenger.Handler.
func (a *probeHandler) HandleFrame(_ context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	if !a.silent.Load() {
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: &pb.ProbeReply{Reached: true}}})
	}
}

func (c droppingConn) Write(b []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newMessenger(h messenger.Handler, dropWrites *atomic.Bool) *messenger.Messenger {
	return messenger.New(messenger.Config{
		NodeName: "node", Handler: h, ConfigDigest: func() uint64 { return 1 }, OnConfigDigest: func(string, uint64) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return droppingConn{c, dropWrites}, err
		},
	})
}

// startPeer starts a messenger that listens on the address, and returns the address with its port.
func startPeer(t *testing.T, address string, h messenger.Handler) string {
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

func probeFrame() *pb.Frame { return &pb.Frame{Body: &pb.Frame_Probe{Probe: &pb.Probe{}}} }

// Guards against calls that hang when the peer receives nothing while the connection still looks open.
func TestCallTimesOutOnOneWayNetworkPartition(t *testing.T) {
	is := is.New(t)
	dropWrites := &atomic.Bool{}
	m := newMessenger(&probeHandler{}, dropWrites)
	defer m.Close()
	address := startPeer(t, "127.43.8.1:0", &probeHandler{})
	_, err := m.Call(t.Context(), address, messenger.PlaneControl, probeFrame())
	is.NoErr(err)
	dropWrites.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = m.Call(ctx, address, messenger.PlaneControl, probeFrame())
	is.True(errors.Is(err, messenger.ErrPeerLost)) // the outcome is unknown; the call ends with its context
}

// Guards against calls that stay pending on a link to a peer that was declared dead, and against a closed link
// that is used again.
func TestCloseLinkFailsPendingCalls(t *testing.T) {
	is := is.New(t)
	peer := &probeHandler{}
	peer.silent.Store(true)
	m := newMessenger(&probeHandler{}, &atomic.Bool{})
	defer m.Close()
	address := startPeer(t, "127.43.8.1:0", peer)
	failed := make(chan error, 1)
	go func() {
		_, err := m.Call(context.Background(), address, messenger.PlaneData, probeFrame())
		failed <- err
	}()
	for m.LinkCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	m.CloseLink(address) // as when the view declares the peer dead
	err := <-failed
	is.True(errors.Is(err, messenger.ErrPeerLost) || errors.Is(err, messenger.ErrNotSent))
	peer.silent.Store(false)
	_, err = m.Call(t.Context(), address, messenger.PlaneData, probeFrame())
	is.NoErr(err) // the next call opens a new link
}

func TestCallToDeadAddressReturnsErrNotSent(t *testing.T) {
	is := is.New(t)
	m := newMessenger(&probeHandler{}, &atomic.Bool{})
	defer m.Close()
	_, err := m.Call(t.Context(), "127.43.8.9:1", messenger.PlaneControl, probeFrame())
	is.True(errors.Is(err, messenger.ErrNotSent))
}

// BenchmarkCall measures concurrent probes over one long-lived stream.
func BenchmarkCall(b *testing.B) {
	m := newMessenger(&probeHandler{}, &atomic.Bool{})
	defer m.Close()
	listener, _ := net.Listen("tcp", "127.43.8.2:0")
	defer listener.Close()
	peer := newMessenger(&probeHandler{}, &atomic.Bool{})
	defer peer.Close()
	go func() { _ = peer.Serve(listener) }()
	address := listener.Addr().String()
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := m.Call(b.Context(), address, messenger.PlaneData, probeFrame()); err != nil {
				panic(fmt.Sprint(err))
			}
		}
	})
}

// Guards against a peer whose frame takes more memory than the node has.
func TestFrameAboveLimitEndsLink(t *testing.T) {
	const maxFrameBytes = 64 << 10
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.43.8.1:0")
	is.NoErr(err)
	peer := messenger.New(messenger.Config{
		NodeName: "peer", Handler: &probeHandler{}, ConfigDigest: func() uint64 { return 1 },
		OnConfigDigest: func(string, uint64) {}, MaxFrameBytes: maxFrameBytes,
	})
	defer peer.Close()
	go func() { _ = peer.Serve(listener) }()
	m := newMessenger(&probeHandler{}, &atomic.Bool{})
	defer m.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for _, c := range []struct {
		bytes int
		lost  bool
	}{{maxFrameBytes / 2, false}, {maxFrameBytes, true}, {maxFrameBytes / 2, false}} {
		f := &pb.Frame{Body: &pb.Frame_IndirectProbe{
			IndirectProbe: &pb.IndirectProbe{Target: strings.Repeat("x", c.bytes)},
		}}
		_, err := m.Call(ctx, listener.Addr().String(), messenger.PlaneData, f)
		is.Equal(err != nil, c.lost)
		is.Equal(errors.Is(err, messenger.ErrPeerLost), c.lost)
	}
	is.NoErr(ctx.Err())
}
