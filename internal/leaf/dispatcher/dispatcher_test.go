package dispatcher_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/dispatcher"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
	"github.com/magnoliastep/magnoliastep/internal/view/tenant"
)

const (
	serviceTime = 10 * time.Millisecond
	period      = 150 * time.Millisecond
)

type (
	// bed is a dispatcher on virtual time with fakes at its interfaces.
	bed struct {
		*dispatcher.Dispatcher
		mutex sync.Mutex
		index *indexer.Index
		// ranked are the nodes in rank; held says whether this node has the tenure.
		ranked []*pb.Member
		held   atomic.Bool
		holder atomic.Value
		// sent has the addresses and ids of the calls that reached a leaf.
		sent       []string
		drains     atomic.Bool
		lies       atomic.Bool
		leavingVM  atomic.Bool
		passed     []*pb.LeafBatch
		handovers  []*pb.LeafState
		relinquish []string
	}

	fakeSender struct {
		bed     *bed
		address string
	}

	fakeTenure struct{ bed *bed }
)

func newBed(t *testing.T) *bed {
	b := &bed{ranked: []*pb.Member{{Name: "node-a"}, {Name: "node-b"}}}
	b.held.Store(true)
	b.holder.Store("")
	b.configure(b.leaf())
	b.Dispatcher = dispatcher.New(dispatcher.Config{
		NodeName: "node-a", Source: b, Ranks: b, Tenure: fakeTenure{b}, Peers: b, Forwarder: b, VMs: b,
		Clock: quartz.NewReal(), Logger: slog.New(slog.DiscardHandler),
		NewSender:    func(l *pb.Leaf) dispatcher.LeafSender { return &fakeSender{b, l.GetAddress()} },
		StatusPeriod: 500 * time.Millisecond, TenurePeriod: period,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go b.Run(ctx)
	return b
}

func (b *bed) leaf() *pb.Leaf {
	return &pb.Leaf{
		Name: "leaf-0", AvailabilityZone: "zone-a", Address: "10.0.0.1:80", Slots: 2, Connections: 4, ColdSlots: 1,
	}
}

// configure puts the leaf into force, or none.
func (b *bed) configure(leaves ...*pb.Leaf) { b.configureZone(false, leaves...) }

func (b *bed) configureZone(out bool, leaves ...*pb.Leaf) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.index = indexer.New([]*pb.ConfigObject{
		{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: &pb.AvailabilityZone{Name: "zone-a", OutOfService: out}}},
		{Spec: &pb.ConfigObject_Service{Service: &pb.Service{Name: "service", Leaves: leaves}}},
	})
}

func (b *bed) Index() *indexer.Index {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.index
}

func (b *bed) Ranked(string) []*pb.Member { return b.ranked }

func (b *bed) OwnedBy(string) []string { return nil }

func (b *bed) Share(string) divider.Share { return divider.Share{} }

func (b *bed) LeavingVM(ip string) bool { return ip == "10.0.0.1" && b.leavingVM.Load() }

func (t fakeTenure) Until(string) (time.Time, bool) {
	return time.Now().Add(time.Second), t.bed.held.Load()
}
func (t fakeTenure) Holder(string) string { return t.bed.holder.Load().(string) }
func (t fakeTenure) Tick([]string, func(string) bool) ([]tenant.Request, []tenant.Move) {
	return nil, nil
}

func (t fakeTenure) HandleRequest(string, *pb.TenureRequest) (*pb.TenureReply, []string) {
	t.bed.held.Store(false)
	return &pb.TenureReply{}, t.bed.relinquish
}
func (t fakeTenure) HandleReply(tenant.Request, *pb.TenureReply) {}
func (t fakeTenure) HandleHandover(string, string)               {}
func (t fakeTenure) Leave()                                      {}

func (b *bed) Call(_ context.Context, _ string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.handovers = append(b.handovers, f.GetLeafHandover().GetLeaves()...)
	return &pb.Frame{}, nil
}

func (b *bed) NextCallID() uint64 { return 77 }

