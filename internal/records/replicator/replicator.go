// Package replicator holds this node's copy of the documents in the platform's store. It applies complete lists and
// changes, which come from the store or from other nodes, and reports each document that is new to this node once, in
// order of revision. A document never goes back to an older revision.
//
// A position states the revision up to which all documents of a kind are known. Nodes compare positions to find out
// which of them has newer documents.
package replicator

import (
	"sort"
	"sync"
	"time"

	"github.com/coder/quartz"
)

const (
	// tombstoneRetention is how long deletions are kept for nodes that ask for the changes since an older revision.
	tombstoneRetention = time.Minute
)

type (
	// Document is an object of the store.
	Document struct {
		Kind string
		Name string
		// Revision is the store's revision as of the document's last change. It is above 0.
		Revision int64
		// Deleted documents have no data.
		Deleted bool
		// Data is the content as the platform encodes it.
		Data []byte
	}

	// Config holds what a Replicator needs.
	Config struct {
		Clock quartz.Clock
		// OnChange is called for each document that is new to this node, in order of revision. confirmedBefore is when
		// the previous position of the document's kind was last confirmed; the change was made after that time.
		// OnChange must not call the Replicator.
		OnChange func(d Document, confirmedBefore time.Time)
	}

	// Position states how far this node has followed the documents of a kind.
	Position struct {
		// Revision is 0 while no complete list of the kind is known.
		Revision int64
		// ConfirmedAt is when the store last confirmed that it held no newer revision.
		ConfirmedAt time.Time
	}

	// Replicator holds the documents of all kinds. It is safe for concurrent use.
	Replicator struct {
		config Config
		mutex  sync.Mutex
		kinds  map[string]*kind
	}

	kind struct {
		documents map[string]Document
		position  Position
		// deletedAt maps the name of each deleted document to the time of its tombstone.
		deletedAt map[string]time.Time
		// compactedRevision is the revision up to which tombstones may be missing.
		compactedRevision int64
	}
)

// New returns a Replicator without documents.
func New(c Config) *Replicator {
	return &Replicator{config: c, kinds: map[string]*kind{}}
}

// ApplyList replaces the documents of a kind by the complete list as of a revision. Documents that are not listed are
// deleted. A list that is older than this node's position is ignored.
func (r *Replicator) ApplyList(name string, documents []Document, revision int64, confirmedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	if revision < k.position.Revision {
		return
	}
	listedNames := map[string]bool{}
	for _, d := range documents {
		listedNames[d.Name] = true
	}
	changes := documents
	for n, d := range k.documents {
		if !listedNames[n] && !d.Deleted {
			changes = append(changes, Document{Kind: name, Name: n, Revision: revision, Deleted: true})
		}
	}
	r.apply(k, changes)
	k.advance(revision, confirmedAt)
	// A list does not show documents that were created and deleted since the last position.
	k.compactedRevision = max(k.compactedRevision, revision)
}

// ApplyChanges applies the documents that changed after one revision, up to another. It returns false, and applies
// nothing, if this node's position is below the first revision: the changes between the two are missing.
func (r *Replicator) ApplyChanges(name string, after int64, documents []Document, revision int64,
	confirmedAt time.Time,
) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	if k.position.Revision < after {
		return false
	}
	r.apply(k, documents)
	k.advance(revision, confirmedAt)
	return true
}

// Position returns this node's position for a kind.
func (r *Replicator) Position(name string) Position {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.kind(name).position
}

// ChangesSince returns the documents of a kind that are newer than a revision, with tombstones. If tombstones since
// that revision may have been dropped, it returns all documents that exist instead and sets whole.
func (r *Replicator) ChangesSince(name string, after int64) (documents []Document, position Position, whole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	whole = after == 0 || after < k.compactedRevision
	for _, d := range k.documents {
		if (whole && !d.Deleted) || (!whole && d.Revision > after) {
			documents = append(documents, d)
		}
	}
	sort.Slice(documents, func(i, j int) bool { return documents[i].Revision < documents[j].Revision })
	return documents, k.position, whole
}

// Documents returns the documents of a kind, without tombstones.
func (r *Replicator) Documents(name string) []Document {
	documents, _, _ := r.ChangesSince(name, 0)
	return documents
}

// Bytes returns the size of the data of a kind's documents.
func (r *Replicator) Bytes(name string) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	size := int64(0)
	for _, d := range r.kind(name).documents {
		size += int64(len(d.Data))
	}
	return size
}

func (r *Replicator) kind(name string) *kind {
	k := r.kinds[name]
	if k == nil {
		k = &kind{documents: map[string]Document{}, deletedAt: map[string]time.Time{}}
		r.kinds[name] = k
	}
	return k
}

func (r *Replicator) apply(k *kind, documents []Document) {
	sort.SliceStable(documents, func(i, j int) bool { return documents[i].Revision < documents[j].Revision })
	now := r.config.Clock.Now()
	for _, d := range documents {
		known, exists := k.documents[d.Name]
		if exists && known.Revision >= d.Revision {
			continue
		}
		if d.Deleted && (!exists || known.Deleted) {
			continue
		}
		k.documents[d.Name] = d
		if d.Deleted {
			k.deletedAt[d.Name] = now
		} else {
			delete(k.deletedAt, d.Name)
		}
		r.config.OnChange(d, k.position.ConfirmedAt)
	}
	k.dropExpiredTombstones(now)
}

func (k *kind) dropExpiredTombstones(now time.Time) {
	for n, at := range k.deletedAt {
		if now.Sub(at) > tombstoneRetention {
			k.compactedRevision = max(k.compactedRevision, k.documents[n].Revision)
			delete(k.documents, n)
			delete(k.deletedAt, n)
		}
	}
}

func (k *kind) advance(revision int64, confirmedAt time.Time) {
	k.position.Revision = max(k.position.Revision, revision)
	if confirmedAt.After(k.position.ConfirmedAt) {
		k.position.ConfirmedAt = confirmedAt
	}
}
