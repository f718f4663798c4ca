package conductor

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

const (
	// tickPeriod is the time between two reports of a node.
	tickPeriod = 250 * time.Millisecond
	// callTimeout bounds the exchange with one node.
	callTimeout = 600 * time.Millisecond
	// maxReportAge is how old a report or its answer may be to count.
	maxReportAge = 1200 * time.Millisecond
	// deciders is how many nodes get the reports: the one that decides and the one that takes over from it.
	deciders = 2
	// keyPrefix is the prefix of the keys by which the nodes are ranked that decide.
	keyPrefix = "rollout/"
)

// HandleReport takes the report of another node and returns this node's plan. The answer names no order if this node
// knows another one or none.
func (c *Conductor) HandleReport(from string, m *pb.RolloutReport) *pb.RolloutReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, now := c.rollouts[m.GetService()], c.config.Clock.Now()
	if r == nil || r.id != m.GetOrder() {
		return &pb.RolloutReply{}
	}
	r.adoptAge(m.GetAge().AsDuration(), m.GetAgeObserved(), now)
	if m.GetStopped() {
		c.stop(r, "node "+from+" has stopped", now)
	}
	r.merge(from, m, now)
	return &pb.RolloutReply{
		Order: r.id, Age: durationpb.New(r.age(now)), AgeObserved: r.ageObserved,
		Stopped: r.stopReason != "" || r.order.State == StateReverted, Share: r.plan.Share, Sealed: r.plan.Sealed,
		Epoch: c.epoch,
	}
}

// report returns what this node reports of a roll-out to a node.
func (c *Conductor) report(r *rollout, to string, now time.Time) *pb.RolloutReport {
	return &pb.RolloutReport{
		Service: r.order.Service, Order: r.id, Age: durationpb.New(r.age(now)), AgeObserved: r.ageObserved, Epoch: c.epoch,
		Counts: r.encode(to), Stopped: r.stopReason != "", Moved: r.movedTicks >= minMovedTicks,
	}
}

// sendReport takes this node's own report and sends it to the nodes that decide.
func (c *Conductor) sendReport(ctx context.Context, r *rollout, leading []*pb.Member, now time.Time) {
	r.merge(c.config.NodeName, c.report(r, c.config.NodeName, now), now)
	for _, to := range leading {
		if to.GetName() != c.config.NodeName {
			go c.exchange(ctx, to, c.report(r, to.GetName(), now))
		}
	}
}

// exchange sends a report to one of the nodes that decide and takes its answer.
func (c *Conductor) exchange(ctx context.Context, to *pb.Member, m *pb.RolloutReport) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_RolloutReport{RolloutReport: m}}
	reply, err := c.config.Messenger.Call(ctx, to.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		return
	}
	c.takeReply(to.GetName(), m, reply.GetRolloutReply())
}

// takeReply takes the answer to a report.
func (c *Conductor) takeReply(from string, m *pb.RolloutReport, a *pb.RolloutReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, now := c.rollouts[m.GetService()], c.config.Clock.Now()
	if r == nil || r.id != m.GetOrder() || a.GetOrder() != r.id {
		return
	}
	r.acknowledge(from, a.GetEpoch(), m.GetCounts())
	r.adoptAge(a.GetAge().AsDuration(), a.GetAgeObserved(), now)
	r.advice[from] = advice{at: now, share: a.GetShare(), sealed: a.GetSealed()}
	if a.GetStopped() {
		c.stop(r, "node "+from+" has stopped", now)
	}
}
