// Package gossiper replicates the documents of the store between the nodes by gossip. A node that has read changes from
// the store sends a short notice of its positions to other nodes; a node that is behind pulls the missing documents
// from the sender. Notices are also sent periodically, so that a node that can't read the store, or that missed a
// notice, catches up from any other node.
//
// A notice only says that a pull is worthwhile. When a position was confirmed is learned from the answer to a pull and
// counted from the time of the pull, because a notice may have waited on its way for any time.
//
// One pull at a time is under way. Its answer holds patches of large documents and comes in chunks of bounded size, so
// that documents that are large or change often do not congest the links.
package gossiper

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/records/chunker"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

const (
	// noticePeriod is the time between two periodic notices, which are sent whether or not anything has changed.
	noticePeriod = 500 * time.Millisecond
	// periodicNoticePeers is how many nodes get a periodic notice.
	periodicNoticePeers = 2
	// minForwardAdvance is how much newer than this node's a confirmation must be for this node to forward it.
	minForwardAdvance = 300 * time.Millisecond
	// noticeTimeout bounds the sending of one notice.
	noticeTimeout = 800 * time.Millisecond
	// The time limit of the pull of one chunk from a node is chunkTimeoutFactor times what the last chunk took, between
	// minChunkTimeout and maxChunkTimeout. It doubles with each pull that runs into it: more pulls would not help nodes
	// whose links are congested.
	minChunkTimeout    = 100 * time.Millisecond
	maxChunkTimeout    = 1200 * time.Millisecond
	chunkTimeoutFactor = 4
	// maxChunkTimeouts bounds the number of time limits that are kept.
	maxChunkTimeouts = 64
)

type (
	// Messenger carries frames to other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
		Send(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) error
	}

	// Replica holds this node's documents.
	Replica interface {
		ApplyList(kind string, documents []replicator.Document, at replicator.Point, confirmedAt time.Time)
		ApplyChanges(kind string, after replicator.Point, documents []replicator.Document, at replicator.Point,
			confirmedAt time.Time) bool
		Position(kind string) replicator.Position
		ChangesSince(kind string, after replicator.Point) ([]replicator.Document, replicator.Position, bool)
	}

	// Patcher makes and applies patches of the documents that this node holds.
	Patcher interface {
		Held() []*pb.HeldDocument
		Patch(d replicator.Document, base replicator.Point) *pb.DocumentPatch
		Apply(kind, name string, patch *pb.DocumentPatch) ([]byte, error)
	}

	// Monitor keeps what is known of the nodes that ask the store and of its answers.
	Monitor interface {
		MergeFailure(kind string, at time.Time)
		FailedAt(kind string) time.Time
		MergeAsked(kind string, at time.Time)
		AskedAt(kind string) time.Time
		OthersAskedAt(kind string) time.Time
		// IsReading reports whether this node asks the store for a kind.
		IsReading(kind string) bool
	}

	// Config holds what a Gossiper needs.
	Config struct {
		// Kinds are the kinds of documents that all nodes hold.
		Kinds       []string
		PeerAddress string
		Messenger   Messenger
		Replica     Replica
		Patcher     Patcher
		Monitor     Monitor
		// Overdue reports whether this node's documents of a kind should have been confirmed before now. Only then it learns
		// from others whether the store is being asked.
		Overdue func(kind string) bool
		// Peers returns the peer addresses of the nodes to notify, in a new random order on each call.
		Peers func() []string
		// ForwardChanges reports whether Peers omits some nodes, so that changes from other nodes have to be forwarded.
		ForwardChanges func() bool
		Clock          quartz.Clock
		// OnDocuments is called for each pull that brought documents.
		OnDocuments func(Transfer)
		// Isolate calls a function that handles answers of other nodes, and returns an error if that panics; nil means that
		// panics are not handled.
		Isolate func(f func()) error
		Logger  *slog.Logger
	}

	// Transfer describes the documents that one pull has brought.
	Transfer struct {
		From      string
		Documents int
		// Bytes is the size of the frames that carried the answer.
		Bytes int
		// Took is the time from the pull to the end of the answer.
		Took time.Duration
		// Superseded is set if this node had learned the documents from elsewhere in the meantime.
		Superseded bool
	}

	// Gossiper exchanges documents with other nodes. It is safe for concurrent use.
	Gossiper struct {
		config Config
		// announcements holds an item while a notice to all peers is due.
		announcements chan struct{}
		chunker       *chunker.Chunker
		mutex         sync.Mutex
		// pendingNotices has, by peer address, the last notice of each node that may have newer documents.
		pendingNotices map[string]notice
		// pulling is set while a goroutine works through pendingNotices.
		pulling bool
		// pullsUnderWay has the peer addresses of the nodes from which a pull is under way.
		pullsUnderWay map[string]bool
		// announced has, by kind, the points after this node's that notices have announced.
		announced map[string]announcedRevisions
		// partial is the answer of which a pull was interrupted; nil without one.
		partial *partialAnswer
		// chunkTimeouts has, by peer address, the time limits of pulls that are above minChunkTimeout.
		chunkTimeouts map[string]time.Duration
		// answeredAt is when a node last answered a pull; zero before the first answer.
		answeredAt time.Time
	}

	// notice is a received notice.
	notice struct {
		*pb.DocumentNotice
		receivedAt time.Time
	}
)

