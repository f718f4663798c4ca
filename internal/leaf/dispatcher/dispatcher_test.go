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
	"github.com/magnoliastep/magnoliastep/internal/view/leaser"
)

const (
	serviceTime  = 10 * time.Millisecond
	tenurePeriod = 150 * time.Millisecond
)

type (
	// harness is a dispatcher on virtual time with fakes for its dependencies.
	harness struct {
		*dispatcher.Dispatcher
		mutex sync.Mutex
		index *indexer.Index
		// ranked are the nodes in order of rank; tenureHeld says whether this node holds the tenure.
		ranked       []*pb.Member
		tenureHeld   atomic.Bool
		tenureHolder atomic.Value
		// sent has the leaf address and request id of each call that reached a leaf.
		sent          []string
		draining      atomic.Bool
		hidesDraining atomic.Bool
		leavingVM     atomic.Bool
		forwarded     []*pb.LeafBatch
		handovers     []*pb.LeafState
		relinquished  []string
	}

	fakeSender struct {
		harness *harness
		address string
	}

	fakeTenure struct{ harness *harness }
)

func newHarness(t *testing.T) *harness {
	h := &harness{ranked: []*pb.Member{{Name: "node-a"}, {Name: "node-b"}}}
	h.tenureHeld.Store(true)
	h.tenureHolder.Store("")
	h.configure(h.leaf())
	h.Dispatcher = dispatcher.New(dispatcher.Config{
		NodeName: "node-a", Source: h, OwnerRanking: h, Tenure: fakeTenure{h}, Peers: h, Forwarder: h, LeavingVMs: h,
		Clock: quartz.NewReal(), Logger: slog.New(slog.DiscardHandler),
		NewSender:    func(l *pb.Leaf) dispatcher.LeafSender { return &fakeSender{h, l.GetAddress()} },
		StatusPeriod: 500 * time.Millisecond, TenurePeriod: tenurePeriod,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.Run(ctx)
	return h
}

func (h *harness) leaf() *pb.Leaf {
	return &pb.Leaf{
		Name: "leaf-0", AvailabilityZone: "zone-a", Address: "10.0.0.1:80", Slots: 2, Connections: 4, ColdSlots: 1,
	}
}

// configure replaces the configuration by one with the given leaves.
func (h *harness) configure(leaves ...*pb.Leaf) { h.configureZone(false, leaves...) }

func (h *harness) configureZone(out bool, leaves ...*pb.Leaf) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.index = indexer.New([]*pb.ConfigObject{
		{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: &pb.AvailabilityZone{Name: "zone-a", OutOfService: out}}},
		{Spec: &pb.ConfigObject_Service{Service: &pb.Service{Name: "service", Leaves: leaves}}},
	})
}

func (h *harness) Index() *indexer.Index {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.index
}

func (h *harness) Ranked(string) []*pb.Member { return h.ranked }

func (h *harness) OwnedBy(string) []string { return nil }

func (h *harness) Share(string) divider.Share { return divider.Share{} }

func (h *harness) LeavingVM(ip string) bool { return ip == "10.0.0.1" && h.leavingVM.Load() }

func (t fakeTenure) TenureEnd(string) (time.Time, bool) {
	return time.Now().Add(time.Second), t.harness.tenureHeld.Load()
}
func (t fakeTenure) Holder(string) string { return t.harness.tenureHolder.Load().(string) }
func (t fakeTenure) Tick([]string, func(string) bool) ([]leaser.Request, []leaser.Handover) {
	return nil, nil
}

func (t fakeTenure) HandleRequest(string, *pb.TenureRequest) (*pb.TenureReply, []string) {
	t.harness.tenureHeld.Store(false)
	return &pb.TenureReply{}, t.harness.relinquished
}
func (t fakeTenure) HandleReply(leaser.Request, *pb.TenureReply) {}
func (t fakeTenure) HandleHandover(string, string)               {}
func (t fakeTenure) Leave()                                      {}

func (h *harness) Call(_ context.Context, _ string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.handovers = append(h.handovers, f.GetLeafHandover().GetLeaves()...)
	return &pb.Frame{}, nil
}

func (h *harness) NextCallID() uint64 { return 77 }

