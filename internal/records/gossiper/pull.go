package gossiper

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/records/joiner"
	"github.com/magnoliastep/magnoliastep/internal/records/patcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// partialAnswer holds the chunks received so far of an answer to a pull.
type partialAnswer struct {
	joiner joiner.Joiner
	// pull is the pull without the state of the transfer.
	pull *pb.DocumentPull
}

// pullPending pulls from the sender of a notice. Several nodes send the same notice at nearly the same time. They are
// asked one after the other, until this node has what each of them announced.
func (g *Gossiper) pullPending(ctx context.Context, n notice) {
	if !g.addPendingNotice(n) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for pending, ok := g.takePendingNotice(); ok; pending, ok = g.takePendingNotice() {
		if !g.isWorthPulling(pending) {
			continue
		}
		if err := g.Pull(ctx, pending.GetPeerAddress()); err != nil {
			g.config.Logger.Info("documents not pulled", "peer_address", pending.GetPeerAddress(), "error", err.Error())
		}
	}
}

// Pull asks one node for the documents that this node lacks, one chunk after the other, and applies them. It does
// nothing if a pull from that node is under way.
func (g *Gossiper) Pull(ctx context.Context, address string) error {
	if !g.startPull(address) {
		return nil
	}
	defer g.endPull(address)
	if g.config.Isolate == nil {
		return g.pull(ctx, address)
	}
	var failure error
	if err := g.config.Isolate(func() { failure = g.pull(ctx, address) }); err != nil {
		return err
	}
	return failure
}

func (g *Gossiper) pull(ctx context.Context, address string) error {
	partial := g.takePartial(g.config.Patcher.Held())
	transfer := Transfer{}
	startedAt := g.config.Clock.Now()
	for {
		requestedAt := g.config.Clock.Now()
		reply, err := g.pullChunk(ctx, address, partial)
		if err != nil {
			g.keepPartial(partial)
			return err
		}
		answer, complete, err := partial.joiner.Add(reply.GetDocuments())
		if err != nil {
			return err
		}
		transfer.Bytes += proto.Size(reply)
		if !complete {
			continue
		}
		documents, err := g.decodeDocuments(answer)
		if err != nil && len(partial.pull.GetHeld()) > 0 && !errors.Is(err, patcher.ErrBaseMissing) {
			g.config.Logger.Warn("patch does not fit; whole documents are pulled", "peer_address", address, "error", err)
			partial = g.takePartial(nil)
			continue
		}
		if err != nil {
			return err
		}
		transfer.From, transfer.Documents = reply.GetFrom(), len(documents)
		transfer.Took = g.config.Clock.Since(startedAt)
		g.observe(transfer, answer)
		g.applyDocuments(partial.pull, answer, documents, reply.GetDocuments().GetPositions(), requestedAt)
		return nil
	}
}

// pullChunk pulls the next chunk of an answer.
func (g *Gossiper) pullChunk(ctx context.Context, address string, p *partialAnswer) (*pb.Frame, error) {
	timeout := g.chunkTimeout(address)
	callContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pull := &pb.DocumentPull{Positions: p.pull.GetPositions(), Held: p.pull.GetHeld(), Chunks: true}
	pull.Transfer, pull.Offset = p.joiner.Next()
	requestedAt := g.config.Clock.Now()
	reply, err := g.config.Messenger.Call(callContext, address, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_DocumentPull{DocumentPull: pull}})
	switch {
	case err == nil:
		g.recordAnswer()
		g.setChunkTimeout(address, chunkTimeoutFactor*g.config.Clock.Since(requestedAt))
	case callContext.Err() != nil:
		g.setChunkTimeout(address, 2*timeout)
	}
	return reply, err
}

// takePartial returns the interrupted answer if this node's documents are still those of its pull, or else a new one.
// held are the documents of which patches are to be sent.
func (g *Gossiper) takePartial(held []*pb.HeldDocument) *partialAnswer {
	pull := &pb.DocumentPull{Positions: g.positions(), Held: held}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.partial
	g.partial = nil
	if p == nil || !maps.Equal(points(p.pull.GetPositions()), points(pull.GetPositions())) {
		return &partialAnswer{pull: pull}
	}
	return p
}

func (g *Gossiper) keepPartial(p *partialAnswer) {
	if _, offset := p.joiner.Next(); offset == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.partial = p
}

// decodeDocuments returns the documents of an answer, by kind.
func (g *Gossiper) decodeDocuments(m *pb.Documents) ([]replicator.Document, error) {
	documents := make([]replicator.Document, 0, len(m.GetDocuments()))
	for _, d := range m.GetDocuments() {
		data := d.GetData()
		if d.GetPatch() != nil {
			patched, err := g.config.Patcher.Apply(d.GetKind(), d.GetName(), d.GetPatch())
			if err != nil {
				return nil, err
			}
			data = patched
		}
		documents = append(documents, replicator.Document{
			Kind: d.GetKind(), Name: d.GetName(), Era: d.GetEra(), Revision: d.GetRevision(),
			Deleted: d.GetDeleted(), Data: data,
		})
	}
	return documents, nil
}

