package gossiper

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// HandlePull answers another node's pull with the documents that it lacks, or a chunk of them.
func (g *Gossiper) HandlePull(m *pb.DocumentPull) *pb.Documents {
	if m.GetTransfer() != 0 {
		if chunk := g.chunker.Continue(m.GetTransfer(), m.GetOffset()); chunk != nil {
			chunk.Positions = g.positions()
			return chunk
		}
	}
	answer := g.collectDocuments(m)
	if !m.GetChunks() {
		answer.Positions = g.positionsOf(answer.GetPositions())
		return answer
	}
	reply, err := g.chunker.Cut(answer, m.GetTransfer(), m.GetOffset())
	if err != nil {
		g.config.Logger.Error("answer to a pull not encoded", "error", err)
		return &pb.Documents{}
	}
	if reply == answer {
		reply.Positions = g.positionsOf(answer.GetPositions())
	} else {
		reply.Positions = g.positions()
	}
	return reply
}

// collectDocuments returns the documents that the sender of a pull lacks, with the revisions up to which they are
// complete. It depends only on the pull and on this node's documents, so that nodes that are equally far answer alike.
func (g *Gossiper) collectDocuments(m *pb.DocumentPull) *pb.Documents {
	held := map[[2]string]replicator.Point{}
	for _, h := range m.GetHeld() {
		held[[2]string{h.GetKind(), h.GetName()}] = replicator.Point{Era: h.GetEra(), Revision: h.GetRevision()}
	}
	answer := &pb.Documents{}
	for _, p := range m.GetPositions() {
		documents, position, whole := g.config.Replica.ChangesSince(p.GetKind(), pointOf(p))
		if position.Point().Before(pointOf(p)) || position.Revision == 0 {
			continue
		}
		answer.Positions = append(answer.Positions, &pb.DocumentPosition{
			Kind: p.GetKind(), Era: position.Era, Revision: position.Revision,
		})
		if position.Point() == pointOf(p) {
			continue
		}
		if whole {
			answer.WholeKinds = append(answer.WholeKinds, p.GetKind())
		}
		for _, d := range documents {
			answer.Documents = append(answer.Documents, g.encodeDocument(d, held[[2]string{d.Kind, d.Name}]))
		}
	}
	return answer
}

// encodeDocument encodes a document as a patch if the receiver holds a known revision of it, or else whole.
func (g *Gossiper) encodeDocument(d replicator.Document, held replicator.Point) *pb.Document {
	encoded := &pb.Document{Kind: d.Kind, Name: d.Name, Era: d.Era, Revision: d.Revision, Deleted: d.Deleted}
	if held.Revision > 0 {
		encoded.Patch = g.config.Patcher.Patch(d, held)
	}
	if encoded.GetPatch() == nil {
		encoded.Data = d.Data
	}
	return encoded
}

// positionsOf returns this node's positions for the kinds of which it is still at the stated point, as of now.
func (g *Gossiper) positionsOf(stated []*pb.DocumentPosition) []*pb.DocumentPosition {
	positions := make([]*pb.DocumentPosition, 0, len(stated))
	for _, s := range stated {
		p := g.encodePosition(s.GetKind(), g.config.Replica.Position(s.GetKind()))
		if pointOf(p) != pointOf(s) {
			p = s
		}
		positions = append(positions, p)
	}
	return positions
}
