// Package gossiper replicates the documents of the store between the nodes by gossip. A node that has read changes from
// the store sends a short notice of its positions to other nodes; a node that is behind pulls the missing documents
// from the sender. Notices are also sent periodically, so that a node that can't read the store, or that missed a
// notice, catches up from any other node.
package gossiper

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

const (
	// noticePeriod is the time between two periodic notices, which are sent whether or not anything has changed.
	noticePeriod = 500 * time.Millisecond
	// periodicNoticePeers is how many nodes get a periodic notice.
	periodicNoticePeers = 2
	// minForwardAdvance is how much newer than this node's a confirmation must be for this node to forward it.
	minForwardAdvance = 300 * time.Millisecond
	// callTimeout bounds one pull and the sending of one notice.
	callTimeout = 800 * time.Millisecond
	// nextPullDelay is how long a pull may take before another node is asked as well. A round trip between zones takes
	// only a few milliseconds.
	nextPullDelay = 100 * time.Millisecond
)

type (
	// Messenger carries frames to other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
		Send(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) error
	}

	// Replica holds this node's documents.
	Replica interface {
		ApplyList(kind string, documents []replicator.Document, revision int64, confirmedAt time.Time)
		ApplyChanges(kind string, after int64, documents []replicator.Document, revision int64, confirmedAt time.Time) bool
		Position(kind string) replicator.Position
		Confirm(kind string, revision int64, at time.Time)
		ChangesSince(kind string, after int64) ([]replicator.Document, replicator.Position, bool)
	}

	// Config holds what a Gossiper needs.
	Config struct {
		// Kinds are the kinds of documents that all nodes hold.
		Kinds       []string
		PeerAddress string
		Messenger   Messenger
		Replica     Replica
		// Peers returns the peer addresses of the nodes to notify, in a new random order on each call.
		Peers func() []string
		// ForwardChanges reports whether Peers omits some nodes, so that changes from other nodes have to be forwarded.
		ForwardChanges func() bool
		Clock          quartz.Clock
		// OnDocuments is called for each pull that brought documents.
		OnDocuments func(Transfer)
		Logger      *slog.Logger
	}

	// Transfer describes the documents that one pull has brought.
	Transfer struct {
		From      string
		Documents int
		Bytes     int
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
		mutex         sync.Mutex
		// pendingNotices has, by peer address, the last notice of each node that may have newer documents.
		pendingNotices map[string]*pb.DocumentNotice
		// pulling is set while a goroutine works through pendingNotices.
		pulling bool
	}
)

// New returns a Gossiper.
func New(c Config) *Gossiper {
	return &Gossiper{config: c, announcements: make(chan struct{}, 1), pendingNotices: map[string]*pb.DocumentNotice{}}
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
			g.sendNotices(ctx, peers[:min(periodicNoticePeers, len(peers))])
		}
	}
}

// HandleNotice takes over the confirmations in another node's notice, and pulls from that node if this one is behind.
func (g *Gossiper) HandleNotice(ctx context.Context, n *pb.DocumentNotice) {
	confirmed := false
	for _, p := range n.GetPositions() {
		known := g.config.Replica.Position(p.GetKind())
		if p.GetRevision() > known.Revision {
			continue
		}
		at := g.confirmationTime(p, known.Revision)
		confirmed = confirmed || at.Sub(known.ConfirmedAt) > minForwardAdvance
		g.config.Replica.Confirm(p.GetKind(), known.Revision, at)
	}
	if confirmed && g.config.ForwardChanges() {
		g.Announce()
	}
	if g.isBehind(n) {
		g.pullPending(ctx, n)
	}
}