// applyDocuments applies an answer. Its positions were confirmed at the stated time before requestedAt or later.
func (g *Gossiper) applyDocuments(pull *pb.DocumentPull, m *pb.Documents, documents []replicator.Document,
	positions []*pb.DocumentPosition, requestedAt time.Time,
) {
	byKind := map[string][]replicator.Document{}
	for _, d := range documents {
		byKind[d.Kind] = append(byKind[d.Kind], d)
	}
	advanced := g.mergeMonitored(positions, requestedAt)
	after := points(pull.GetPositions())
	for _, p := range m.GetPositions() {
		kind, at := p.GetKind(), pointOf(p)
		confirmedAt := confirmationTime(positions, p, requestedAt)
		known := g.config.Replica.Position(kind)
		advanced = advanced || known.Point().Before(at) || confirmedAt.Sub(known.ConfirmedAt) > minForwardAdvance
		if slices.Contains(m.GetWholeKinds(), kind) {
			g.config.Replica.ApplyList(kind, byKind[kind], at, confirmedAt)
		} else {
			g.config.Replica.ApplyChanges(kind, after[kind], byKind[kind], at, confirmedAt)
		}
	}
	if advanced && g.config.ForwardChanges() {
		g.Announce()
	}
}

// mergeMonitored records when, by an answer, calls to the store failed and nodes were asking it. The times are counted
// from the time of the pull, so that a delay makes them older. It reports whether other nodes should learn of it.
func (g *Gossiper) mergeMonitored(positions []*pb.DocumentPosition, requestedAt time.Time) (advanced bool) {
	for _, p := range positions {
		if p.GetFailedAgo() != nil {
			g.config.Monitor.MergeFailure(p.GetKind(), requestedAt.Add(-p.GetFailedAgo().AsDuration()))
		}
		if p.GetAskedAgo() != nil {
			advanced = advanced || g.isNewlyAsked(p, requestedAt)
			g.config.Monitor.MergeAsked(p.GetKind(), requestedAt.Add(-p.GetAskedAgo().AsDuration()))
		}
	}
	return advanced
}

// observe reports a pull that brought documents.
func (g *Gossiper) observe(t Transfer, m *pb.Documents) {
	if t.Documents == 0 {
		return
	}
	t.Superseded = !g.isBehind(m.GetPositions())
	g.config.OnDocuments(t)
}

// isBehind reports whether this node's position of any kind is before one of the positions.
func (g *Gossiper) isBehind(positions []*pb.DocumentPosition) bool {
	return slices.ContainsFunc(positions, func(p *pb.DocumentPosition) bool {
		return g.config.Replica.Position(p.GetKind()).Point().Before(pointOf(p))
	})
}

// confirmationTime returns when a position of an answer was confirmed at the earliest, or zero if the sender's position
// has changed since.
func confirmationTime(positions []*pb.DocumentPosition, of *pb.DocumentPosition, requestedAt time.Time) time.Time {
	for _, p := range positions {
		if p.GetKind() == of.GetKind() && pointOf(p) == pointOf(of) && p.GetConfirmedAgo() != nil {
			return requestedAt.Add(-p.GetConfirmedAgo().AsDuration())
		}
	}
	return time.Time{}
}

func points(positions []*pb.DocumentPosition) map[string]replicator.Point {
	byKind := make(map[string]replicator.Point, len(positions))
	for _, p := range positions {
		byKind[p.GetKind()] = pointOf(p)
	}
	return byKind
}

// AnsweredAt returns when a node last answered a pull, or sent a chunk of its answer; zero before the first one.
func (g *Gossiper) AnsweredAt() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.answeredAt
}

func (g *Gossiper) recordAnswer() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.answeredAt = g.config.Clock.Now()
}

func (g *Gossiper) startPull(address string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.pullsUnderWay[address] {
		return false
	}
	g.pullsUnderWay[address] = true
	return true
}

func (g *Gossiper) endPull(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.pullsUnderWay, address)
}

func (g *Gossiper) chunkTimeout(address string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return max(g.chunkTimeouts[address], minChunkTimeout)
}

func (g *Gossiper) setChunkTimeout(address string, timeout time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if timeout <= minChunkTimeout {
		delete(g.chunkTimeouts, address)
		return
	}
	if len(g.chunkTimeouts) >= maxChunkTimeouts {
		clear(g.chunkTimeouts)
	}
	g.chunkTimeouts[address] = min(timeout, maxChunkTimeout)
}