func (h *harness) sendAndWait(batch *pb.LeafBatch) *pb.LeafReply {
	replies := make(chan *pb.LeafReply, 1)
	h.Dispatcher.StartBatch(context.Background(), "node-b", batch, func(r *pb.LeafReply) { replies <- r })
	return <-replies
}

func (h *harness) StartBatch(_ context.Context, _ *pb.Member, batch *pb.LeafBatch, deliver func(*pb.LeafReply)) {
	h.forwarded = append(h.forwarded, batch)
	deliver(&pb.LeafReply{CallId: 77, Code: pb.ResultCode_RESULT_CODE_OK})
}

func (h *harness) Cancel(context.Context, *pb.Member, []uint64) {}

func (h *harness) Submit(context.Context, *pb.Member, *pb.SubmitCall) (*pb.SubmitReply, error) {
	return nil, messenger.ErrNotSent
}

func (s *fakeSender) Send(ctx context.Context, c sender.Call) (sender.Answer, error) {
	s.harness.mutex.Lock()
	s.harness.sent = append(s.harness.sent, s.address+" "+c.RequestID)
	draining := s.harness.draining.Load()
	s.harness.mutex.Unlock()
	if draining {
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
	return &pb.LeafSelf{Incarnation: "1", Draining: s.harness.draining.Load() && !s.harness.hidesDraining.Load()}, nil
}
func (s *fakeSender) OpenConnections(context.Context, int, time.Duration) {}
func (s *fakeSender) ConnectionsOpened() uint64                           { return 0 }
func (s *fakeSender) Close()                                              {}

func batch(id string, timeLeft time.Duration) *pb.LeafBatch {
	return &pb.LeafBatch{
		RequestId: id, Class: "class", Worth: 1, TimeLeft: durationpb.New(timeLeft),
		Calls: []*pb.LeafCall{{CallId: 1, Leaf: "leaf-0", Attempt: 1}},
	}
}

func (h *harness) sentCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.sent)
}

// runOnVirtualTime runs the test with a new harness on virtual time.
func runOnVirtualTime(t *testing.T, test func(is *is.I, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newHarness(t)) })
}

