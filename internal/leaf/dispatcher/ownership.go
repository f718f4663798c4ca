package dispatcher

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/tenant"
)

const (
	askPeriods   = 2 // tenure periods until a request counts as unanswered
	handoverPoll = 10 * time.Millisecond
)

// HandleTenureRequest answers another node that asks for promises. The states of leaves that this node
// gives up by it go along.
func (d *Dispatcher) HandleTenureRequest(from string, r *pb.TenureRequest) *pb.TenureReply {
	reply, relinquished := d.config.Tenure.HandleRequest(from, r)
	for _, leaf := range relinquished {
		d.mutex.Lock()
		l := d.lanes[leaf]
		d.mutex.Unlock()
		if l == nil {
			reply.States = append(reply.States, &pb.LeafState{Leaf: leaf, Cold: true, Limit: 1})
			continue
		}
		reply.States = append(reply.States, l.giveUp(d.memberOf(leaf, from)))
	}
	d.wake()
	return reply
}

// HandleHandover takes leaves from a node that has stopped dispatching to them.
func (d *Dispatcher) HandleHandover(from string, h *pb.LeafHandover) *pb.Acknowledgement {
	for _, s := range h.GetLeaves() {
		d.adopt(s)
		d.config.Tenure.HandleHandover(from, s.GetLeaf())
	}
	d.wake()
	return &pb.Acknowledgement{Code: pb.ResultCode_RESULT_CODE_OK}
}

// HandOver gives all leaves to their next owners and waits until no call of this node waits or is in
// flight, or until the context ends. The node must have left the view before.
func (d *Dispatcher) HandOver(ctx context.Context) error {
	d.config.Tenure.Leave()
	d.tick(ctx)
	ticker := d.config.Clock.NewTicker(handoverPoll)
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
	for _, l := range d.allLanes() {
		if !l.idle() {
			return false
		}
	}
	return true
}

func (d *Dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// runTenure keeps the tenures, and the lanes in step with them and with the configuration.
func (d *Dispatcher) runTenure(ctx context.Context) {
	ticker := d.config.Clock.NewTicker(d.config.TenurePeriod)
	defer ticker.Stop()
	for {
		d.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.kick:
		}
	}
}

func (d *Dispatcher) tick(ctx context.Context) {
	index := d.config.Source.Index()
	configured := func(leaf string) bool {
		_, ok := index.Leaf(leaf)
		return ok
	}
	requests, moves := d.config.Tenure.Tick(d.config.Ranks.OwnedBy(d.config.NodeName), configured)
	for _, m := range moves {
		d.move(ctx, m)
	}
	for _, q := range requests {
		go d.ask(ctx, q)
	}
	for _, l := range d.allLanes() {
		entry, ok := index.Leaf(l.name)
		if !ok {
			d.remove(l)
			continue
		}
		l.configure(entry.Leaf)
		l.limiter.SetShare(d.config.Ranks.Share(l.name))
		l.observeBlocked()
		d.reroute(l)
		l.dispatch()
	}
}

// ask sends one request for promises.
func (d *Dispatcher) ask(ctx context.Context, q tenant.Request) {
	ctx, cancel := context.WithTimeout(ctx, askPeriods*d.config.TenurePeriod)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_TenureRequest{TenureRequest: q.Body}}
	reply, err := d.config.Peers.Call(ctx, q.To.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		d.config.Tenure.HandleReply(q, nil)
		return
	}
	for _, s := range reply.GetTenureReply().GetStates() {
		d.adopt(s)
	}
	d.config.Tenure.HandleReply(q, reply.GetTenureReply())
	if len(reply.GetTenureReply().GetGranted()) > 0 {
		d.dispatchAll(reply.GetTenureReply().GetGranted())
	}
}

func (d *Dispatcher) dispatchAll(leaves []string) {
	for _, leaf := range leaves {
		d.mutex.Lock()
		l := d.lanes[leaf]
		d.mutex.Unlock()
		if l != nil {
			l.dispatch()
		}
	}
}

