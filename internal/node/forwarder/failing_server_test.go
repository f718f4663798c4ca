package forwarder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/selector"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const (
	callers   = "127.0.0.1:1"
	readiness = "127.0.0.1:2"
	directory = "127.0.0.1:3"
	peers     = "127.0.0.1:4"
	metricses = "127.0.0.1:5"

	leafTime      = 400 * time.Millisecond
	shortStopTime = time.Second
)

var errBroken = errors.New("broken")

type (
	// silentStore never answers.
	silentStore struct{}

	// brokenListener accepts nothing and fails for good once it is broken.
	brokenListener struct {
		broken chan struct{}
	}

	// servingNode is a node with one route to one leaf, each of whose servers listens on a free port.
	servingNode struct {
		*Node
		// arrived receives an item for each request that has reached the leaf.
		arrived chan struct{}
		callers chan string
	}
)

func (silentStore) List(ctx context.Context, _ string) ([]replicator.Document, replicator.Point, error) {
	<-ctx.Done()
	return nil, replicator.Point{}, ctx.Err()
}

func (silentStore) Watch(
	ctx context.Context, _ string, _ int64, _ time.Duration, _ int64,
) ([]replicator.Document, replicator.Point, error) {
	<-ctx.Done()
	return nil, replicator.Point{}, ctx.Err()
}

func (silentStore) Put(ctx context.Context, _, _ string, _ []byte) error {
	<-ctx.Done()
	return ctx.Err()
}

func (b *brokenListener) Accept() (net.Conn, error) {
	<-b.broken
	return nil, errBroken
}

func (*brokenListener) Close() error { return nil }

func (*brokenListener) Addr() net.Addr { return &net.TCPAddr{} }

// newServingNode returns a node. Listeners are opened by listen if it is not nil and returns one or an error.
func newServingNode(t *testing.T, listen func(address string) (net.Listener, error)) *servingNode {
	s := &servingNode{arrived: make(chan struct{}, 8), callers: make(chan string, 1)}
	leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived <- struct{}{}
		time.Sleep(leafTime)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Sign", "signed")
	}))
	t.Cleanup(leaf.Close)
	s.Node = New(Config{
		NodeName: "n1", AvailabilityZone: "z1", CPUShare: 1, CallerAddress: callers, ReadinessAddress: readiness,
		DirectoryAddress: directory, PeerAddress: peers, MetricsAddress: metricses,
		ReloadableSettings: ReloadableSettings{StopTime: shortStopTime, ConfigurationTime: time.Hour}, Store: silentStore{},
		Kinds: Kinds{Configuration: "c", Leaves: "l", Evacuations: "e", Nodes: "n"},
		HeaderNames: server.HeaderNames{HeaderNames: exchanger.HeaderNames{
			RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign", NotRun: "Not-Run", Leaving: "Leaving",
		}},
		DirectoryHandler: func(*selector.Selector, func() bool) http.Handler { return http.NotFoundHandler() },
		ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		Clock:            quartz.NewReal(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			if listen != nil {
				if l, err := listen(address); l != nil || err != nil {
					return l, err
				}
			}
			l, err := listenTCP(ctx, "127.0.0.1:0")
			if err == nil && address == callers {
				s.callers <- l.Addr().String()
			}
			return l, err
		},
	})
	s.balancer.SetServices(map[string]balancer.Service{"s": {MaxConnections: 8}})
	s.balancer.Put(balancer.Entry{ID: "l1", Service: "s", Address: leaf.Listener.Addr().String(), Zone: "z1", Slots: 8},
		time.Now())
	s.matcher.Store(matcher.New(matcher.Config{Version: 1, Routes: []matcher.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Timeout: 2 * time.Second, TargetLatency: time.Second, Attempts: 1,
		Targets: []matcher.Target{{Service: "s", Weight: 1}}, Idempotent: true,
	}}}))
	return s
}

// get sends a request on a new connection and returns the status; 0 if there was no answer.
func get(address, id string) int {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/x", address), nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = "h", true
	r.Header.Set("Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a server that fails and takes all requests in progress with it.
func TestFailedServerCutsNoRequest(t *testing.T) {
	is := is.New(t)
	broken := make(chan struct{})
	s := newServingNode(t, func(address string) (net.Listener, error) {
		if address == readiness {
			return &brokenListener{broken: broken}, nil
		}
		return nil, nil
	})
	ended := make(chan error, 1)
	go func() { ended <- s.Run(t.Context()) }()
	address := <-s.callers
	statuses := make(chan int, 1)
	go func() { statuses <- get(address, "r1") }()
	<-s.arrived
	close(broken)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(len(ended), 0)          // the process would have ended before the answer
	is.True(get(address, "r2") != 0) // a caller that has the address still gets an answer
	is.True(errors.Is(<-ended, errBroken))
}

// Guards against a node that does not start because its predecessor has not ended, or because nobody can read its
// metrics.
func TestNodeServesAlthoughAddressIsInUse(t *testing.T) {
	is := is.New(t)
	startedAt := time.Now()
	s := newServingNode(t, func(address string) (net.Listener, error) {
		if address == metricses || time.Since(startedAt) < shortStopTime/2 {
			return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
		}
		return nil, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	select {
	case address := <-s.callers:
		time.Sleep(2 * shortStopTime) // the attempts to serve metrics fail meanwhile
		is.Equal(get(address, "r1"), http.StatusOK)
	case err := <-ended:
		is.NoErr(err)
	}
	cancel()
	is.NoErr(<-ended)
}

// Guards against a node that tries for ever to listen on an address that another process keeps.
func TestNodeEndsIfAddressStaysInUse(t *testing.T) {
	is := is.New(t)
	s := newServingNode(t, func(string) (net.Listener, error) {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	})
	startedAt := time.Now()
	is.True(errors.Is(s.Run(t.Context()), syscall.EADDRINUSE))
	is.True(time.Since(startedAt) < 2*shortStopTime)
}