func (b *bed) ask(batch *pb.LeafBatch) *pb.LeafReply {
	replies := make(chan *pb.LeafReply, 1)
	b.Dispatcher.StartBatch(context.Background(), "node-b", batch, func(r *pb.LeafReply) { replies <- r })
	return <-replies
}

func (b *bed) StartBatch(_ context.Context, _ *pb.Member, batch *pb.LeafBatch, deliver func(*pb.LeafReply)) {
	b.passed = append(b.passed, batch)
	deliver(&pb.LeafReply{CallId: 77, Code: pb.ResultCode_RESULT_CODE_OK})
}

func (b *bed) Cancel(context.Context, *pb.Member, []uint64) {}

func (b *bed) Submit(context.Context, *pb.Member, *pb.SubmitCall) (*pb.SubmitReply, error) {
	return nil, messenger.ErrNotSent
}

func (s *fakeSender) Send(ctx context.Context, c sender.Call) (sender.Answer, error) {
	s.bed.mutex.Lock()
	s.bed.sent = append(s.bed.sent, s.address+" "+c.RequestID)
	drains := s.bed.drains.Load()
	s.bed.mutex.Unlock()
	if drains {
		return sender.Answer{NotRun: true, Draining: true, Incarnation: "1"},
			coder.New(pb.ResultCode_RESULT_CODE_LEAF_DRAINING, "leaf is draining")
	}
	select {
	case <-time.After(serviceTime):
		return sender.Answer{Incarnation: "1"}, nil
	case <-ctx.Done():
		return sender.Answer{}, coder.New(pb.ResultCode_RESULT_CODE_CANCELLED, "call was cancelled")
	}
}

func (s *fakeSender) Status(context.Context) (*pb.LeafSelf, error) {
	return &pb.LeafSelf{Incarnation: "1", Draining: s.bed.drains.Load() && !s.bed.lies.Load()}, nil
}
func (s *fakeSender) Warm(context.Context, int, time.Duration) {}
func (s *fakeSender) Opened() uint64                           { return 0 }
func (s *fakeSender) Close()                                   {}

func batch(id string, timeLeft time.Duration) *pb.LeafBatch {
	return &pb.LeafBatch{
		RequestId: id, Class: "class", Worth: 1, TimeLeft: durationpb.New(timeLeft),
		Calls: []*pb.LeafCall{{CallId: 1, Leaf: "leaf-0", Attempt: 1}},
	}
}

func (b *bed) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.sent)
}

// run tests the dispatcher on virtual time.
func run(t *testing.T, test func(is *is.I, b *bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newBed(t)) })
}

