// Package patcher computes and applies the differences between revisions of large documents, so that a small change of
// a large configuration costs few bytes on the links between nodes.
//
// A document is split into segments at boundaries that its content determines, so that an inserted, changed or removed
// record leaves the segments around it as they were. Only the hashes of the segments of older revisions are kept.
package patcher

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

const (
	// minDocumentBytes is the size from which a document is patched; smaller ones are sent whole.
	minDocumentBytes = 4 << 10
	// maxRevisions is the number of revisions of a document to which patches can be made.
	maxRevisions = 16
	// maxPatchedBytes bounds the size of a patched document.
	maxPatchedBytes = 16 << 20
)

// ErrBaseMissing is returned when this node does not hold the revision to which a patch applies.
var ErrBaseMissing = errors.New("patcher: base revision is not held")

type (
	// Patcher holds the recent revisions of large documents. It is safe for concurrent use.
	Patcher struct {
		mutex sync.Mutex
		// histories has the history of each document that is held and large enough.
		histories map[documentKey]*history
	}

	documentKey struct{ kind, name string }

	history struct {
		// revisions are in the order of their points, at most maxRevisions.
		revisions []revision
		// data is the content of the last revision.
		data []byte
	}

	revision struct {
		at       replicator.Point
		segments []segment
	}
)

// New returns a Patcher without documents.
func New() *Patcher {
	return &Patcher{histories: map[documentKey]*history{}}
}

// Record adds a document that is new to this node. Its data must not be changed afterwards.
func (p *Patcher) Record(d replicator.Document) {
	key := documentKey{d.Kind, d.Name}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if d.Deleted || len(d.Data) < minDocumentBytes {
		delete(p.histories, key)
		return
	}
	h := p.histories[key]
	if h == nil {
		h = &history{}
		p.histories[key] = h
	}
	h.revisions = append(h.revisions, revision{d.Point(), split(d.Data)})
	if len(h.revisions) > maxRevisions {
		h.revisions = slices.Delete(h.revisions, 0, 1)
	}
	h.data = d.Data
}

// Held returns the documents to which patches can be applied.
func (p *Patcher) Held() []*pb.HeldDocument {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	held := make([]*pb.HeldDocument, 0, len(p.histories))
	for k, h := range p.histories {
		at := h.last().at
		held = append(held, &pb.HeldDocument{Kind: k.kind, Name: k.name, Era: at.Era, Revision: at.Revision})
	}
	return held
}

// Patch returns a patch that makes the document from a revision of it, or nil if one of the two is not known.
func (p *Patcher) Patch(d replicator.Document, base replicator.Point) *pb.DocumentPatch {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.histories[documentKey{d.Kind, d.Name}]
	if h == nil || h.last().at != d.Point() {
		return nil
	}
	i := slices.IndexFunc(h.revisions, func(r revision) bool { return r.at == base })
	if i < 0 {
		return nil
	}
	return &pb.DocumentPatch{
		BaseEra: base.Era, BaseRevision: base.Revision, Segments: compare(h.revisions[i].segments, h.last().segments, h.data),
		Digest: xxhash.Sum64(h.data),
	}
}

// Apply returns the content of a document after a patch. The error is ErrBaseMissing if this node does not hold the
// revision to which the patch applies.
func (p *Patcher) Apply(kind, name string, patch *pb.DocumentPatch) ([]byte, error) {
	base := replicator.Point{Era: patch.GetBaseEra(), Revision: patch.GetBaseRevision()}
	p.mutex.Lock()
	h := p.histories[documentKey{kind, name}]
	if h == nil || h.last().at != base {
		p.mutex.Unlock()
		return nil, errors.Wrapf(ErrBaseMissing, "%s/%s at %d of era %d", kind, name, base.Revision, base.Era)
	}
	held := h.data
	p.mutex.Unlock()
	size := uint64(0)
	for _, s := range patch.GetSegments() {
		end := s.GetOffset() + s.GetLength()
		if end < s.GetOffset() || end > uint64(len(held)) {
			return nil, errors.Newf("patcher: patch of %s/%s exceeds its base", kind, name)
		}
		size += uint64(len(s.GetLiteral())) + s.GetLength()
		if size > maxPatchedBytes {
			return nil, errors.Newf("patcher: patched %s/%s is too large", kind, name)
		}
	}
	data := make([]byte, 0, size)
	for _, s := range patch.GetSegments() {
		data = append(data, s.GetLiteral()...)
		data = append(data, held[s.GetOffset():s.GetOffset()+s.GetLength()]...)
	}
	if xxhash.Sum64(data) != patch.GetDigest() {
		return nil, errors.Newf("patcher: patched %s/%s has another digest", kind, name)
	}
	return data, nil
}

func (h *history) last() revision {
	return h.revisions[len(h.revisions)-1]
}