// move hands a leaf over to its new owner.
func (d *Dispatcher) move(ctx context.Context, m tenant.Move) {
	state := &pb.LeafState{Leaf: m.Leaf, Cold: true, Limit: 1}
	d.mutex.Lock()
	l := d.lanes[m.Leaf]
	d.mutex.Unlock()
	if l != nil {
		state = l.giveUp(m.To)
	}
	d.config.Logger.Info("leaf handed over", "leaf", m.Leaf, "to", m.To.GetName(), "in_flight", state.GetInFlight())
	d.handovers.Go(func() {
		d.sendHandover(ctx, m.To, state)
		if m.Release != nil && m.Release.To.GetName() != m.To.GetName() {
			d.ask(ctx, *m.Release)
		}
	})
}

func (d *Dispatcher) sendHandover(ctx context.Context, to *pb.Member, s *pb.LeafState) {
	ctx, cancel := context.WithTimeout(ctx, askPeriods*d.config.TenurePeriod)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_LeafHandover{LeafHandover: &pb.LeafHandover{Leaves: []*pb.LeafState{s}}}}
	_, err := d.config.Peers.Call(ctx, to.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		d.config.Logger.Warn("handover not acknowledged", "leaf", s.GetLeaf(), "to", to.GetName(), "error", err.Error())
	}
}

// reroute passes on the jobs that wait for a leaf that another node owns by now.
func (d *Dispatcher) reroute(l *lane) {
	owner := d.otherOwner(l.name)
	if owner == nil {
		return
	}
	for _, j := range l.drain() {
		d.passOn(j, owner)
	}
}

// remove ends the lane of a leaf that the configuration does not name any more.
func (d *Dispatcher) remove(l *lane) {
	d.mutex.Lock()
	delete(d.lanes, l.name)
	d.mutex.Unlock()
	l.close()
}

// adopt takes what the former owner has learnt. A state without a limit only says that its calls ended.
func (d *Dispatcher) adopt(s *pb.LeafState) {
	entry, ok := d.config.Source.Index().Leaf(s.GetLeaf())
	if !ok {
		return
	}
	l := d.lane(entry)
	if s.GetLimit() > 0 {
		l.limiter.Adopt(limiter.State{
			Limit: s.GetLimit(), Baseline: s.GetBaselineLatency().AsDuration(), Cold: s.GetCold(),
		})
	}
	l.mutex.Lock()
	if s.GetLimit() > 0 {
		l.successor = nil
	}
	if s.GetIncarnation() != "" {
		l.noteIncarnationLocked(s.GetIncarnation())
	}
	l.mutex.Unlock()
	l.limiter.SetHandedOver(int(s.GetInFlight()))
	if s.GetInFlight() > 0 {
		d.config.Clock.AfterFunc(s.GetLongestLeft().AsDuration(), func() {
			l.limiter.SetHandedOver(0)
			l.dispatch()
		})
	}
}

func (d *Dispatcher) memberOf(leaf, name string) *pb.Member {
	for _, m := range d.config.Ranks.Ranked(leaf) {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

// giveUp returns the state for the next owner, which is told when the calls in flight have ended.
func (l *lane) giveUp(successor *pb.Member) *pb.LeafState {
	s := l.limiter.State()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sender.Close()
	state := &pb.LeafState{
		Leaf: l.name, Limit: s.Limit, BaselineLatency: durationpb.New(s.Baseline), Cold: s.Cold,
		Incarnation: l.self.GetIncarnation(), InFlight: uint32(len(l.running)),
	}
	now := l.dispatcher.config.Clock.Now()
	var longest time.Duration
	for _, until := range l.running {
		longest = max(longest, until.Sub(now))
	}
	state.LongestLeft = durationpb.New(longest)
	if len(l.running) > 0 {
		l.successor = successor
	}
	return state
}
