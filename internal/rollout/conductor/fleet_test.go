package conductor_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/rollout/conductor"
	"github.com/magnoliastep/magnoliastep/internal/rollout/planner"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	service    = "shop"
	oldVersion = "v1"
	newVersion = "v2"
	period     = 250 * time.Millisecond
	// exchangeTime is how long the exchanges of one tick may take in real time.
	exchangeTime = 3 * time.Millisecond
)

var errDown = errors.New("down")

type (
	// fleet is a store and nodes that share one mock clock. Messages are function calls.
	fleet struct {
		clock  *quartz.Mock
		random *rand.Rand
		nodes  []*node
		store  *store
		// worse returns whether an answer of the new version fails.
		worse func(age time.Duration, leaf string) bool
		// start is when the order was given.
		start time.Time
		// total and exposed count the calls since the order; exposed has those to the new version.
		total, exposed int
		badAnswers     int
		// exposedSince counts the calls to the new version since mark.
		exposedSince int
	}

	node struct {
		name      string
		fleet     *fleet
		conductor *conductor.Conductor
		balancer  *balancer.Balancer
		// dead nodes don't run, frozen ones neither but stay in the view, and cut ones exchange nothing with
		// others.
		dead, frozen, cut atomic.Bool
		// claims is set while the node believes that it decides.
		claims atomic.Bool
		// reportedCounts is the number of counts in the last report of the node. toldAgain is set once a report has had
		// counts although nothing was counted.
		reportedCounts atomic.Int64
		toldAgain      atomic.Bool
	}

	// store holds one order. The nodes learn of its changes when deliver is called.
	store struct {
		mutex sync.Mutex
		order conductor.Order
		down  bool
		// losesAnswers is set while statuses are written but the answers are lost.
		losesAnswers bool
		writes       []string
		conflicts    int
	}
)

func newFleet(t *testing.T, nodes int) *fleet {
	f := &fleet{
		clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger), random: rand.New(rand.NewPCG(1, 2)),
		store: &store{}, worse: func(time.Duration, string) bool { return false },
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.newNode(fmt.Sprintf("node-%d", i)))
	}
	return f
}

func (f *fleet) newNode(name string) *node {
	n := &node{name: name, fleet: f}
	n.balancer = balancer.New(balancer.Config{
		Random: rand.Float64, ColdShare: func(string) float64 { return 1 },
		Logger: slog.New(slog.DiscardHandler),
	})
	for i, version := range []string{oldVersion, oldVersion, oldVersion, newVersion, newVersion, newVersion} {
		n.balancer.Put(balancer.Entry{
			ID: fmt.Sprintf("leaf-%d", i), Service: service, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 1000,
			Incarnation: 1, Version: version,
		}, f.clock.Now())
	}
	n.conductor = conductor.New(conductor.Config{
		NodeName: name, Store: f.store, Leaves: n.balancer, Messenger: n, Fleet: n,
		Bounds: func() planner.Bounds { return planner.Bounds{Share: exposeShare, Slack: exposeSlack} },
		Random: func() float64 { return 0.5 },
		Clock:  f.clock, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
	return n
}

// order writes an order of the operator and delivers it.
func (f *fleet) order(o conductor.Order) {
	f.store.mutex.Lock()
	o.Revision = f.store.order.Revision + 1
	f.store.order = o
	f.store.mutex.Unlock()
	f.start = f.clock.Now()
	f.deliver()
}

// deliver tells the nodes the order as the store has it, unless the store is down.
func (f *fleet) deliver() {
	f.store.mutex.Lock()
	o, down := f.store.order, f.store.down
	f.store.mutex.Unlock()
	for _, n := range f.nodes {
		if !down && o.Service != "" && n.runs() {
			n.conductor.SetOrder(o)
		}
	}
}

func (n *node) runs() bool { return !n.dead.Load() && !n.frozen.Load() }

// run plays a load of calls per second of all nodes for a time.
func (f *fleet) run(duration time.Duration, rate float64) {
	due := f.random.Float64()
	for end := f.clock.Now().Add(duration); f.clock.Now().Before(end); f.clock.Advance(period) {
		for due += rate * period.Seconds(); due >= 1; due-- {
			f.call(f.nodes[f.random.IntN(len(f.nodes))])
		}
		for _, n := range f.nodes {
			if n.runs() {
				n.conductor.Tick(context.Background())
			}
		}
		time.Sleep(exchangeTime)
		f.deliver()
	}
}

// call makes one call of a node.
func (f *fleet) call(n *node) {
	if !n.runs() {
		return
	}
	tried := map[string]bool{}
	l, _ := n.balancer.Pick(service, balancer.Call{TypicalLatency: 20 * time.Millisecond},
		func(l *balancer.Leaf) bool { return tried[l.Entry().ID] }, f.clock.Now())
	if l == nil {
		return
	}
	f.total++
	a := conductor.Answer{Route: "search", Leaf: l.Entry(), Took: 20 * time.Millisecond}
	if l.Entry().Version == newVersion {
		f.exposed++
		f.exposedSince++
		a.Failed = f.worse(f.clock.Now().Sub(f.start), l.Entry().ID)
	}
	if a.Failed {
		f.badAnswers++
	}
	n.conductor.Observe(a)
}

// state returns the state that the store has.
func (f *fleet) state() conductor.State {
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	return f.store.order.State
}

// leader returns the node that decides.
func (f *fleet) leader() *node {
	first := f.nodes[0].Leading("rollout/"+service, 1)[0].GetName()
	for _, n := range f.nodes {
		if n.name == first {
			return n
		}
	}
	return nil
}

// Members returns the nodes that this node sees.
func (n *node) Members() []*pb.Member {
	var members []*pb.Member
	for _, o := range n.fleet.nodes {
		if !o.dead.Load() && (o == n || !n.cut.Load() && !o.cut.Load()) {
			members = append(members, &pb.Member{Name: o.name, PeerAddress: o.name})
		}
	}
	return members
}

func (n *node) Leading(key string, count int) []*pb.Member {
	leading := ranker.New(n.Members()).Leading(ranker.Key{Name: key}, count)
	if n.claims.Load() {
		leading[0] = &pb.Member{Name: n.name, PeerAddress: n.name}
	}
	return leading
}

func (n *node) Known() bool { return true }

// Call carries a report to the node of an address.
func (n *node) Call(_ context.Context, address string, _ messenger.Plane, frame *pb.Frame) (*pb.Frame, error) {
	counts := int64(len(frame.GetRolloutReport().GetCounts()))
	if n.reportedCounts.Swap(counts) == 0 && counts > 0 {
		n.toldAgain.Store(true)
	}
	for _, o := range n.fleet.nodes {
		if o.name == address && o.runs() && !o.cut.Load() && !n.cut.Load() {
			reply := o.conductor.HandleReport(n.name, frame.GetRolloutReport())
			return &pb.Frame{Body: &pb.Frame_RolloutReply{RolloutReply: reply}}, nil
		}
	}
	return nil, errDown
}

func (s *store) WriteRolloutStatus(_ context.Context, o conductor.Order, state conductor.State) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.down:
		return errDown
	case o.Revision != s.order.Revision:
		s.conflicts++
		return conductor.ErrConflict
	}
	s.order.State = state
	s.order.Revision++
	s.writes = append(s.writes, state.String())
	if s.losesAnswers {
		return errDown
	}
	return nil
}

func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}
