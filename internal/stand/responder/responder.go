// Package responder is a small stand-in for one leaf: it answers searches and submits with drawn service
// times, holds snapshots, sheds, drains, turns cold and loses answers as its behaviour says, and counts
// everything that a test needs to judge the system.
package responder

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
	// Config holds what a Responder needs.
	Config struct {
		Leaf *pb.Leaf
		// PartitionCount is that of the default layout.
		PartitionCount uint32
		Behaviour      *pb.LeafBehaviour
		Clock          quartz.Clock
		// Seed makes service times and faults repeatable.
		Seed uint64
	}

	// Responder is one stand-in leaf. It is safe for concurrent use.
	Responder struct {
		leaf     *pb.Leaf
		clock    quartz.Clock
		mutex    sync.Mutex
		random   *rand.Rand
		counters *pb.LeafCounters
		// behaviour is replaced as a whole.
		behaviour   *pb.LeafBehaviour
		snapshots   []*pb.SnapshotHeld
		coldUntil   time.Time
		incarnation int
		// slots has one token for each call that the leaf can run at once.
		slots  chan struct{}
		server *http.Server
		open   uint32
		// running has the cancel functions of the calls in progress by callKey.
		running  map[string]context.CancelFunc
		lastSeen string
	}
)

// New returns a Responder that is not listening.
func New(c Config) *Responder {
	r := &Responder{
		leaf:      c.Leaf,
		clock:     c.Clock,
		random:    rand.New(rand.NewPCG(c.Seed, uint64(len(c.Leaf.GetName())))), //nolint:gosec // repeatable faults
		counters:  &pb.LeafCounters{Leaf: c.Leaf.GetName(), SubmitRuns: map[string]uint32{}},
		behaviour: &pb.LeafBehaviour{},
		snapshots: []*pb.SnapshotHeld{{
			Snapshot: 1, PartitionCount: c.PartitionCount, Partitions: c.Leaf.GetPartitions(),
		}},
		slots:       make(chan struct{}, c.Leaf.GetSlots()),
		running:     map[string]context.CancelFunc{},
		incarnation: 1,
	}
	if c.Behaviour != nil {
		r.apply(c.Behaviour)
	}
	return r
}

// Name returns the leaf's name.
func (r *Responder) Name() string {
	return r.leaf.GetName()
}

// Handler returns the leaf's HTTP interface.
func (r *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+sender.PathSearch, r.serveCall)
	mux.HandleFunc("POST "+sender.PathSubmit, r.serveCall)
	mux.HandleFunc("POST "+sender.PathCancel, r.serveCancel)
	mux.HandleFunc("GET "+sender.PathStatus, r.serveStatus)
	return mux
}

// Start listens on the leaf's address.
func (r *Responder) Start() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.leaf.GetAddress())
	if err != nil {
		return errors.Wrapf(err, "listen for leaf %s", r.leaf.GetName())
	}
	r.server = &http.Server{
		Handler: r.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: r.observeConnection,
	}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	return nil
}

// Stop closes the listener and all connections.
func (r *Responder) Stop() {
	if r.server != nil {
		_ = r.server.Close()
		r.server = nil
	}
}

// SetBehaviour switches the leaf's behaviour.
func (r *Responder) SetBehaviour(b *pb.LeafBehaviour) error {
	r.apply(b)
	switch {
	case b.GetDown():
		r.Stop()
	case r.server == nil:
		return r.Start()
	}
	return nil
}

// Counters returns a copy of the counters.
func (r *Responder) Counters() *pb.LeafCounters {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return proto.CloneOf(r.counters)
}

func (r *Responder) apply(b *pb.LeafBehaviour) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.behaviour = b
	if len(b.GetSnapshots()) > 0 {
		r.snapshots = b.GetSnapshots()
	}
	if b.GetRestart() {
		r.incarnation++
	}
	if b.GetRestart() || b.GetTurnCold() {
		r.coldUntil = r.clock.Now().Add(b.GetColdPeriod().AsDuration())
	}
}

func (r *Responder) observeConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		r.connectionOpened()
		time.Sleep(r.leaf.GetConnectCost().AsDuration())
	case http.StateClosed, http.StateHijacked:
		r.mutex.Lock()
		r.open--
		r.mutex.Unlock()
	case http.StateActive, http.StateIdle:
	}
}

func (r *Responder) connectionOpened() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.open++
	r.counters.ConnectionsOpened++
	r.counters.PeakConnections = max(r.counters.GetPeakConnections(), r.open)
}

func (r *Responder) serveStatus(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	self := &pb.LeafSelf{
		Snapshots:   r.snapshots,
		Draining:    r.behaviour.GetDraining() && !r.behaviour.GetHideDraining(),
		Incarnation: r.incarnationLocked(),
		Load:        r.counters.GetInFlight(),
	}
	body, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(self)
	r.mutex.Unlock()
	_, _ = w.Write(body)
}

func (r *Responder) incarnationLocked() string {
	return fmt.Sprintf("%s-%d", r.leaf.GetName(), r.incarnation)
}

// serveCall runs one search or submit.
func (r *Responder) serveCall(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxBodyBytes))
	if err != nil {
		return
	}
	ctx, cancel := r.callContext(q)
	defer cancel()
	defer r.register(q, cancel)()
	b, refused := r.begin(w, q)
	if refused {
		return
	}
	defer r.end()
	if !r.work(ctx, b) {
		r.count(func(c *pb.LeafCounters) { c.Cancelled++ })
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	r.finish(w, q, b, string(body))
}