// pullPending pulls the documents that this node lacks from the sender of a notice. Several nodes send the same notice
// at nearly the same time. They are asked one after the other, the next one as soon as the last has answered or has
// taken nextPullDelay, until this node is no longer behind any of them.
func (g *Gossiper) pullPending(ctx context.Context, n *pb.DocumentNotice) {
	if !g.addPendingNotice(n) {
		return
	}
	for {
		pending := g.takePendingNotice()
		if pending == nil {
			return
		}
		if !g.isBehind(pending) {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			address := pending.GetPeerAddress()
			if err := g.Pull(context.WithoutCancel(ctx), address); err != nil {
				g.config.Logger.Info("documents not pulled", "peer_address", address, "error", err)
			}
		}()
		timer := g.config.Clock.NewTimer(nextPullDelay)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// addPendingNotice stores the notice of a node that is ahead of this one. It returns true if no goroutine works through
// the pending notices yet, so that the calling goroutine has to.
func (g *Gossiper) addPendingNotice(n *pb.DocumentNotice) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pendingNotices[n.GetPeerAddress()] = n
	if g.pulling {
		return false
	}
	g.pulling = true
	return true
}

// takePendingNotice removes and returns one of the pending notices, or returns nil if none is left.
func (g *Gossiper) takePendingNotice() *pb.DocumentNotice {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for address, n := range g.pendingNotices {
		delete(g.pendingNotices, address)
		return n
	}
	g.pulling = false
	return nil
}

// isBehind reports whether this node's position for any kind is below that of the sender of a notice.
func (g *Gossiper) isBehind(n *pb.DocumentNotice) bool {
	for _, p := range n.GetPositions() {
		if p.GetRevision() > g.config.Replica.Position(p.GetKind()).Revision {
			return true
		}
	}
	return false
}

// Pull asks one node for the documents that this node lacks and applies them.
func (g *Gossiper) Pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pull, requestedAt := &pb.DocumentPull{Positions: g.positions()}, g.config.Clock.Now()
	reply, err := g.config.Messenger.Call(ctx, address, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_DocumentPull{DocumentPull: pull}})
	if err != nil {
		return err
	}
	if transfer := describeTransfer(reply); transfer.Documents > 0 {
		transfer.Took = g.config.Clock.Since(requestedAt)
		transfer.Superseded = !g.isBehind(&pb.DocumentNotice{Positions: reply.GetDocuments().GetPositions()})
		g.config.OnDocuments(transfer)
	}
	g.applyDocuments(pull, reply.GetDocuments())
	return nil
}

// HandlePull answers another node's pull with the documents that it lacks.
func (g *Gossiper) HandlePull(m *pb.DocumentPull) *pb.Documents {
	reply := &pb.Documents{}
	for _, p := range m.GetPositions() {
		documents, position, whole := g.config.Replica.ChangesSince(p.GetKind(), p.GetRevision())
		if position.Revision <= p.GetRevision() {
			continue
		}
		if whole {
			reply.WholeKinds = append(reply.WholeKinds, p.GetKind())
		}
		reply.Positions = append(reply.Positions, g.encodePosition(p.GetKind(), position))
		for _, d := range documents {
			reply.Documents = append(reply.Documents, &pb.Document{
				Kind: d.Kind, Name: d.Name, Revision: d.Revision, Deleted: d.Deleted, Data: d.Data,
			})
		}
	}
	return reply
}

func describeTransfer(reply *pb.Frame) Transfer {
	t := Transfer{From: reply.GetFrom(), Documents: len(reply.GetDocuments().GetDocuments())}
	for _, d := range reply.GetDocuments().GetDocuments() {
		t.Bytes += len(d.GetData())
	}
	return t
}

func (g *Gossiper) applyDocuments(pull *pb.DocumentPull, m *pb.Documents) {
	byKind := map[string][]replicator.Document{}
	for _, d := range m.GetDocuments() {
		byKind[d.GetKind()] = append(byKind[d.GetKind()], replicator.Document{
			Kind: d.GetKind(), Name: d.GetName(), Revision: d.GetRevision(), Deleted: d.GetDeleted(), Data: d.GetData(),
		})
	}
	whole := map[string]bool{}
	for _, k := range m.GetWholeKinds() {
		whole[k] = true
	}
	after := map[string]int64{}
	for _, p := range pull.GetPositions() {
		after[p.GetKind()] = p.GetRevision()
	}
	for _, p := range m.GetPositions() {
		kind := p.GetKind()
		confirmedAt := g.config.Clock.Now().Add(-p.GetConfirmedAgo().AsDuration())
		if whole[kind] {
			g.config.Replica.ApplyList(kind, byKind[kind], p.GetRevision(), confirmedAt)
		} else {
			g.config.Replica.ApplyChanges(kind, after[kind], byKind[kind], p.GetRevision(), confirmedAt)
		}
	}
	if len(m.GetPositions()) > 0 && g.config.ForwardChanges() {
		g.Announce()
	}
}

func (g *Gossiper) sendNotices(ctx context.Context, peers []string) {
	notice := &pb.DocumentNotice{Positions: g.positions(), PeerAddress: g.config.PeerAddress}
	for _, address := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	return &pb.DocumentPosition{
		Kind: kind, Revision: p.Revision, ConfirmedAgo: durationpb.New(g.config.Clock.Since(p.ConfirmedAt)),
	}
}

// confirmationTime returns when the sender's position was confirmed, or zero if its revision is not the given one.
func (g *Gossiper) confirmationTime(p *pb.DocumentPosition, revision int64) time.Time {
	if p.GetRevision() != revision {
		return time.Time{}
	}
	return g.config.Clock.Now().Add(-p.GetConfirmedAgo().AsDuration())
}
