// Package leaffaker implements a fake leaf for tests and trials. It answers searches and submits after random
// service times, and can hold snapshots, shed calls, drain, turn cold and lose answers as its behaviour
// message says. Its counters let tests check how the system treats its leaves.
package leaffaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
)

const (
	maxBodyBytes       = 1 << 20 // 1 MiB
	oversizedBytes     = 4 << 20 // 4 MiB
	defaultServiceTime = 2 * time.Millisecond
	readHeaderTimeout  = 5 * time.Second
)

type (
	// Config holds what a FakeLeaf needs.
	Config struct {
		Leaf *pb.Leaf
		// PartitionCount is the partition count of the initial snapshot.
		PartitionCount uint32
		Behaviour      *pb.LeafBehaviour
		Clock          quartz.Clock
		// Seed makes service times and faults repeatable.
		Seed uint64
	}

	// FakeLeaf is one fake leaf. It is safe for concurrent use.
	FakeLeaf struct {
		leaf     *pb.Leaf
		clock    quartz.Clock
		mutex    sync.Mutex
		random   *rand.Rand
		counters *pb.LeafCounters
		// behaviour is never modified, only replaced, so it may be read without the mutex once loaded.
		behaviour   *pb.LeafBehaviour
		snapshots   []*pb.SnapshotHeld
		coldUntil   time.Time
		incarnation int
		// slots is a semaphore for the calls that the leaf can run at once.
		slots           chan struct{}
		server          *http.Server
		openConnections uint32
		// runningCalls has the cancel functions of the calls in progress, by callKey.
		runningCalls  map[string]context.CancelFunc
		lastRequestID string
	}
)

// New returns a FakeLeaf that does not listen yet.
func New(c Config) *FakeLeaf {
	f := &FakeLeaf{
		leaf:      c.Leaf,
		clock:     c.Clock,
		random:    rand.New(rand.NewPCG(c.Seed, uint64(len(c.Leaf.GetName())))), //nolint:gosec // repeatable faults
		counters:  &pb.LeafCounters{Leaf: c.Leaf.GetName(), SubmitRuns: map[string]uint32{}},
		behaviour: &pb.LeafBehaviour{},
		snapshots: []*pb.SnapshotHeld{{
			Snapshot: 1, PartitionCount: c.PartitionCount, Partitions: c.Leaf.GetPartitions(),
		}},
		slots:        make(chan struct{}, c.Leaf.GetSlots()),
		runningCalls: map[string]context.CancelFunc{},
		incarnation:  1,
	}
	if c.Behaviour != nil {
		f.applyBehaviour(c.Behaviour)
	}
	return f
}

// Name returns the leaf's name.
func (f *FakeLeaf) Name() string {
	return f.leaf.GetName()
}

// Handler returns the leaf's HTTP interface.
func (f *FakeLeaf) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+sender.PathSearch, f.serveCall)
	mux.HandleFunc("POST "+sender.PathSubmit, f.serveCall)
	mux.HandleFunc("POST "+sender.PathCancel, f.serveCancel)
	mux.HandleFunc("GET "+sender.PathStatus, f.serveStatus)
	return mux
}

// Start listens on the leaf's address.
func (f *FakeLeaf) Start() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", f.leaf.GetAddress())
	if err != nil {
		return errors.Wrapf(err, "listen for leaf %s", f.leaf.GetName())
	}
	f.server = &http.Server{
		Handler: f.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: f.trackConnection,
	}
	go func(s *http.Server) { _ = s.Serve(listener) }(f.server)
	return nil
}

// Stop closes the listener and all connections.
func (f *FakeLeaf) Stop() {
	if f.server != nil {
		_ = f.server.Close()
		f.server = nil
	}
}

// SetBehaviour replaces the leaf's behaviour, and stops or starts the listener as it says.
func (f *FakeLeaf) SetBehaviour(b *pb.LeafBehaviour) error {
	f.applyBehaviour(b)
	switch {
	case b.GetDown():
		f.Stop()
	case f.server == nil:
		return f.Start()
	}
	return nil
}

// Counters returns a copy of the counters.
func (f *FakeLeaf) Counters() *pb.LeafCounters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return proto.CloneOf(f.counters)
}