// Guards against a leaf dispatcher that keeps sending to the old address, or stays, after the leaf was changed
// or removed in the configuration.
func TestDispatcherAppliesLeafConfigurationChange(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		is.Equal(h.sendAndWait(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		moved := h.leaf()
		moved.Address = "10.0.0.2:80"
		h.configure(moved)
		is.Equal(h.sendAndWait(batch("r2", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.Equal(h.sent, []string{"10.0.0.1:80 r1", "10.0.0.2:80 r2"})
		h.configure()
		is.Equal(h.sendAndWait(batch("r3", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_NO_REPLICA)
		time.Sleep(2 * tenurePeriod)
		is.Equal(len(h.Statuses()), 0)
	})
}

func TestDispatcherSendsNothingToZoneOutOfServiceAndRestartsCold(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		for range 50 {
			is.Equal(h.sendAndWait(batch("warm", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		}
		is.True(!h.Statuses()[0].GetCold())
		h.tenureHeld.Store(false)
		waiting := make(chan *pb.LeafReply, 1)
		h.Dispatcher.StartBatch(context.Background(), "node-b", batch("waits", time.Minute),
			func(r *pb.LeafReply) { waiting <- r })
		h.configureZone(true, h.leaf())
		is.Equal((<-waiting).GetCode(), pb.ResultCode_RESULT_CODE_ZONE_OUT)
		h.tenureHeld.Store(true)
		is.Equal(h.sendAndWait(batch("out", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_ZONE_OUT)
		is.Equal(h.sentCount(), 50)
		time.Sleep(10 * time.Second)
		h.configureZone(false, h.leaf())
		time.Sleep(2 * tenurePeriod)
		is.True(h.Statuses()[0].GetCold())
		is.Equal(h.sendAndWait(batch("back", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
	})
}

// Guards against new calls to a draining leaf whose status page does not report the draining.
func TestDispatcherTrustsDrainingAnswerOverStatusPage(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		is.Equal(h.sendAndWait(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		h.draining.Store(true)
		h.hidesDraining.Store(true)
		is.Equal(h.sendAndWait(batch("r2", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
		for range 20 {
			time.Sleep(time.Second)
			is.Equal(h.sendAndWait(batch("r3", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
		}
		is.Equal(h.sentCount(), 2)
	})
}

func TestDispatcherSendsNothingToLeafOnLeavingVM(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		is.Equal(h.sendAndWait(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		h.leavingVM.Store(true)
		for range 20 {
			time.Sleep(time.Second)
			is.Equal(h.sendAndWait(batch("r2", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
		}
		is.Equal(h.sentCount(), 1)
	})
}

func TestDispatcherAnswersInfeasibleCallByDeadlineWithoutSending(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		is.Equal(h.sendAndWait(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		h.tenureHeld.Store(false)
		startedAt := time.Now()
		is.Equal(h.sendAndWait(batch("r2", 200*time.Millisecond)).GetCode(), pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE)
		is.True(time.Since(startedAt) <= 200*time.Millisecond)
		r := h.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r3", TimeLeft: durationpb.New(200 * time.Millisecond),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_NOT_RUN)
		is.Equal(h.sentCount(), 1)
	})
}

// Guards against NOT_RUN for a submit that reached the leaf: the caller would retry it and could run it twice.
func TestSubmitTimeoutAfterSendIsOutcomeUnknown(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		r := h.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r1", TimeLeft: durationpb.New(serviceTime / 2),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN)
		is.Equal(h.sentCount(), 1)
	})
}

func TestDispatcherQueuesCallsUntilTenureIsHeld(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		h.tenureHeld.Store(false)
		go func() {
			time.Sleep(time.Second)
			h.tenureHeld.Store(true)
		}()
		startedAt := time.Now()
		is.Equal(h.sendAndWait(batch("r1", 5*time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.True(time.Since(startedAt) >= time.Second)
		r := h.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r2", TimeLeft: durationpb.New(time.Second),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_OK)
	})
}

func TestDispatcherForwardsCallToOwnerOnlyOnce(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		h.tenureHeld.Store(false)
		h.tenureHolder.Store("node-b")
		is.Equal(h.sendAndWait(batch("r1", time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.True(h.forwarded[0].GetForwarded())
		forwarded := batch("r2", time.Second)
		forwarded.Forwarded = true
		is.Equal(h.sendAndWait(forwarded).GetCode(), pb.ResultCode_RESULT_CODE_NOT_OWNER)
		r := h.Dispatcher.Submit(context.Background(), &pb.SubmitCall{
			Leaf: "leaf-0", RequestId: "r3", TimeLeft: durationpb.New(time.Second),
		})
		is.Equal(r.GetCode(), pb.ResultCode_RESULT_CODE_NOT_RUN)
		is.Equal(h.sentCount(), 0)
	})
}

func TestDispatcherForwardsQueuedCallToNewOwner(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		h.tenureHeld.Store(false)
		go func() {
			time.Sleep(time.Second)
			h.tenureHolder.Store("node-b")
		}()
		is.Equal(h.sendAndWait(batch("r1", 5*time.Second)).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.Equal(len(h.forwarded), 1)
		is.Equal(h.sentCount(), 0)
	})
}

func TestHandoverReportsCallsInFlight(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		replies := make(chan *pb.LeafReply, 1)
		h.Dispatcher.StartBatch(context.Background(), "node-b", batch("r1", time.Second),
			func(r *pb.LeafReply) { replies <- r })
		synctest.Wait()
		h.relinquished = []string{"leaf-0"}
		state := h.HandleTenureRequest("node-b", &pb.TenureRequest{Leaves: []string{"leaf-0"}}).GetStates()[0]
		is.Equal(state.GetInFlight(), uint32(1))
		is.True(state.GetLongestLeft().AsDuration() > 0)
		is.Equal((<-replies).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		synctest.Wait()
		is.Equal(len(h.handovers), 1) // the successor is told that the call has ended
		is.Equal(h.handovers[0].GetInFlight(), uint32(0))
	})
}

func TestCancelRemovesQueuedCall(t *testing.T) {
	runOnVirtualTime(t, func(is *is.I, h *harness) {
		h.tenureHeld.Store(false)
		replies := make(chan *pb.LeafReply, 1)
		h.Dispatcher.StartBatch(context.Background(), "node-b", batch("r1", time.Minute),
			func(r *pb.LeafReply) { replies <- r })
		h.Dispatcher.Cancel("node-b", []uint64{1})
		is.Equal((<-replies).GetCode(), pb.ResultCode_RESULT_CODE_CANCELLED)
	})
}
