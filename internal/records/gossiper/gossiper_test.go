package gossiper_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/records/gossiper"
	"github.com/magnoliastep/magnoliastep/internal/records/monitor"
	"github.com/magnoliastep/magnoliastep/internal/records/patcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
)

const (
	kind  = "leaves"
	delay = 2 * time.Millisecond
)

// fleet is a set of nodes that exchange frames after a delay. Isolated nodes neither receive nor send.
type fleet struct {
	names    []string
	gossiper map[string]*gossiper.Gossiper
	replica  map[string]*replicator.Replicator
	monitor  map[string]*monitor.Monitor
	isolated sync.Map
	// unresponsive nodes never answer a pull.
	unresponsive sync.Map
	// pulledDocuments counts the documents in all answers to pulls.
	pulledDocuments atomic.Int64
	// pulls counts the pulls that were answered.
	pulls atomic.Int64
	// links delay each frame by its size; nil for links of no limit.
	links *slowLinks
}

// peerMessenger carries the frames of one node.
type peerMessenger struct {
	fleet *fleet
	from  string
}

func (m peerMessenger) Send(_ context.Context, to string, _ messenger.Plane, f *pb.Frame) error {
	if m.fleet.isIsolated(to) || m.fleet.isIsolated(m.from) {
		return errors.New("node is isolated")
	}
	go func() {
		m.fleet.transmit(m.from, to, f)
		m.fleet.gossiper[to].HandleNotice(context.Background(), f.GetDocumentNotice())
	}()
	return nil
}

func (m peerMessenger) Call(ctx context.Context, to string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	if m.fleet.isIsolated(to) || m.fleet.isIsolated(m.from) {
		return nil, errors.New("node is isolated")
	}
	if _, unresponsive := m.fleet.unresponsive.Load(to); unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answers := make(chan *pb.Frame, 1)
	go func() {
		m.fleet.transmit(m.from, to, f)
		answer := m.fleet.gossiper[to].HandlePull(f.GetDocumentPull())
		m.fleet.pulls.Add(1)
		m.fleet.pulledDocuments.Add(int64(len(answer.GetDocuments())))
		reply := &pb.Frame{From: to, Body: &pb.Frame_Documents{Documents: answer}}
		m.fleet.transmit(to, m.from, reply)
		answers <- reply
	}()
	select {
	case reply := <-answers:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// transmit returns when a frame has arrived.
func (f *fleet) transmit(from, to string, frame *pb.Frame) {
	if f.links == nil {
		time.Sleep(delay)
		return
	}
	f.links.transmit(from, to, frame)
}

func (f *fleet) isIsolated(name string) bool {
	_, isolated := f.isolated.Load(name)
	return isolated
}

func newFleet(ctx context.Context, nodes int) *fleet {
	f := &fleet{
		gossiper: map[string]*gossiper.Gossiper{}, replica: map[string]*replicator.Replicator{},
		monitor: map[string]*monitor.Monitor{},
	}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("node-%d", i))
	}
	for _, name := range f.names {
		p := patcher.New()
		r := replicator.New(replicator.Config{
			Clock: quartz.NewReal(), OnChange: func(d replicator.Document, _ time.Time) { p.Record(d) },
		})
		f.monitor[name] = monitor.New(monitor.Config{Clock: quartz.NewReal()})
		g := gossiper.New(gossiper.Config{
			Kinds: []string{kind}, PeerAddress: name, Messenger: peerMessenger{f, name}, Replica: r, Patcher: p,
			Clock: quartz.NewReal(), Monitor: f.monitor[name], Overdue: func(string) bool { return false },
			Peers: func() []string {
				peers := linker.ChoosePeers(f.names, name)
				rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
				return peers
			},
			ForwardChanges: func() bool { return !linker.FullMesh(nodes) },
			OnDocuments:    func(gossiper.Transfer) {}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		f.gossiper[name], f.replica[name] = g, r
		go g.Run(ctx)
	}
	return f
}

// at returns a point of a store that states no era.
func at(revision int64) replicator.Point {
	return replicator.Point{Revision: revision}
}

// applyFromStore gives the first node a list from the store at a revision.
func (f *fleet) applyFromStore(revision int64) {
	name := f.names[0]
	f.replica[name].ApplyList(kind, []replicator.Document{{Kind: kind, Name: "a", Revision: revision}},
		at(revision),
		time.Now())
	f.gossiper[name].Announce()
}

func (f *fleet) countNodesAt(revision int64) int {
	count := 0
	for _, r := range f.replica {
		if r.Position(kind).Revision >= revision {
			count++
		}
	}
	return count
}

// Guards against changes, and confirmations that nothing has changed, that do not reach every node in time, also in
// fleets in which a node links to only some of the others.
func TestChangesReachAllNodes(t *testing.T) {
	for nodes, within := range map[int]time.Duration{1: 0, 9: 20 * time.Millisecond, 91: 150 * time.Millisecond} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, nodes)
				f.applyFromStore(7)
				time.Sleep(within)
				is.Equal(f.countNodesAt(7), nodes)
				confirmedAt := time.Now()
				f.replica["node-0"].ApplyChanges(kind, at(7), nil, at(7), confirmedAt.Add(time.Second))
				f.gossiper["node-0"].Announce()
				time.Sleep(time.Second)
				for _, r := range f.replica {
					is.True(time.Since(r.Position(kind).ConfirmedAt) < 900*time.Millisecond)
				}
				cancel()
				time.Sleep(time.Second) // lets the goroutines end
			})
		})
	}
}

// Guards against a node that stays at an old revision because it was isolated when the others were notified.
func TestNodeThatMissedNoticeCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 5)
		f.isolated.Store("node-3", true)
		f.applyFromStore(7)
		time.Sleep(5 * time.Second)
		is.Equal(f.countNodesAt(7), 4)
		f.isolated.Delete("node-3")
		time.Sleep(2 * time.Second)
		is.Equal(f.countNodesAt(7), 5)
		cancel()
		time.Sleep(time.Second) // lets the goroutines end
	})
}

// Guards against pulling the same documents several times: a node gets notices of a change from several others at
// nearly the same time and must ask one of them only. It must ask the next one when the first does not answer.
func TestChangesArePulledFromOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes = 91
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, nodes)
		f.applyFromStore(7)
		time.Sleep(200 * time.Millisecond)
		is.Equal(f.countNodesAt(7), nodes)
		is.Equal(f.pulledDocuments.Load(), int64(nodes-1))

		for _, name := range f.names[1:] {
			if len(name)%2 == 0 { // those with a number of one digit
				f.unresponsive.Store(name, true)
			}
		}
		f.applyFromStore(8)
		time.Sleep(700 * time.Millisecond)
		is.Equal(f.countNodesAt(8), nodes)
		cancel()
		time.Sleep(2 * time.Second) // lets the goroutines end
	})
}