func (f *FakeLeaf) applyBehaviour(b *pb.LeafBehaviour) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.behaviour = b
	if len(b.GetSnapshots()) > 0 {
		f.snapshots = b.GetSnapshots()
	}
	if b.GetRestart() {
		f.incarnation++
	}
	if b.GetRestart() || b.GetTurnCold() {
		f.coldUntil = f.clock.Now().Add(b.GetColdPeriod().AsDuration())
	}
}

func (f *FakeLeaf) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.countOpenedConnection()
		time.Sleep(f.leaf.GetConnectCost().AsDuration())
	case http.StateClosed, http.StateHijacked:
		f.mutex.Lock()
		f.openConnections--
		f.mutex.Unlock()
	case http.StateActive, http.StateIdle:
	}
}

func (f *FakeLeaf) countOpenedConnection() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.openConnections++
	f.counters.ConnectionsOpened++
	f.counters.PeakConnections = max(f.counters.GetPeakConnections(), f.openConnections)
}

func (f *FakeLeaf) serveStatus(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	status := &pb.LeafSelf{
		Snapshots:   f.snapshots,
		Draining:    f.behaviour.GetDraining() && !f.behaviour.GetHideDraining(),
		Incarnation: f.incarnationLocked(),
		Load:        f.counters.GetInFlight(),
	}
	body, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(status)
	f.mutex.Unlock()
	_, _ = w.Write(body)
}

func (f *FakeLeaf) incarnationLocked() string {
	return fmt.Sprintf("%s-%d", f.leaf.GetName(), f.incarnation)
}

// serveCall runs one search or submit.
func (f *FakeLeaf) serveCall(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return
	}
	ctx, cancel := f.callContext(request)
	defer cancel()
	defer f.registerCall(request, cancel)()
	b, rejected := f.admitCall(w, request)
	if rejected {
		return
	}
	defer f.endCall()
	if !f.simulateWork(ctx, b) {
		f.updateCounters(func(c *pb.LeafCounters) { c.Cancelled++ })
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	f.completeCall(w, request, b, string(body))
}

// admitCall counts the call as in flight, or rejects it and reports that it did. It also returns the behaviour
// that holds for the call.
func (f *FakeLeaf) admitCall(w http.ResponseWriter, request *http.Request) (*pb.LeafBehaviour, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	b := f.behaviour
	c := f.counters
	c.Calls++
	h := w.Header()
	h.Set(sender.HeaderIncarnation, f.incarnationLocked())
	h.Set(sender.HeaderLoad, strconv.FormatUint(uint64(c.GetInFlight()), 10))
	switch {
	case b.GetDraining():
		c.CallsWhileDraining++
		h.Set(sender.HeaderDraining, "true")
		return b, rejectAsNotRun(w, http.StatusServiceUnavailable)
	case f.random.Float64() < b.GetShedShare():
		c.Shed++
		return b, rejectAsNotRun(w, http.StatusServiceUnavailable)
	case request.URL.Path == sender.PathSearch && !f.holdsPartitionLocked(request):
		return b, rejectAsNotRun(w, http.StatusConflict)
	}
	c.InFlight++
	c.PeakInFlight = max(c.GetPeakInFlight(), c.GetInFlight())
	if !f.clock.Now().Before(f.coldUntil) {
		return b, false
	}
	c.PeakInFlightCold = max(c.GetPeakInFlightCold(), c.GetInFlight())
	if c.GetInFlight() <= f.leaf.GetColdSlots() {
		return b, false
	}
	c.FailedCold++
	c.InFlight--
	f.coldUntil = f.clock.Now().Add(b.GetColdPeriod().AsDuration())
	http.Error(w, "overloaded while cold", http.StatusInternalServerError)
	return b, true
}

// serveCancel cancels the call that the headers name. A call that has already ended is not an error.
func (f *FakeLeaf) serveCancel(_ http.ResponseWriter, request *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if cancel := f.runningCalls[callKey(request)]; cancel != nil {
		cancel()
	}
}

// registerCall makes the call cancellable until the returned function is called.
func (f *FakeLeaf) registerCall(request *http.Request, cancel context.CancelFunc) func() {
	key := callKey(request)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runningCalls[key] = cancel
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.runningCalls, key)
	}
}

