package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/rollout/conductor"
	"github.com/magnoliastep/magnoliastep/internal/rollout/planner"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// unusableOrders is the name of the counter of orders that can't be used.
	unusableOrders = "stepfront_rollout_orders_unusable_total"
	// rolloutPatience is how long a node that starts waits for the orders once it has the leaves. It would send to
	// a new version like to any other before it knows them.
	rolloutPatience = time.Second
	// defaultRolloutShare and defaultRolloutSlack apply if the settings have no usable values.
	defaultRolloutShare = 0.1
	defaultRolloutSlack = 50
	// abandonedFactor is the multiple of the typical latency from which an answer that was no longer awaited is
	// late. One that was given up sooner says nothing.
	abandonedFactor = 3
)

// rolloutFleet is the view of the live nodes for roll-outs.
type rolloutFleet struct {
	node *Node
}

func (n *Node) assembleRollouts() {
	c := n.config
	if c.Kinds.Rollouts == "" {
		return
	}
	c.Metrics.NewCounter(unusableOrders)
	n.conductor = conductor.New(conductor.Config{
		NodeName: c.NodeName, Store: c.RolloutStore, Leaves: n.balancer, Messenger: n.messenger, Fleet: rolloutFleet{n},
		Bounds: n.rolloutBounds, Random: rand.Float64, Clock: c.Clock, Logger: c.Logger, Metrics: c.Metrics,
	})
}

// rolloutBounds returns what a bad version may get, by the settings if they have usable values.
func (n *Node) rolloutBounds() planner.Bounds {
	s := n.settings.Load()
	if s.RolloutShare <= 0 || s.RolloutShare > 1 || s.RolloutSlack < 0 {
		return planner.Bounds{Share: defaultRolloutShare, Slack: defaultRolloutSlack}
	}
	return planner.Bounds{Share: s.RolloutShare, Slack: s.RolloutSlack}
}

// Members returns the nodes that may serve, this one included.
func (f rolloutFleet) Members() []*pb.Member { return f.node.prober.Members() }

// Leading returns the first members in the order in which they own a key.
func (f rolloutFleet) Leading(key string, count int) []*pb.Member {
	return f.node.currentFleet().ranker.Leading(ranker.Key{Name: key}, count)
}

// Known reports whether the view can be trusted to be complete.
func (f rolloutFleet) Known() bool { return !f.node.viewIsUnknown(f.node.config.Clock.Now()) }

// rolloutChanged takes an order. One that can't be used is logged and counted, and changes nothing. An order that is
// missing only because the store was restored from a copy stays in force until the operator had the time to write it
// again: without it a version that was found bad would get requests.
func (n *Node) rolloutChanged(d replicator.Document) {
	n.rolloutEnds.cancel(d.Name)
	switch {
	case d.Deleted && d.Restored:
		n.rolloutEnds.schedule(d.Name, orderReturnTime, func() { n.removeRollout(d.Name) })
		n.config.Logger.Info("roll-out order is missing in a new era of the store", "service", d.Name, "era", d.Era,
			"ends_in", orderReturnTime)
		return
	case d.Deleted:
		n.removeRollout(d.Name)
		return
	}
	o, err := n.config.DecodeRollout(d)
	if err == nil {
		n.unusableRollouts.Delete(d.Name)
		n.conductor.SetOrder(o)
		return
	}
	n.config.Metrics.GetOrCreateCounter(unusableOrders).Inc()
	if _, repeated := n.unusableRollouts.LoadOrStore(d.Name, true); !repeated {
		n.config.Logger.Warn("roll-out order is not usable and is ignored", "service", d.Name, "revision", d.Revision,
			"error", err)
	}
}

func (n *Node) removeRollout(service string) {
	n.unusableRollouts.Delete(service)
	n.conductor.RemoveOrder(service)
}

// awaitRollouts waits for the orders, but not for long: nodes of older software don't pass them on.
func (n *Node) awaitRollouts(ctx context.Context) {
	kind, deadline := n.config.Kinds.Rollouts, n.config.Clock.Now().Add(rolloutPatience)
	for kind != "" && n.replicator.Position(kind).Revision == 0 && n.config.Clock.Now().Before(deadline) &&
		ctx.Err() == nil {
		sleeper.Sleep(ctx, n.config.Clock, joinPollPeriod)
	}
}

func (n *Node) handleRolloutReport(f *pb.Frame, m *pb.RolloutReport, reply func(*pb.Frame)) {
	if n.conductor == nil {
		return
	}
	answer := n.conductor.HandleReport(f.GetFrom(), m)
	reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_RolloutReply{RolloutReply: answer}})
}

// observeCall passes the end of a call to the roll-outs while there are any.
func (n *Node) observeCall(c gatherer.Call) {
	if n.conductor == nil || !n.conductor.Active() || c.NoConnection {
		return
	}
	late := c.Took > abandonedFactor*c.Typical
	if c.Outcome != scorer.Success && c.Outcome != scorer.Failure && (c.Outcome != scorer.Abandoned || !late) {
		return
	}
	n.conductor.Observe(conductor.Answer{
		Route: c.Route, Leaf: c.Leaf.Entry(), Cold: c.Leaf.IsCold(time.Now()), Failed: c.Outcome == scorer.Failure,
		Took: c.Took,
	})
}
