package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	// testAddress is the loopback address of nodes that run within a test.
	testAddress = "127.49.0.1:0"
	// testStopTime is the stop time of these nodes, and testLatency the time that their leaf takes for an answer.
	testStopTime = 3 * time.Second
	testLatency  = 600 * time.Millisecond
)

type (
	// steppedClock is the clock of a node whose time of day was set back by a time after its start.
	steppedClock struct {
		quartz.Clock
		back time.Duration
	}

	// fakeStore has the documents of one configuration with one leaf.
	fakeStore struct{}

	// fakeDecoder returns the configuration with a route to the leaf, and the entry of the leaf.
	fakeDecoder struct {
		leafAddress string
	}

	// runningNode is a node that runs within the test.
	runningNode struct {
		node *Node
		// stop begins the planned stop. ended is closed after it.
		stop  context.CancelFunc
		ended chan struct{}
	}
)

func (c steppedClock) Now(...string) time.Time { return c.Clock.Now().Round(0).Add(c.back) }

func (c steppedClock) Since(at time.Time, _ ...string) time.Duration { return c.Now().Sub(at) }

func (c steppedClock) Until(at time.Time, _ ...string) time.Duration { return at.Sub(c.Now()) }

func (fakeStore) List(_ context.Context, kind string) ([]replicator.Document, replicator.Point, error) {
	switch kind {
	case "configuration":
		return []replicator.Document{{Kind: kind, Name: "main", Revision: 1}}, replicator.Point{Revision: 2}, nil
	case "leaves":
		return []replicator.Document{{Kind: kind, Name: "leaf", Revision: 2}}, replicator.Point{Revision: 2}, nil
	}
	return nil, replicator.Point{Revision: 2}, nil
}

func (fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration, _ int64) ([]replicator.Document,
	replicator.Point, error,
) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, replicator.Point{Revision: after}, ctx.Err()
}

func (fakeStore) Put(context.Context, string, string, []byte) error { return nil }

func (fakeDecoder) Configuration(replicator.Document) (matcher.Config, bool, error) {
	return matcher.Config{Version: 1, Routes: []matcher.Route{{
		Name: "route", Host: "h", PathPrefix: "/", Idempotent: true, Timeout: 8 * time.Second, Attempts: 1,
		TargetLatency: time.Second, Targets: []matcher.Target{{Service: "s", Weight: 1}},
	}}, Services: []matcher.Service{{Name: "s"}}}, true, nil
}

func (d fakeDecoder) Leaf(replicator.Document) (balancer.Entry, error) {
	return balancer.Entry{ID: "leaf", Service: "s", Address: d.leafAddress, Zone: "z1", Slots: 24}, nil
}

// serveLeaf answers requests after testLatency, and those to /hang never.
func serveLeaf(w http.ResponseWriter, r *http.Request) {
	latency := testLatency
	if r.URL.Path == "/hang" {
		latency = time.Hour
	}
	select {
	case <-r.Context().Done():
	case <-time.After(latency):
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Sign", "signature")
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", testAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startNode runs a node with the given clock until it is stopped, and waits until it is ready.
func startNode(t *testing.T, clock quartz.Clock, stopTime time.Duration) *runningNode {
	leaf := httptest.NewServer(http.HandlerFunc(serveLeaf))
	t.Cleanup(leaf.Close)
	handler := func(func() bool) http.Handler { return http.NotFoundHandler() }
	n := New(Config{
		NodeName: "n1", AvailabilityZone: "z1", Clock: clock, Metrics: metrics.NewSet(), CPUShare: 1,
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), PeerAddress: freeAddress(t),
		DirectoryAddress: freeAddress(t), Store: fakeStore{}, Decoder: fakeDecoder{leaf.Listener.Addr().String()},
		Kinds: Kinds{Configuration: "configuration", Leaves: "leaves", Evacuations: "evacuations", Nodes: "nodes"},
		HeaderNames: server.HeaderNames{HeaderNames: exchanger.HeaderNames{
			RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign", NotRun: "Not-Run", Leaving: "Leaving",
		}},
		ReloadableSettings: ReloadableSettings{StopTime: stopTime, ConfigurationTime: 3 * time.Second},
		Logger:             slog.New(slog.NewTextHandler(io.Discard, nil)),
		ReadinessHandler:   handler,
		DirectoryHandler:   func(_ *selector.Selector, ready func() bool) http.Handler { return handler(ready) },
	})
	ctx, stop := context.WithCancel(t.Context())
	r := &runningNode{node: n, stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-r.ended
	})
	for deadline := time.Now().Add(5 * time.Second); !n.Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the node is not ready")
		}
	}
	return r
}

// get sends a request and returns the status of its answer, or 0 if none has come when the node must have ended.
func (r *runningNode) get(path string) int {
	connection, err := net.Dial("tcp", r.node.config.CallerAddress)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(testLatency + testStopTime))
	_, _ = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", path, strings.TrimPrefix(path, "/"))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// Guards against a stop that ends requests at once, or cuts them off without an answer, because the time of day was
// changed after the start of the node.
func TestStopEndsRequestsInTimeAfterChangeOfTimeOfDay(t *testing.T) {
	for _, c := range []struct {
		name string
		back time.Duration
	}{
		{"unchanged", 0},
		{"set back", time.Hour},
		{"set forward", -time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := startNode(t, steppedClock{quartz.NewReal(), c.back}, testStopTime)
			statuses := map[string]chan int{"/answered": make(chan int, 1), "/hang": make(chan int, 1)}
			for path, status := range statuses {
				go func() { status <- n.get(path) }()
			}
			time.Sleep(testLatency / 3)
			stoppedAt := time.Now()
			n.stop()
			is.Equal(<-statuses["/answered"], http.StatusOK)
			is.Equal(<-statuses["/hang"], http.StatusGatewayTimeout)
			is.True(time.Since(stoppedAt) < testStopTime)
		})
	}
}

// Guards against a stop that cuts requests off at once because the settings state no usable time for it.
func TestStopWithUnusableStopTimeAnswersRequests(t *testing.T) {
	for _, c := range []struct {
		name            string
		start, reloaded time.Duration
	}{
		{"zero after a reload", testStopTime, 0},
		{"negative after a reload", testStopTime, -time.Second},
		{"missing since the start", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := startNode(t, quartz.NewReal(), c.start)
			n.node.Reload(ReloadableSettings{StopTime: c.reloaded, ConfigurationTime: 3 * time.Second})
			status := make(chan int, 1)
			go func() { status <- n.get("/answered") }()
			time.Sleep(testLatency / 3)
			n.stop()
			is.Equal(<-status, http.StatusOK)
		})
	}
}