// begin counts the call in, or refuses it as not run.
func (r *Responder) begin(w http.ResponseWriter, q *http.Request) (*pb.LeafBehaviour, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b := r.behaviour
	c := r.counters
	c.Calls++
	h := w.Header()
	h.Set(sender.HeaderIncarnation, r.incarnationLocked())
	h.Set(sender.HeaderLoad, strconv.FormatUint(uint64(c.GetInFlight()), 10))
	switch {
	case b.GetDraining():
		c.CallsWhileDraining++
		h.Set(sender.HeaderDraining, "true")
		return b, refuse(w, http.StatusServiceUnavailable)
	case r.random.Float64() < b.GetShedShare():
		c.Shed++
		return b, refuse(w, http.StatusServiceUnavailable)
	case q.URL.Path == sender.PathSearch && !r.holdsLocked(q):
		return b, refuse(w, http.StatusConflict)
	}
	c.InFlight++
	c.PeakInFlight = max(c.GetPeakInFlight(), c.GetInFlight())
	if !r.clock.Now().Before(r.coldUntil) {
		return b, false
	}
	c.PeakInFlightCold = max(c.GetPeakInFlightCold(), c.GetInFlight())
	if c.GetInFlight() <= r.leaf.GetColdSlots() {
		return b, false
	}
	c.FailedCold++
	c.InFlight--
	r.coldUntil = r.clock.Now().Add(b.GetColdPeriod().AsDuration())
	http.Error(w, "overloaded while cold", http.StatusInternalServerError)
	return b, true
}

// serveCancel ends the call that the headers name. It is no error when the call has ended before.
func (r *Responder) serveCancel(_ http.ResponseWriter, q *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if cancel := r.running[callKey(q)]; cancel != nil {
		cancel()
	}
}

// register notes the call as running and returns the function that notes its end.
func (r *Responder) register(q *http.Request, cancel context.CancelFunc) func() {
	key := callKey(q)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running[key] = cancel
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.running, key)
	}
}

func callKey(q *http.Request) string {
	h := q.Header
	return h.Get(sender.HeaderRequestID) + "/" + h.Get(sender.HeaderPartition) + "/" + h.Get(sender.HeaderAttempt)
}

func refuse(w http.ResponseWriter, status int) bool {
	w.Header().Set(sender.HeaderNotRun, "true")
	http.Error(w, "not run", status)
	return true
}

func (r *Responder) holdsLocked(q *http.Request) bool {
	snapshot := q.Header.Get(sender.HeaderSnapshot)
	partition := q.Header.Get(sender.HeaderPartition)
	for _, s := range r.snapshots {
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

func (r *Responder) callContext(q *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(q.Header.Get(sender.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(q.Context())
	}
	return context.WithTimeout(q.Context(), time.Duration(milliseconds)*time.Millisecond)
}

// work waits for a slot and then for the drawn service time. It returns false when the call was
// cancelled or its deadline passed.
func (r *Responder) work(ctx context.Context, b *pb.LeafBehaviour) bool {
	if b.GetHang() {
		<-ctx.Done()
		return false
	}
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-r.slots }()
	timer := r.clock.NewTimer(r.draw(b))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Responder) draw(b *pb.LeafBehaviour) time.Duration {
	mean := defaultServiceTime
	if b.GetServiceTime() != nil {
		mean = b.GetServiceTime().AsDuration()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d := time.Duration(float64(mean) * r.random.ExpFloat64())
	if r.random.Float64() < b.GetStragglerShare() {
		d = time.Duration(float64(max(d, mean)) * b.GetStragglerFactor())
	}
	return d
}

// finish records the run and writes the answer, or what the behaviour puts in its place.
func (r *Responder) finish(w http.ResponseWriter, q *http.Request, b *pb.LeafBehaviour, body string) {
	id := q.Header.Get(sender.HeaderRequestID)
	r.mutex.Lock()
	r.counters.Completed++
	if q.URL.Path == sender.PathSubmit {
		r.counters.SubmitRuns[id]++
	}
	lost := r.random.Float64() < b.GetLoseAnswerShare()
	other := r.lastSeen
	r.lastSeen = id
	r.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	snapshot := q.Header.Get(sender.HeaderSnapshot)
	if b.GetWrongSnapshot() {
		number, _ := strconv.ParseUint(snapshot, 10, 64)
		snapshot = strconv.FormatUint(number-1, 10)
	}
	if b.GetCrossed() {
		id = other + "-crossed"
	}
	h := w.Header()
	if !b.GetMalformed() {
		h.Set(sender.HeaderRequestID, id)
		h.Set(sender.HeaderSnapshot, snapshot)
		h.Set(sender.HeaderPartition, q.Header.Get(sender.HeaderPartition))
	}
	_, _ = io.WriteString(w, r.payload(q, b, snapshot, body))
}

// payload is a pure function of leaf content, so that tests can check an answer against it. An
// example: "towpath p3 s7".
func (r *Responder) payload(q *http.Request, b *pb.LeafBehaviour, snapshot, body string) string {
	if b.GetOversized() {
		return strings.Repeat("x", oversizedBytes)
	}
	return fmt.Sprintf("%s p%s s%s", body, q.Header.Get(sender.HeaderPartition), snapshot)
}

func (r *Responder) end() {
	r.count(func(c *pb.LeafCounters) { c.InFlight-- })
}

func (r *Responder) count(change func(c *pb.LeafCounters)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r.counters)
}
