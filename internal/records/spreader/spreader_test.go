package spreader_test

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
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/spreader"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
)

const (
	kind  = "leaves"
	delay = 2 * time.Millisecond
)

// fleet is a set of nodes that exchange frames after a delay. Nodes that are cut get and send nothing.
type fleet struct {
	names    []string
	spreader map[string]*spreader.Spreader
	replica  map[string]*replicator.Replicator
	cut      sync.Map
	// deaf nodes never answer a pull.
	deaf sync.Map
	// handedOver counts the documents in all answers.
	handedOver atomic.Int64
}

// link carries the frames of one node.
type link struct {
	fleet *fleet
	from  string
}

func (l link) Send(_ context.Context, to string, _ messenger.Plane, f *pb.Frame) error {
	if l.fleet.isCut(to) || l.fleet.isCut(l.from) {
		return errors.New("cut")
	}
	go func() {
		time.Sleep(delay)
		l.fleet.spreader[to].HandleNotice(context.Background(), f.GetDocumentNotice())
	}()
	return nil
}

func (l link) Call(ctx context.Context, to string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	if l.fleet.isCut(to) || l.fleet.isCut(l.from) {
		return nil, errors.New("cut")
	}
	if _, deaf := l.fleet.deaf.Load(to); deaf {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * delay)
	answer := l.fleet.spreader[to].HandlePull(f.GetDocumentPull())
	l.fleet.handedOver.Add(int64(len(answer.GetDocuments())))
	return &pb.Frame{From: to, Body: &pb.Frame_Documents{Documents: answer}}, nil
}

func (f *fleet) isCut(name string) bool {
	_, cut := f.cut.Load(name)
	return cut
}

func newFleet(ctx context.Context, nodes int) *fleet {
	f := &fleet{
		spreader: map[string]*spreader.Spreader{}, replica: map[string]*replicator.Replicator{},
	}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("node-%d", i))
	}
	for _, name := range f.names {
		r := replicator.New(replicator.Config{
			Clock: quartz.NewReal(), Changed: func(replicator.Document, time.Time) {},
		})
		s := spreader.New(spreader.Config{
			Kinds: []string{kind}, PeerAddress: name, Messenger: link{f, name}, Replica: r, Clock: quartz.NewReal(),
			Peers: func() []string {
				peers := linker.Choose(f.names, name)
				rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
				return peers
			},
			Forward: func() bool { return !linker.Small(nodes) },
			Learned: func(string, int) {}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		f.spreader[name], f.replica[name] = s, r
		go s.Run(ctx)
	}
	return f
}

// learn gives the first node news from the store.
func (f *fleet) learn(revision int64) {
	name := f.names[0]
	f.replica[name].ApplyList(kind, []replicator.Document{{Kind: kind, Name: "a", Revision: revision}}, revision,
		time.Now())
	f.spreader[name].Announce()
}

func (f *fleet) knowing(revision int64) int {
	count := 0
	for _, r := range f.replica {
		if r.Position(kind).Revision >= revision {
			count++
		}
	}
	return count
}

func TestNewsReachesAllNodes(t *testing.T) {
	for nodes, within := range map[int]time.Duration{1: 0, 9: 20 * time.Millisecond, 91: 150 * time.Millisecond} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, nodes)
				f.learn(7)
				time.Sleep(within)
				is.Equal(f.knowing(7), nodes)
				confirmedAt := time.Now()
				f.replica["node-0"].Confirm(kind, 7, confirmedAt.Add(time.Second))
				f.spreader["node-0"].Announce()
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

func TestANodeThatMissedTheNewsIsBroughtUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 5)
		f.cut.Store("node-3", true)
		f.learn(7)
		time.Sleep(5 * time.Second)
		is.Equal(f.knowing(7), 4)
		f.cut.Delete("node-3")
		time.Sleep(2 * time.Second)
		is.Equal(f.knowing(7), 5)
		cancel()
		time.Sleep(time.Second) // lets the goroutines end
	})
}

// A node hears of news from several others at nearly the same time and asks one of them only; the next one is asked
// when the first does not answer.
func TestNewsIsPulledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes = 91
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, nodes)
		f.learn(7)
		time.Sleep(200 * time.Millisecond)
		is.Equal(f.knowing(7), nodes)
		is.Equal(f.handedOver.Load(), int64(nodes-1))

		for _, name := range f.names[1:] {
			if len(name)%2 == 0 { // those with a number of one digit
				f.deaf.Store(name, true)
			}
		}
		f.learn(8)
		time.Sleep(700 * time.Millisecond)
		is.Equal(f.knowing(8), nodes)
		cancel()
		time.Sleep(2 * time.Second) // lets the goroutines end
	})
}