// New returns a Gossiper.
func New(c Config) *Gossiper {
	return &Gossiper{
		config: c, announcements: make(chan struct{}, 1), chunker: chunker.New(), pendingNotices: map[string]notice{},
		pullsUnderWay: map[string]bool{}, announced: map[string]announcedRevisions{},
		chunkTimeouts: map[string]time.Duration{},
	}
}

// Announce makes Run send a notice to all peers. Calls made before that notice is sent have no further effect.
func (g *Gossiper) Announce() {
	select {
	case g.announcements <- struct{}{}:
	default:
	}
}

// Run sends notices until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	ticker := g.config.Clock.NewTicker(noticePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.announcements:
			g.sendNotices(ctx, g.config.Peers())
		case <-ticker.C:
			peers := g.config.Peers()
			if !g.asksInVain() {
				peers = peers[:min(periodicNoticePeers, len(peers))]
			}
			g.sendNotices(ctx, peers)
		}
	}
}

// asksInVain reports whether this node asks the store for a kind that is overdue all the same, so that the others are
// about to ask as well.
func (g *Gossiper) asksInVain() bool {
	return slices.ContainsFunc(g.config.Kinds, func(kind string) bool {
		return g.config.Overdue(kind) && g.config.Monitor.IsReading(kind)
	})
}

// HandleNotice pulls from the sender of a notice if that has newer documents or a newer confirmation of this node's.
func (g *Gossiper) HandleNotice(ctx context.Context, m *pb.DocumentNotice) {
	n := notice{m, g.config.Clock.Now()}
	g.recordAnnounced(n)
	if g.isWorthPulling(n) {
		g.pullPending(ctx, n)
	}
}

// isWorthPulling reports whether the sender of a notice has a newer revision of any kind, or a confirmation of this
// node's revision that seems newer by more than minForwardAdvance, or knows that the store is asked for documents whose
// confirmation is overdue here.
func (g *Gossiper) isWorthPulling(n notice) bool {
	for _, p := range n.GetPositions() {
		known := g.config.Replica.Position(p.GetKind())
		confirmedAt := n.receivedAt.Add(-p.GetConfirmedAgo().AsDuration())
		if known.Point().Before(pointOf(p)) ||
			(known.Point() == pointOf(p) && confirmedAt.Sub(known.ConfirmedAt) > minForwardAdvance) ||
			g.isNewlyAsked(p, n.receivedAt) {
			return true
		}
	}
	return false
}

// isNewlyAsked reports whether a position tells that the store was being asked for a kind that is overdue here, later
// than known by more than minForwardAdvance.
func (g *Gossiper) isNewlyAsked(p *pb.DocumentPosition, asOf time.Time) bool {
	if p.GetAskedAgo() == nil || !g.config.Overdue(p.GetKind()) {
		return false
	}
	askedAt := asOf.Add(-p.GetAskedAgo().AsDuration())
	return askedAt.Sub(g.config.Monitor.OthersAskedAt(p.GetKind())) > minForwardAdvance
}

// addPendingNotice stores a notice. It returns true if no goroutine works through the pending notices yet, so that the
// calling goroutine has to.
func (g *Gossiper) addPendingNotice(n notice) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pendingNotices[n.GetPeerAddress()] = n
	if g.pulling {
		return false
	}
	g.pulling = true
	return true
}

// takePendingNotice removes and returns one of the pending notices. It returns false if none is left.
func (g *Gossiper) takePendingNotice() (notice, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for address, n := range g.pendingNotices {
		delete(g.pendingNotices, address)
		return n, true
	}
	g.pulling = false
	return notice{}, false
}

func (g *Gossiper) sendNotices(ctx context.Context, peers []string) {
	notice := &pb.DocumentNotice{Positions: g.positions(), PeerAddress: g.config.PeerAddress}
	for _, address := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			// A lost notice needs no retry: the next one replaces it.
			if err := g.config.Messenger.Send(ctx, address, messenger.PlaneControl,
				&pb.Frame{Body: &pb.Frame_DocumentNotice{DocumentNotice: notice}}); err != nil {
				g.config.Logger.Debug("notice not sent", "peer_address", address, "error", err)
			}
		}()
	}
}

func (g *Gossiper) positions() []*pb.DocumentPosition {
	positions := make([]*pb.DocumentPosition, 0, len(g.config.Kinds))
	for _, k := range g.config.Kinds {
		positions = append(positions, g.encodePosition(k, g.config.Replica.Position(k)))
	}
	return positions
}

func (g *Gossiper) encodePosition(kind string, p replicator.Position) *pb.DocumentPosition {
	encoded := &pb.DocumentPosition{
		Kind: kind, Era: p.Era, Revision: p.Revision,
		ConfirmedAgo: durationpb.New(g.config.Clock.Since(p.ConfirmedAt)),
	}
	encoded.FailedAgo = g.encodeAge(g.config.Monitor.FailedAt(kind))
	encoded.AskedAgo = g.encodeAge(g.config.Monitor.AskedAt(kind))
	return encoded
}

// encodeAge returns the time since a time, or nil for the zero time.
func (g *Gossiper) encodeAge(at time.Time) *durationpb.Duration {
	if at.IsZero() {
		return nil
	}
	return durationpb.New(g.config.Clock.Since(at))
}
