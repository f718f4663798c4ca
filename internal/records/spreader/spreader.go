// Package spreader keeps the documents of all nodes alike. What this node learns from the store flows out to
// the others as a short notice; a node that knows less asks the sender for what it lacks. Notices also go
// out now and then, so that a node that the store turns away, or that missed a notice, is brought up to date
// by any other.
package spreader

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
	// noticePeriod is the time between two notices without news.
	noticePeriod = 500 * time.Millisecond
	// noticePeers is how many nodes get a notice without news.
	noticePeers = 2
	// forwardAge is how much newer a confirmation must be to be passed on.
	forwardAge = 300 * time.Millisecond
	// callTimeout bounds one pull.
	callTimeout = 800 * time.Millisecond
	// pullPatience is how long a pull may last until another node is asked as well: an answer takes two ways between
	// zones, some milliseconds.
	pullPatience = 100 * time.Millisecond
)

type (
	// Messenger carries frames to other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
		Send(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) error
	}

	// Replica holds the documents.
	Replica interface {
		ApplyList(kind string, documents []replicator.Document, revision int64, confirmedAt time.Time)
		ApplyChanges(kind string, after int64, documents []replicator.Document, revision int64, confirmedAt time.Time) bool
		Position(kind string) replicator.Position
		Confirm(kind string, revision int64, at time.Time)
		Since(kind string, after int64) ([]replicator.Document, replicator.Position, bool)
	}

	// Config holds what a Spreader needs.
	Config struct {
		// Kinds are the kinds of documents that all nodes hold.
		Kinds       []string
		PeerAddress string
		Messenger   Messenger
		Replica     Replica
		// Peers returns the peer addresses of the nodes to tell, in a new order each time.
		Peers func() []string
		// Forward tells whether these nodes are not all, so that news from other nodes has to be passed on.
		Forward func() bool
		Clock   quartz.Clock
		// Learned is told when documents came from another node.
		Learned func(from string, documents int)
		Logger  *slog.Logger
	}

	// Spreader exchanges documents with other nodes. It is safe for concurrent use.
	Spreader struct {
		config Config
		news   chan struct{}
		mutex  sync.Mutex
		// offers has the last notice of each peer address that may know more.
		offers map[string]*pb.DocumentNotice
		// following is set while a goroutine goes through the offers.
		following bool
	}
)

// New returns a Spreader.
func New(c Config) *Spreader {
	return &Spreader{config: c, news: make(chan struct{}, 1), offers: map[string]*pb.DocumentNotice{}}
}

// Announce says that this node has news from the store.
func (s *Spreader) Announce() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Run sends notices until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	ticker := s.config.Clock.NewTicker(noticePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.news:
			s.notify(ctx, s.config.Peers())
		case <-ticker.C:
			peers := s.config.Peers()
			s.notify(ctx, peers[:min(noticePeers, len(peers))])
		}
	}
}

// HandleNotice takes what another node knows and asks it for what this node lacks.
func (s *Spreader) HandleNotice(ctx context.Context, n *pb.DocumentNotice) {
	confirmed := false
	for _, p := range n.GetPositions() {
		known := s.config.Replica.Position(p.GetKind())
		if p.GetRevision() > known.Revision {
			continue
		}
		at := s.confirmedAt(p, known.Revision)
		confirmed = confirmed || at.Sub(known.ConfirmedAt) > forwardAge
		s.config.Replica.Confirm(p.GetKind(), known.Revision, at)
	}
	if confirmed && s.config.Forward() {
		s.Announce()
	}
	if s.behind(n) {
		s.follow(ctx, n)
	}
}

// follow asks the sender of a notice for what this node lacks. Several nodes send the same notice at nearly the same
// time: they are asked one after the other, the next one when the last takes long, until nothing is lacking.
func (s *Spreader) follow(ctx context.Context, n *pb.DocumentNotice) {
	if !s.offer(n) {
		return
	}
	for {
		offered := s.nextOffer()
		if offered == nil {
			return
		}
		if !s.behind(offered) {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			address := offered.GetPeerAddress()
			if err := s.Pull(context.WithoutCancel(ctx), address); err != nil {
				s.config.Logger.Info("documents not pulled", "peer_address", address, "error", err)
			}
		}()
		timer := s.config.Clock.NewTimer(pullPatience)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// offer keeps the notice of a node that knows more and returns true when nobody follows such notices now.
func (s *Spreader) offer(n *pb.DocumentNotice) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.offers[n.GetPeerAddress()] = n
	if s.following {
		return false
	}
	s.following = true
	return true
}

// nextOffer returns one of the notices kept, or nil when none is left.
func (s *Spreader) nextOffer() *pb.DocumentNotice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, n := range s.offers {
		delete(s.offers, address)
		return n
	}
	s.following = false
	return nil
}

