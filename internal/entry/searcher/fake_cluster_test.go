package searcher_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
	"github.com/magnoliastep/magnoliastep/internal/entry/searcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	networkDelay = 500 * time.Microsecond // one way
	serviceName  = "desk"
	className    = "class"
)

type (
	// fakeCluster is a Searcher with fake leaves in virtual time.
	fakeCluster struct {
		mutex    sync.Mutex
		random   *rand.Rand
		index    *indexer.Index
		leaves   map[string]*fakeLeaf
		calls    map[uint64]*fakeCall
		nextID   uint64
		searcher *searcher.Searcher
		asserter *asserter.Asserter
		series   *recorder.Series
		caller   *pb.Caller
	}

	// fakeLeaf runs calls in its slots in order of arrival.
	fakeLeaf struct {
		leaf      *pb.Leaf
		snapshots []*pb.SnapshotHeld
		status    *pb.LeafStatus
		// drawTime returns the time that a call takes at the leaf.
		drawTime    func(*rand.Rand) time.Duration
		makeReplies func(*rand.Rand, *pb.LeafReply) []*pb.LeafReply
		busy        int
		queue       []*fakeCall
		started     int
		// cancelled counts calls that were cancelled before the leaf finished them.
		cancelled int
		// refused counts calls that never reached the leaf.
		refused int
		// shedQueueLength is the queue length from which calls are shed; zero for never.
		shedQueueLength int
		latency         time.Duration
	}

	fakeCall struct {
		id        uint64
		leaf      *fakeLeaf
		batch     *pb.LeafBatch
		call      *pb.LeafCall
		deliver   func(*pb.LeafReply)
		startedAt time.Time
		timer     *time.Timer
		ended     bool
	}

	clusterConfig struct {
		seed       uint64
		partitions int
		replicas   int
		slots      uint32
		budget     float64
		class      *pb.Class
		drawTime   func(*rand.Rand) time.Duration
		hedger     searcher.Hedger
	}
)

func newFakeCluster(c clusterConfig) *fakeCluster {
	b := &fakeCluster{
		random: rand.New(rand.NewPCG(c.seed, 7)), leaves: map[string]*fakeLeaf{}, calls: map[uint64]*fakeCall{},
		asserter: asserter.New(asserter.Config{}),
		caller:   &pb.Caller{Name: "caller", Classes: []string{serviceName + "/" + className}},
	}
	service := &pb.Service{Name: serviceName, PartitionCount: uint32(c.partitions), ExtraCallBudget: c.budget}
	for p := range c.partitions {
		for r := range c.replicas {
			l := &pb.Leaf{
				Name: fmt.Sprintf("leaf-%d-%d", p, r), AvailabilityZone: fmt.Sprintf("zone-%d", r%3),
				Slots: c.slots, Connections: 100, ColdSlots: 1, Partitions: []uint32{uint32(p)},
			}
			service.Leaves = append(service.Leaves, l)
			f := &fakeLeaf{leaf: l, drawTime: c.drawTime, snapshots: []*pb.SnapshotHeld{
				{Snapshot: 1, PartitionCount: uint32(c.partitions), Partitions: l.GetPartitions()},
			}}
			f.refreshStatus()
			b.leaves[l.GetName()] = f
		}
	}
	c.class.Name, c.class.Service, c.class.Kind = className, serviceName, pb.RequestKind_REQUEST_KIND_IDEMPOTENT
	b.setIndex(service, c.class)
	records := recorder.New(recorder.Config{})
	b.series = records.Series(serviceName, className)
	b.searcher = searcher.New(searcher.Config{
		Source: b, Owners: b, Statuses: b, Router: b, Clock: quartz.NewReal(), Asserter: b.asserter,
		Hedger: c.hedger, Recorder: records, Random: func() uint64 {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.random.Uint64()
		},
	})
	return b
}

func (b *fakeCluster) setIndex(service *pb.Service, class *pb.Class, zonesOut ...string) {
	objects := []*pb.ConfigObject{
		{Spec: &pb.ConfigObject_Service{Service: service}}, {Spec: &pb.ConfigObject_Class{Class: class}},
	}
	for z := range 3 {
		name := fmt.Sprintf("zone-%d", z)
		zone := &pb.AvailabilityZone{Name: name, Region: "region"}
		for _, o := range zonesOut {
			zone.OutOfService = zone.GetOutOfService() || o == name
		}
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: zone}})
	}
	b.index = indexer.New(objects)
}

// Index implements searcher.ConfigSource.
func (b *fakeCluster) Index() *indexer.Index { return b.index }

// Owner implements searcher.Owners: one node owns all leaves of a zone.
func (b *fakeCluster) Owner(leaf string) *pb.Member {
	return &pb.Member{Name: "node-" + b.leaves[leaf].leaf.GetAvailabilityZone()}
}

// Status implements searcher.Statuses.
func (b *fakeCluster) Status(leaf string) *pb.LeafStatus {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leaves[leaf].status
}

// NextCallID implements searcher.Router.
func (b *fakeCluster) NextCallID() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nextID++
	return b.nextID
}

