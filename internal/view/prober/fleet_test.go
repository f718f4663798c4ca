package prober_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
)

const (
	probePeriod     = 500 * time.Millisecond
	probeTimeout    = 300 * time.Millisecond
	suspicionPeriod = 2 * time.Second
	oneWayDelay     = time.Millisecond
	zonesPerRegion  = 3
)

type (
	// fleet runs many probers in one process on virtual time, over a simulated network that can lose messages and
	// block connections.
	fleet struct {
		mutex sync.Mutex
		nodes map[string]*node
		// blocked tells whether messages from one address to another are lost.
		blocked func(from, to string) bool
		// lossRate is the share of messages that are lost at random.
		lossRate       float64
		random         *rand.Rand
		bytes          atomic.Uint64
		messages       atomic.Uint64
		runningProbers sync.WaitGroup
		done           chan struct{}
		// sparse makes nodes probe only the few peers that the linker chooses, as in a large fleet.
		sparse bool
	}

	node struct {
		fleet   *fleet
		name    string
		zone    string
		address string
		prober  *prober.Prober
		clock   *gatedClock
		cancel  context.CancelFunc
		killed  atomic.Bool
		// deathsDeclared counts the nodes that this node declared dead.
		deathsDeclared atomic.Int64
		// helpers is the number of helpers that this node asks for.
		helpers atomic.Uint32
		// calledAddresses has the addresses that this node has sent a message to as keys.
		calledAddresses sync.Map
	}

	// gatedClock drops the ticks of its tickers while the process is frozen.
	gatedClock struct {
		quartz.Clock
		frozen atomic.Bool
		done   chan struct{}
	}
)

var errLost = errors.New("message lost")

func newFleet(seed uint64) *fleet {
	return &fleet{
		nodes: map[string]*node{}, random: rand.New(rand.NewPCG(seed, 1)),
		blocked: func(string, string) bool { return false }, done: make(chan struct{}),
	}
}

func nodeAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7300", i/250, 1+i%250) }

// start adds a running node; node i is placed in region i modulo regions.
func (f *fleet) start(i, regions int, name string, seeds ...string) *node {
	n := &node{fleet: f, name: name, address: nodeAddress(i), clock: &gatedClock{Clock: quartz.NewReal(), done: f.done}}
	region := fmt.Sprintf("region-%d", i%regions)
	n.zone = fmt.Sprintf("%s-%d", region, i/regions%zonesPerRegion)
	n.prober = prober.New(prober.Config{
		Self: &pb.Member{
			Name: name, Region: region, AvailabilityZone: n.zone,
			PeerAddress: n.address, CallerAddress: n.address, StartedAt: time.Now().UnixNano(), Incarnation: 1,
		},
		Messenger: n, Clock: n.clock, Logger: slog.New(slog.DiscardHandler),
		Random:      rand.New(rand.NewPCG(uint64(i), 7)),
		ProbePeriod: probePeriod, ProbeTimeout: probeTimeout, SuspicionPeriod: suspicionPeriod,
		SeedPeers: seeds, Load: func() uint32 { return 0 }, Helpers: n.helpers.Load, FilterTargets: f.filterTargets(name),
		OnDeath: func(string) { n.deathsDeclared.Add(1) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mutex.Lock()
	f.nodes[n.address] = n
	f.mutex.Unlock()
	f.runningProbers.Go(func() {
		time.Sleep(time.Duration(f.randomFloat() * float64(probePeriod)))
		n.prober.Run(ctx)
	})
	return n
}

// filterTargets returns the filter of a node's probe targets, or nil if it probes all.
func (f *fleet) filterTargets(name string) func(names []string) []string {
	if !f.sparse {
		return nil
	}
	return func(names []string) []string { return linker.ChoosePeers(names, name) }
}

func (f *fleet) startMany(count, regions int) []*node {
	nodes := make([]*node, 0, count)
	for i := range count {
		nodes = append(nodes, f.start(i, regions, fmt.Sprintf("node-%04d", i), nodeAddress(0), nodeAddress(1)))
	}
	return nodes
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	f.runningProbers.Wait()
	close(f.done)
	time.Sleep(10 * time.Second) // until calls in flight have ended
}

func (f *fleet) randomFloat() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64()
}

// deliver returns the node at the address after the network delay, or nil if the frame is lost.
func (f *fleet) deliver(from, to string, frame *pb.Frame) *node {
	size := proto.Size(frame) + 2 // length prefix
	f.bytes.Add(uint64(size))
	f.messages.Add(1)
	time.Sleep(oneWayDelay)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := f.nodes[to]
	if n == nil || n.killed.Load() || n.clock.frozen.Load() || f.blocked(from, to) || f.random.Float64() < f.lossRate {
		return nil
	}
	return n
}

// Call implements prober.Messenger.
func (n *node) Call(ctx context.Context, address string, _ messenger.Plane, frame *pb.Frame) (*pb.Frame, error) {
	n.calledAddresses.Store(address, true)
	frame.Id, frame.From, frame.ConfigDigest = 1<<20, n.name, 1<<60
	if n.clock.frozen.Load() || n.killed.Load() {
		<-ctx.Done()
		return nil, errLost
	}
	peer := n.fleet.deliver(n.address, address, frame)
	if peer == nil {
		<-ctx.Done()
		return nil, errLost
	}
	reply := &pb.Frame{Id: frame.Id, From: frame.From, ConfigDigest: frame.ConfigDigest}
	switch body := frame.GetBody().(type) {
	case *pb.Frame_Probe:
		reply.Body = &pb.Frame_ProbeReply{ProbeReply: peer.prober.HandleProbe(body.Probe)}
	case *pb.Frame_IndirectProbe:
		reply.Body = &pb.Frame_ProbeReply{ProbeReply: peer.prober.HandleIndirectProbe(ctx, body.IndirectProbe)}
	}
	if n.fleet.deliver(address, n.address, reply) == nil || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errLost
	}
	return reply, nil
}

// NewTicker implements quartz.Clock.
func (c *gatedClock) NewTicker(d time.Duration, tags ...string) *quartz.Ticker {
	ticker := c.Clock.NewTicker(d, tags...)
	ticks := ticker.C
	gated := make(chan time.Time, 1)
	ticker.C = gated
	go func() {
		for {
			select {
			case t := <-ticks:
				if !c.frozen.Load() {
					select {
					case gated <- t:
					default:
					}
				}
			case <-c.done:
				return
			}
		}
	}()
	return ticker
}

// viewsWithMember returns the number of nodes whose view contains the named member.
func viewsWithMember(nodes []*node, name string) int {
	count := 0
	for _, n := range nodes {
		for _, m := range n.prober.Members() {
			if m.GetName() == name {
				count++
				break
			}
		}
	}
	return count
}

// suspectCount returns the number of suspects, summed over all views.
func suspectCount(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		for _, m := range n.prober.Members() {
			if m.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
				count++
			}
		}
	}
	return count
}

// allViewsHaveSize tells whether every node's view has the given number of members.
func allViewsHaveSize(nodes []*node, size int) bool {
	for _, n := range nodes {
		if len(n.prober.Members()) != size {
			return false
		}
	}
	return true
}

// waitFor advances virtual time until the condition holds and returns how long that took, or the limit.
func waitFor(limit time.Duration, condition func() bool) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < limit && !condition() {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(startedAt)
}