// behind tells whether this node knows less of a kind than the sender of a notice.
func (s *Spreader) behind(n *pb.DocumentNotice) bool {
	for _, p := range n.GetPositions() {
		if p.GetRevision() > s.config.Replica.Position(p.GetKind()).Revision {
			return true
		}
	}
	return false
}

// Pull asks one node for what this node lacks.
func (s *Spreader) Pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pull := &pb.DocumentPull{Positions: s.positions()}
	reply, err := s.config.Messenger.Call(ctx, address, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_DocumentPull{DocumentPull: pull}})
	if err != nil {
		return err
	}
	s.take(pull, reply.GetFrom(), reply.GetDocuments())
	return nil
}

// HandlePull answers another node with what it lacks.
func (s *Spreader) HandlePull(m *pb.DocumentPull) *pb.Documents {
	reply := &pb.Documents{}
	for _, p := range m.GetPositions() {
		documents, position, whole := s.config.Replica.Since(p.GetKind(), p.GetRevision())
		if position.Revision <= p.GetRevision() {
			continue
		}
		if whole {
			reply.WholeKinds = append(reply.WholeKinds, p.GetKind())
		}
		reply.Positions = append(reply.Positions, s.encodePosition(p.GetKind(), position))
		for _, d := range documents {
			reply.Documents = append(reply.Documents, &pb.Document{
				Kind: d.Kind, Name: d.Name, Revision: d.Revision, Deleted: d.Deleted, Data: d.Data,
			})
		}
	}
	return reply
}

func (s *Spreader) take(pull *pb.DocumentPull, from string, m *pb.Documents) {
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
		confirmedAt := s.config.Clock.Now().Add(-p.GetConfirmedAgo().AsDuration())
		if whole[kind] {
			s.config.Replica.ApplyList(kind, byKind[kind], p.GetRevision(), confirmedAt)
		} else {
			s.config.Replica.ApplyChanges(kind, after[kind], byKind[kind], p.GetRevision(), confirmedAt)
		}
	}
	if len(m.GetPositions()) > 0 && s.config.Forward() {
		s.Announce()
	}
	if len(m.GetDocuments()) > 0 {
		s.config.Learned(from, len(m.GetDocuments()))
	}
}

func (s *Spreader) notify(ctx context.Context, peers []string) {
	frame := &pb.DocumentNotice{Positions: s.positions(), PeerAddress: s.config.PeerAddress}
	for _, address := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A notice that is lost is made good by the next one.
			if err := s.config.Messenger.Send(ctx, address, messenger.PlaneControl,
				&pb.Frame{Body: &pb.Frame_DocumentNotice{DocumentNotice: frame}}); err != nil {
				s.config.Logger.Debug("notice not sent", "peer_address", address, "error", err)
			}
		}()
	}
}

func (s *Spreader) positions() []*pb.DocumentPosition {
	positions := make([]*pb.DocumentPosition, 0, len(s.config.Kinds))
	for _, k := range s.config.Kinds {
		positions = append(positions, s.encodePosition(k, s.config.Replica.Position(k)))
	}
	return positions
}

func (s *Spreader) encodePosition(kind string, p replicator.Position) *pb.DocumentPosition {
	return &pb.DocumentPosition{
		Kind: kind, Revision: p.Revision, ConfirmedAgo: durationpb.New(s.config.Clock.Since(p.ConfirmedAt)),
	}
}

// confirmedAt returns when the sender's position was confirmed, or zero when it is not this node's.
func (s *Spreader) confirmedAt(p *pb.DocumentPosition, revision int64) time.Time {
	if p.GetRevision() != revision {
		return time.Time{}
	}
	return s.config.Clock.Now().Add(-p.GetConfirmedAgo().AsDuration())
}
