package dispatcher

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/leaser"
)

const (
	requestTimeoutPeriods = 2 // timeout of tenure requests and handovers, in tenure periods
	handoverPollInterval  = 10 * time.Millisecond
)

// HandleTenureRequest handles a tenure request of another node. The reply carries the states of the leaves
// that this node relinquishes by granting the request.
func (d *Dispatcher) HandleTenureRequest(from string, r *pb.TenureRequest) *pb.TenureReply {
	reply, relinquished := d.config.Tenure.HandleRequest(from, r)
	for _, leaf := range relinquished {
		d.mutex.Lock()
		l := d.leafDispatchers[leaf]
		d.mutex.Unlock()
		if l == nil {
			reply.States = append(reply.States, &pb.LeafState{Leaf: leaf, Cold: true, Limit: 1})
			continue
		}
		reply.States = append(reply.States, l.relinquish(d.rankedMember(leaf, from)))
	}
	d.wakeTenureLoop()
	return reply
}

// HandleHandover takes over leaves from a node that has stopped dispatching to them.
func (d *Dispatcher) HandleHandover(from string, h *pb.LeafHandover) *pb.Acknowledgement {
	for _, s := range h.GetLeaves() {
		d.adoptLeafState(s)
		d.config.Tenure.HandleHandover(from, s.GetLeaf())
	}
	d.wakeTenureLoop()
	return &pb.Acknowledgement{Code: pb.ResultCode_RESULT_CODE_OK}
}

// HandOver hands all leaves over to their next owners and waits until no call of this node is queued or in
// flight, or until the context ends. The node must have left the view before.
func (d *Dispatcher) HandOver(ctx context.Context) error {
	d.config.Tenure.Leave()
	d.reconcile(ctx)
	ticker := d.config.Clock.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for !d.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	d.handovers.Wait()
	return nil
}

func (d *Dispatcher) idle() bool {
	for _, l := range d.allLeafDispatchers() {
		if !l.idle() {
			return false
		}
	}
	return true
}

func (d *Dispatcher) wakeTenureLoop() {
	select {
	case d.tenureWake <- struct{}{}:
	default:
	}
}

// runTenureLoop calls reconcile once per TenurePeriod, and at once after wakeTenureLoop.
func (d *Dispatcher) runTenureLoop(ctx context.Context) {
	ticker := d.config.Clock.NewTicker(d.config.TenurePeriod)
	defer ticker.Stop()
	for {
		d.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.tenureWake:
		}
	}
}

// reconcile renews the tenures, hands over leaves that have another owner now, and applies tenures and the
// current configuration to all leaf dispatchers.
func (d *Dispatcher) reconcile(ctx context.Context) {
	index := d.config.Source.Index()
	configured := func(leaf string) bool {
		_, ok := index.Leaf(leaf)
		return ok
	}
	requests, handovers := d.config.Tenure.Tick(d.config.OwnerRanking.OwnedBy(d.config.NodeName), configured)
	for _, h := range handovers {
		d.handOverLeaf(ctx, h)
	}
	for _, q := range requests {
		go d.requestTenure(ctx, q)
	}
	for _, l := range d.allLeafDispatchers() {
		entry, ok := index.Leaf(l.name)
		if !ok {
			d.removeLeaf(l)
			continue
		}
		l.configure(entry.Leaf)
		l.limiter.SetShare(d.config.OwnerRanking.Share(l.name))
		l.updateBlocked()
		d.forwardQueued(l)
		l.dispatch()
	}
}

// requestTenure sends one tenure request and handles the reply.
func (d *Dispatcher) requestTenure(ctx context.Context, q leaser.Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutPeriods*d.config.TenurePeriod)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_TenureRequest{TenureRequest: q.Body}}
	reply, err := d.config.Peers.Call(ctx, q.To.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		d.config.Tenure.HandleReply(q, nil)
		return
	}
	for _, s := range reply.GetTenureReply().GetStates() {
		d.adoptLeafState(s)
	}
	d.config.Tenure.HandleReply(q, reply.GetTenureReply())
	if len(reply.GetTenureReply().GetGranted()) > 0 {
		d.dispatchAll(reply.GetTenureReply().GetGranted())
	}
}