// callKey identifies a call by request id, partition and attempt.
func callKey(request *http.Request) string {
	h := request.Header
	return h.Get(sender.HeaderRequestID) + "/" + h.Get(sender.HeaderPartition) + "/" + h.Get(sender.HeaderAttempt)
}

// rejectAsNotRun answers that the call was not run. It always returns true.
func rejectAsNotRun(w http.ResponseWriter, status int) bool {
	w.Header().Set(sender.HeaderNotRun, "true")
	http.Error(w, "not run", status)
	return true
}

func (f *FakeLeaf) holdsPartitionLocked(request *http.Request) bool {
	snapshot := request.Header.Get(sender.HeaderSnapshot)
	partition := request.Header.Get(sender.HeaderPartition)
	for _, s := range f.snapshots {
		if strconv.FormatUint(s.GetSnapshot(), 10) != snapshot {
			continue
		}
		for _, p := range s.GetPartitions() {
			if strconv.FormatUint(uint64(p), 10) == partition {
				return true
			}
		}
	}
	return false
}

func (f *FakeLeaf) callContext(request *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(request.Header.Get(sender.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
}

// simulateWork waits for a slot and then for a random service time. It returns false when the call was
// cancelled or its deadline passed.
func (f *FakeLeaf) simulateWork(ctx context.Context, b *pb.LeafBehaviour) bool {
	if b.GetHang() {
		<-ctx.Done()
		return false
	}
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-f.slots }()
	timer := f.clock.NewTimer(f.drawServiceTime(b))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// drawServiceTime draws an exponentially distributed service time. For the configured share of calls, the
// stragglers, it multiplies the time, or the mean if that is longer, by the straggler factor.
func (f *FakeLeaf) drawServiceTime(b *pb.LeafBehaviour) time.Duration {
	mean := defaultServiceTime
	if b.GetServiceTime() != nil {
		mean = b.GetServiceTime().AsDuration()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	d := time.Duration(float64(mean) * f.random.ExpFloat64())
	if f.random.Float64() < b.GetStragglerShare() {
		d = time.Duration(float64(max(d, mean)) * b.GetStragglerFactor())
	}
	return d
}

// completeCall counts the run and writes the answer, or the faulty answer that the behaviour demands.
func (f *FakeLeaf) completeCall(w http.ResponseWriter, request *http.Request, b *pb.LeafBehaviour, body string) {
	id := request.Header.Get(sender.HeaderRequestID)
	f.mutex.Lock()
	f.counters.Completed++
	if request.URL.Path == sender.PathSubmit {
		f.counters.SubmitRuns[id]++
	}
	lost := f.random.Float64() < b.GetLoseAnswerShare()
	previousID := f.lastRequestID
	f.lastRequestID = id
	f.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	snapshot := request.Header.Get(sender.HeaderSnapshot)
	if b.GetWrongSnapshot() {
		number, _ := strconv.ParseUint(snapshot, 10, 64)
		snapshot = strconv.FormatUint(number-1, 10)
	}
	if b.GetCrossed() {
		id = previousID + "-crossed"
	}
	h := w.Header()
	if !b.GetMalformed() {
		h.Set(sender.HeaderRequestID, id)
		h.Set(sender.HeaderSnapshot, snapshot)
		h.Set(sender.HeaderPartition, request.Header.Get(sender.HeaderPartition))
	}
	_, _ = io.WriteString(w, f.payload(request, b, snapshot, body))
}

// payload depends only on the query, the partition and the snapshot, so that tests can predict it; for
// example "towpath p3 s7".
func (f *FakeLeaf) payload(request *http.Request, b *pb.LeafBehaviour, snapshot, body string) string {
	if b.GetOversized() {
		return strings.Repeat("x", oversizedBytes)
	}
	return fmt.Sprintf("%s p%s s%s", body, request.Header.Get(sender.HeaderPartition), snapshot)
}

func (f *FakeLeaf) endCall() {
	f.updateCounters(func(c *pb.LeafCounters) { c.InFlight-- })
}

func (f *FakeLeaf) updateCounters(update func(c *pb.LeafCounters)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	update(f.counters)
}