// StartBatch implements searcher.Router.
func (b *fakeCluster) StartBatch(_ context.Context, _ *pb.Member, batch *pb.LeafBatch, deliver func(*pb.LeafReply)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, c := range batch.GetCalls() {
		f := &fakeCall{id: c.GetCallId(), leaf: b.leaves[c.GetLeaf()], batch: batch, call: c, deliver: deliver}
		b.calls[f.id] = f
		f.timer = time.AfterFunc(networkDelay, func() { b.handleArrival(f) })
	}
}

// Cancel implements searcher.Router.
func (b *fakeCluster) Cancel(_ context.Context, _ *pb.Member, ids []uint64) {
	time.AfterFunc(networkDelay, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		for _, id := range ids {
			if f := b.calls[id]; f != nil && !f.ended {
				b.end(f)
				f.leaf.cancelled++
			}
		}
	})
}

func (b *fakeCluster) handleArrival(f *fakeCall) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if f.ended {
		return
	}
	f.leaf.started++
	if f.leaf.shedQueueLength > 0 && len(f.leaf.queue) >= f.leaf.shedQueueLength {
		b.end(f)
		time.AfterFunc(networkDelay, func() {
			f.deliver(&pb.LeafReply{
				CallId: f.id, Code: pb.ResultCode_RESULT_CODE_LEAF_SHED, Partition: f.call.GetPartition(),
				RequestId: f.batch.GetRequestId(),
			})
		})
		return
	}
	f.leaf.queue = append(f.leaf.queue, f)
	b.dispatch(f.leaf)
}

func (b *fakeCluster) dispatch(l *fakeLeaf) {
	for l.busy < int(l.leaf.GetSlots()) && len(l.queue) > 0 {
		f := l.queue[0]
		l.queue = l.queue[1:]
		if f.ended {
			continue
		}
		l.busy++
		f.startedAt = time.Now()
		f.timer = time.AfterFunc(l.drawTime(b.random), func() { b.finish(f) })
	}
}

func (b *fakeCluster) finish(f *fakeCall) {
	b.mutex.Lock()
	if f.ended {
		b.mutex.Unlock()
		return
	}
	b.end(f)
	l := f.leaf
	elapsed := time.Since(f.startedAt)
	l.latency += (elapsed - l.latency) / 10
	l.refreshStatus()
	wait := l.latency * time.Duration(len(l.queue)) / time.Duration(l.leaf.GetSlots())
	r := &pb.LeafReply{
		CallId: f.id, Code: pb.ResultCode_RESULT_CODE_OK, Snapshot: f.batch.GetSnapshot(),
		Partition: f.call.GetPartition(), RequestId: f.batch.GetRequestId(),
		Payload:      payload(f.batch.GetQuery(), f.call.GetPartition(), f.batch.GetSnapshot()),
		ExpectedWait: durationpb.New(wait), ExpectedLatency: durationpb.New(l.latency),
	}
	if !l.holdsPartition(f.batch.GetSnapshot(), f.call.GetPartition()) {
		r.Code, r.Payload = pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, ""
	}
	replies := []*pb.LeafReply{r}
	if l.makeReplies != nil {
		replies = l.makeReplies(b.random, r)
	}
	b.mutex.Unlock()
	for _, r := range replies {
		time.AfterFunc(networkDelay, func() { f.deliver(r) })
	}
}

// end stops the call and frees its slot.
func (b *fakeCluster) end(f *fakeCall) {
	f.ended = true
	f.timer.Stop()
	delete(b.calls, f.id)
	if !f.startedAt.IsZero() {
		f.leaf.busy--
		b.dispatch(f.leaf)
	}
}

func (l *fakeLeaf) holdsPartition(snapshot uint64, partition uint32) bool {
	for _, h := range l.snapshots {
		for _, p := range h.GetPartitions() {
			if h.GetSnapshot() == snapshot && p == partition {
				return true
			}
		}
	}
	return false
}

func (l *fakeLeaf) refreshStatus() {
	l.status = &pb.LeafStatus{Leaf: l.leaf.GetName(), Snapshots: l.snapshots, Reachable: true}
	if l.latency > 0 {
		l.status.ExpectedLatency = durationpb.New(l.latency)
	}
}

// extraCalls returns the number of hedges, retries and calls of restarted queries.
func (b *fakeCluster) extraCalls() uint64 {
	return b.series.Hedges.Get() + b.series.Retries.Get() + b.series.RestartCalls.Get()
}

func (b *fakeCluster) callTotals() (started, cancelled int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.leaves {
		started += l.started
		cancelled += l.cancelled
	}
	return started, cancelled
}

func payload(query string, partition uint32, snapshot uint64) string {
	return fmt.Sprintf("%s p%d s%d", query, partition, snapshot)
}

// logNormal draws log-normal times with the given median, as of a healthy leaf.
func logNormal(median time.Duration, sigma float64) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*r.NormFloat64()))
	}
}

// stragglers multiplies the time of a share of the calls by factor.
func stragglers(drawTime func(*rand.Rand) time.Duration, share, factor float64) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		d := drawTime(r)
		if r.Float64() < share {
			d = time.Duration(float64(d) * factor)
		}
		return d
	}
}
