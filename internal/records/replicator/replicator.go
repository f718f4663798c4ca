// Package replicator holds this node's copy of the documents in the platform's store. Lists and changes flow
// in, from the store or from other nodes; each document that is new to this node flows out once, in the order
// of its revisions. A document never goes back to an older revision.
//
// A position says up to which revision all documents of a kind are known. It is what nodes compare to find
// out which of them knows more.
package replicator

import (
	"sort"
	"sync"
	"time"

	"github.com/coder/quartz"
)

const (
	// tombstoneTime is how long deleted documents are remembered for nodes that ask what has changed.
	tombstoneTime = time.Minute
)

type (
	// Document is one object of the store.
	Document struct {
		Kind string
		Name string
		// Revision is the store's revision of its last change, above 0.
		Revision int64
		// Deleted documents have no data.
		Deleted bool
		// Data is the content as the platform encodes it.
		Data []byte
	}

	// Config holds what a Replicator needs.
	Config struct {
		Clock quartz.Clock
		// Changed is told of each document that is new, in order, and until when this node's former knowledge of
		// its kind was confirmed: the change is later. It must not call the Replicator.
		Changed func(d Document, confirmedBefore time.Time)
	}

	// Position says what is known of a kind.
	Position struct {
		// Revision is 0 while no complete list of the kind is known.
		Revision int64
		// ConfirmedAt is when the store last confirmed that nothing newer existed.
		ConfirmedAt time.Time
	}

	// Replicator holds documents. It is safe for concurrent use.
	Replicator struct {
		config Config
		mutex  sync.Mutex
		kinds  map[string]*kind
	}

	kind struct {
		documents map[string]Document
		position  Position
		// deletedAt has when each tombstone was made.
		deletedAt map[string]time.Time
		// forgotten is the revision up to which deletions may be unknown.
		forgotten int64
	}
)

// New returns a Replicator without documents.
func New(c Config) *Replicator {
	return &Replicator{config: c, kinds: map[string]*kind{}}
}

// ApplyList takes all documents of a kind as of a revision. Documents that are not listed are deleted.
func (r *Replicator) ApplyList(name string, documents []Document, revision int64, confirmedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	if revision < k.position.Revision {
		return
	}
	listed := map[string]bool{}
	for _, d := range documents {
		listed[d.Name] = true
	}
	changes := documents
	for n, d := range k.documents {
		if !listed[n] && !d.Deleted {
			changes = append(changes, Document{Kind: name, Name: n, Revision: revision, Deleted: true})
		}
	}
	r.apply(k, changes)
	k.advance(revision, confirmedAt)
	// A list does not tell of documents that came and went since the last position.
	k.forgotten = max(k.forgotten, revision)
}

// ApplyChanges takes the documents that have changed since a position, up to a revision. It returns false
// when something between that position and this node's is missing.
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

// Position returns what is known of a kind.
func (r *Replicator) Position(name string) Position {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.kind(name).position
}

// Confirm takes note that the position of a kind was still the newest at a time.
func (r *Replicator) Confirm(name string, revision int64, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	if k.position.Revision >= revision && at.After(k.position.ConfirmedAt) {
		k.position.ConfirmedAt = at
	}
}

// Since returns the documents of a kind that are newer than a revision. whole is set when that are all that
// exist, because too much was forgotten to tell the changes.
func (r *Replicator) Since(name string, after int64) (documents []Document, position Position, whole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	whole = after == 0 || after < k.forgotten
	for _, d := range k.documents {
		if (whole && !d.Deleted) || (!whole && d.Revision > after) {
			documents = append(documents, d)
		}
	}
	sort.Slice(documents, func(i, j int) bool { return documents[i].Revision < documents[j].Revision })
	return documents, k.position, whole
}

// Documents returns the documents of a kind that exist.
func (r *Replicator) Documents(name string) []Document {
	documents, _, _ := r.Since(name, 0)
	return documents
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
		r.config.Changed(d, k.position.ConfirmedAt)
	}
	k.forget(now)
}

func (k *kind) forget(now time.Time) {
	for n, at := range k.deletedAt {
		if now.Sub(at) > tombstoneTime {
			k.forgotten = max(k.forgotten, k.documents[n].Revision)
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