func (d *Dispatcher) dispatchAll(leaves []string) {
	for _, leaf := range leaves {
		d.mutex.Lock()
		l := d.leafDispatchers[leaf]
		d.mutex.Unlock()
		if l != nil {
			l.dispatch()
		}
	}
}

// handOverLeaf hands a leaf over to its new owner.
func (d *Dispatcher) handOverLeaf(ctx context.Context, h leaser.Handover) {
	state := &pb.LeafState{Leaf: h.Leaf, Cold: true, Limit: 1}
	d.mutex.Lock()
	l := d.leafDispatchers[h.Leaf]
	d.mutex.Unlock()
	if l != nil {
		state = l.relinquish(h.To)
	}
	d.config.Logger.Info("leaf handed over", "leaf", h.Leaf, "to", h.To.GetName(), "in_flight", state.GetInFlight())
	d.handovers.Go(func() {
		d.sendHandover(ctx, h.To, state)
		if h.Release != nil && h.Release.To.GetName() != h.To.GetName() {
			d.requestTenure(ctx, *h.Release)
		}
	})
}

func (d *Dispatcher) sendHandover(ctx context.Context, to *pb.Member, s *pb.LeafState) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutPeriods*d.config.TenurePeriod)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_LeafHandover{LeafHandover: &pb.LeafHandover{Leaves: []*pb.LeafState{s}}}}
	_, err := d.config.Peers.Call(ctx, to.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		d.config.Logger.Warn("handover not acknowledged", "leaf", s.GetLeaf(), "to", to.GetName(), "error", err.Error())
	}
}

// forwardQueued forwards the queued jobs of a leaf that another node owns now.
func (d *Dispatcher) forwardQueued(l *leafDispatcher) {
	owner := d.otherOwner(l.name)
	if owner == nil {
		return
	}
	for _, j := range l.drainQueue() {
		d.forward(j, owner)
	}
}

// removeLeaf removes and closes the dispatcher of a leaf that is no longer configured.
func (d *Dispatcher) removeLeaf(l *leafDispatcher) {
	d.mutex.Lock()
	delete(d.leafDispatchers, l.name)
	d.mutex.Unlock()
	l.close()
}

// adoptLeafState takes over the former owner's limiter state of a leaf. A state without a limit only reports
// that the former owner's calls have ended.
func (d *Dispatcher) adoptLeafState(s *pb.LeafState) {
	entry, ok := d.config.Source.Index().Leaf(s.GetLeaf())
	if !ok {
		return
	}
	l := d.leafDispatcher(entry)
	if s.GetLimit() > 0 {
		l.limiter.RestoreState(limiter.State{
			Limit: s.GetLimit(), Baseline: s.GetBaselineLatency().AsDuration(), Cold: s.GetCold(),
		})
	}
	l.mutex.Lock()
	if s.GetLimit() > 0 {
		l.successor = nil
	}
	if s.GetIncarnation() != "" {
		l.updateIncarnationLocked(s.GetIncarnation())
	}
	l.mutex.Unlock()
	l.limiter.SetFormerOwnerCalls(int(s.GetInFlight()))
	if s.GetInFlight() > 0 {
		d.config.Clock.AfterFunc(s.GetLongestLeft().AsDuration(), func() {
			l.limiter.SetFormerOwnerCalls(0)
			l.dispatch()
		})
	}
}

func (d *Dispatcher) rankedMember(leaf, name string) *pb.Member {
	for _, m := range d.config.OwnerRanking.Ranked(leaf) {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

// relinquish returns the leaf's state for the next owner. If calls are in flight, the successor is notified
// when they have ended.
func (l *leafDispatcher) relinquish(successor *pb.Member) *pb.LeafState {
	s := l.limiter.State()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sender.Close()
	state := &pb.LeafState{
		Leaf: l.name, Limit: s.Limit, BaselineLatency: durationpb.New(s.Baseline), Cold: s.Cold,
		Incarnation: l.selfReport.GetIncarnation(), InFlight: uint32(len(l.inFlight)),
	}
	now := l.dispatcher.config.Clock.Now()
	var longest time.Duration
	for _, until := range l.inFlight {
		longest = max(longest, until.Sub(now))
	}
	state.LongestLeft = durationpb.New(longest)
	if len(l.inFlight) > 0 {
		l.successor = successor
	}
	return state
}