func TestConfigurationReachesTheLiveLane(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		is.Equal(b.ask(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		moved := b.leaf()
		moved.Address = "10.0.0.2:80"
		b.configure(moved)
		is.Equal(b.ask(batch("r2", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.Equal(b.sent, []string{"10.0.0.1:80 r1", "10.0.0.2:80 r2"})
		b.configure()
		is.Equal(b.ask(batch("r3", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_NO_REPLICA)
		time.Sleep(2 * period)
		is.Equal(len(b.Statuses()), 0)
	})
}

func TestAZoneOutGetsNoNewWorkAndReturnsCold(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		for range 50 {
			is.Equal(b.ask(batch("warm", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		}
		is.True(!b.Statuses()[0].GetCold())
		b.held.Store(false)
		waiting := make(chan *pb.LeafReply, 1)
		b.Dispatcher.StartBatch(context.Background(), "node-b", batch("waits", time.Minute),
			func(r *pb.LeafReply) { waiting <- r })
		b.configureZone(true, b.leaf())
		is.Equal((<-waiting).GetCode(), pb.ResultCode_RESULT_CODE_ZONE_OUT)
		b.held.Store(true)
		is.Equal(b.ask(batch("out", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_ZONE_OUT)
		is.Equal(b.count(), 50)
		time.Sleep(10 * time.Second)
		b.configureZone(false, b.leaf())
		time.Sleep(2 * period)
		is.True(b.Statuses()[0].GetCold())
		is.Equal(b.ask(batch("back", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
	})
}

func TestADrainingLeafWithALyingStatusPageGetsNoNewWork(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		is.Equal(b.ask(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		b.drains.Store(true)
		b.lies.Store(true)
		is.Equal(b.ask(batch("r2", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
		for range 20 {
			time.Sleep(time.Second)
			is.Equal(b.ask(batch("r3", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
		}
		is.Equal(b.count(), 2)
	})
}

func TestALeafOnALeavingVMGetsNoNewWork(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		is.Equal(b.ask(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		b.leavingVM.Store(true)
		for range 20 {
			time.Sleep(time.Second)
			is.Equal(b.ask(batch("r2", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
		}
		is.Equal(b.count(), 1)
	})
}

func TestHopelessWorkIsAnsweredPromptlyAndNeverSent(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		is.Equal(b.ask(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		b.held.Store(false)
		startedAt := time.Now()
		is.Equal(b.ask(batch("r2", 200*time.Millisecond)).GetCode(), pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE)
		is.True(time.Since(startedAt) <= 200*time.Millisecond)
		r := b.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r3", TimeLeft: durationpb.New(200 * time.Millisecond),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_NOT_RUN)
		is.Equal(b.count(), 1)
	})
}

func TestASubmitThatWasSentIsNeverNotRun(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		r := b.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r1", TimeLeft: durationpb.New(serviceTime / 2),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN)
		is.Equal(b.count(), 1)
	})
}

func TestWorkWaitsForTheTenure(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		b.held.Store(false)
		go func() {
			time.Sleep(time.Second)
			b.held.Store(true)
		}()
		startedAt := time.Now()
		is.Equal(b.ask(batch("r1", 5*time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.True(time.Since(startedAt) >= time.Second)
		r := b.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r2", TimeLeft: durationpb.New(time.Second),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_OK)
	})
}

func TestWorkForAnotherOwnerIsPassedOnOnce(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		b.held.Store(false)
		b.holder.Store("node-b")
		is.Equal(b.ask(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.True(b.passed[0].GetForwarded())
		passed := batch("r2", time.Second)
		passed.Forwarded = true
		is.Equal(b.ask(passed).GetCode(), pb.ResultCode_RESULT_CODE_NOT_OWNER)
		r := b.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r3", TimeLeft: durationpb.New(time.Second),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_NOT_RUN)
		is.Equal(b.count(), 0)
	})
}

func TestWaitingWorkFollowsTheOwner(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		b.held.Store(false)
		go func() {
			time.Sleep(time.Second)
			b.holder.Store("node-b")
		}()
		is.Equal(b.ask(batch("r1", 5*time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.Equal(len(b.passed), 1)
		is.Equal(b.count(), 0)
	})
}

func TestAHandoverCountsTheCallsInFlight(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		replies := make(chan *pb.LeafReply, 1)
		b.Dispatcher.StartBatch(context.Background(), "node-b", batch("r1", time.Second),
			func(r *pb.LeafReply) { replies <- r })
		synctest.Wait()
		b.relinquish = []string{"leaf-0"}
		state := b.HandleTenureRequest("node-b", &pb.TenureRequest{Leaves: []string{"leaf-0"}}).GetStates()[0]
		is.Equal(state.GetInFlight(), uint32(1))
		is.True(state.GetLongestLeft().AsDuration() > 0)
		is.Equal((<-replies).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		synctest.Wait()
		is.Equal(len(b.handovers), 1) // the successor is told that the call has ended
		is.Equal(b.handovers[0].GetInFlight(), uint32(0))
	})
}

func TestACallThatIsNotWantedAnyMoreLeavesTheQueue(t *testing.T) {
	run(t, func(is *is.I, b *bed) {
		b.held.Store(false)
		replies := make(chan *pb.LeafReply, 1)
		b.Dispatcher.StartBatch(context.Background(), "node-b", batch("r1", time.Minute),
			func(r *pb.LeafReply) { replies <- r })
		b.Dispatcher.Cancel("node-b", []uint64{1})
		is.Equal((<-replies).GetCode(), pb.ResultCode_RESULT_CODE_CANCELLED)
	})
}
