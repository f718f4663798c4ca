package gossiper_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

func eraDocument(revision int64, data string) replicator.Document {
	return replicator.Document{
		Kind: kind, Name: "a", Revision: revision, Data: bytes.Repeat([]byte(data+" and some more content; "), 400),
	}
}

// Guards against nodes that do not read the store and stay for good with what it held before it was restored from a
// copy: the revisions of the new era are smaller than theirs, or the same with other content.
func TestNewEraReachesAllNodes(t *testing.T) {
	for name, revision := range map[string]int64{"smaller revision": 6, "same revision": 50} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const nodes = 21
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, nodes)
				reader := f.replica["node-0"]
				reader.ApplyList(kind, []replicator.Document{eraDocument(50, "old")}, replicator.Point{Era: 3, Revision: 50},
					time.Now())
				f.gossiper["node-0"].Announce()
				time.Sleep(time.Second)
				reader.ApplyList(kind, []replicator.Document{eraDocument(revision, "new")},
					replicator.Point{Era: 4, Revision: revision}, time.Now())
				f.gossiper["node-0"].Announce()
				time.Sleep(time.Second)
				for _, r := range f.replica {
					is.Equal(r.Position(kind).Point(), replicator.Point{Era: 4, Revision: revision})
					is.Equal(len(r.Documents(kind)), 1)
					is.True(bytes.HasPrefix(r.Documents(kind)[0].Data, []byte("new")))
				}
				for _, g := range f.gossiper {
					_, behind := g.BehindSince(kind)
					is.True(!behind)
				}
				cancel()
				time.Sleep(2 * time.Second) // lets the goroutines end
			})
		})
	}
}

// Guards against a notice of a former era that makes a node count as behind, or pull, for good.
func TestNoticeOfFormerEraIsNotNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 2)
		f.replica["node-0"].ApplyList(kind, []replicator.Document{eraDocument(6, "new")},
			replicator.Point{Era: 4, Revision: 6}, time.Now())
		f.gossiper["node-0"].HandleNotice(ctx, &pb.DocumentNotice{
			PeerAddress: "node-1", Positions: []*pb.DocumentPosition{{Kind: kind, Era: 3, Revision: 50}},
		})
		_, behind := f.gossiper["node-0"].BehindSince(kind)
		is.True(!behind)
		is.Equal(f.pulls.Load(), int64(0))
		f.gossiper["node-0"].HandleNotice(ctx, &pb.DocumentNotice{
			PeerAddress: "node-1", Positions: []*pb.DocumentPosition{{Kind: kind, Era: 5, Revision: 2}},
		})
		_, behind = f.gossiper["node-0"].BehindSince(kind)
		is.True(behind) // a smaller revision of a later era is news
		cancel()
		time.Sleep(2 * time.Second) // lets the goroutines end
	})
}
