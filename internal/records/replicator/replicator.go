// Package replicator holds this node's copy of the documents in the platform's store. It applies complete lists and
// changes, which come from the store or from other nodes, and reports each document that is new to this node once, in
// order of revision. A document never goes back to an older point.
//
// A position states the point up to which all documents of a kind are known. Nodes compare positions to find out
// which of them has newer documents.
//
// A store that was restored from a copy gives out revisions again. It says so by a new era, and points are ordered by
// era before revision. The first list of a new era is compared with the known documents by content, because their
// revisions say nothing there.
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
		// Era is the era of the store in which the document was listed or changed.
		Era int64
		// Revision is the store's revision as of the document's last change. It is above 0.
		Revision int64
		// Deleted documents have no data.
		Deleted bool
		// Data is the content as the platform encodes it.
		Data []byte
		// Restored is set if the document differs from what was known only because the store was restored from a copy, as
		// far as can be told: its owner may not have written it again yet. It is not set on documents that are held.
		Restored bool
	}

	// Config holds what a Replicator needs.
	Config struct {
		Clock quartz.Clock
		// OnChange is called for each document that is new to this node, in order of revision. confirmedBefore is when
		// the previous position of the document's kind was last confirmed; the change was made after that time.
		// OnChange must not call the Replicator.
		OnChange func(d Document, confirmedBefore time.Time)
		// OnRenumber, if not nil, is called for each document whose content a new era has left as it was.
		OnRenumber func(d Document)
	}

	// Position states how far this node has followed the documents of a kind.
	Position struct {
		// Era is 0 while the store has not stated one.
		Era int64
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
		// compacted is the point up to which tombstones may be missing.
		compacted Point
	}
)

// New returns a Replicator without documents.
func New(c Config) *Replicator {
	return &Replicator{config: c, kinds: map[string]*kind{}}
}

// ApplyList replaces the documents of a kind by the complete list as of a point. Documents that are not listed are
// deleted. A list that is older than this node's position is ignored.
func (r *Replicator) ApplyList(name string, documents []Document, at Point, confirmedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	before := k.position.Point()
	if at.Before(before) {
		return
	}
	newEra := before.Revision > 0 && at.Era > before.Era
	listedNames := map[string]bool{}
	for i, d := range documents {
		listedNames[d.Name] = true
		documents[i].Era, documents[i].Restored = at.Era, newEra && d.Revision <= before.Revision
	}
	changes := documents
	for n, d := range k.documents {
		if !listedNames[n] && !d.Deleted {
			changes = append(changes, Document{
				Kind: name, Name: n, Era: at.Era, Revision: at.Revision, Deleted: true, Restored: newEra,
			})
		}
	}
	r.apply(k, changes)
	k.advance(at, confirmedAt)
	// A list does not show documents that were created and deleted since the last position.
	k.compacted = k.compacted.latest(at)
}

// ApplyChanges applies the documents that changed after one point, up to another. It returns false, and applies
// nothing, if this node's position is below the first point, so that the changes between the two are missing, or if the
// points are not of the era of this node's position.
func (r *Replicator) ApplyChanges(name string, after Point, documents []Document, at Point,
	confirmedAt time.Time,
) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	if k.position.Revision < after.Revision || k.position.Era != after.Era || k.position.Era != at.Era {
		return false
	}
	for i := range documents {
		documents[i].Era = at.Era
	}
	r.apply(k, documents)
	k.advance(at, confirmedAt)
	return true
}

// Position returns this node's position for a kind.
func (r *Replicator) Position(name string) Position {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.kind(name).position
}

// ChangesSince returns the documents of a kind that are newer than a point, with tombstones. If tombstones since that
// point may have been dropped, it returns all documents that exist instead and sets whole.
func (r *Replicator) ChangesSince(name string, after Point) (documents []Document, position Position, whole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(name)
	whole = after.Revision == 0 || after.Before(k.compacted)
	for _, d := range k.documents {
		if (whole && !d.Deleted) || (!whole && after.Before(d.Point())) {
			documents = append(documents, d)
		}
	}
	sort.Slice(documents, func(i, j int) bool { return documents[i].Point().Before(documents[j].Point()) })
	return documents, k.position, whole
}

// Documents returns the documents of a kind, without tombstones.
func (r *Replicator) Documents(name string) []Document {
	documents, _, _ := r.ChangesSince(name, Point{})
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
	sort.SliceStable(documents, func(i, j int) bool { return documents[i].Point().Before(documents[j].Point()) })
	now := r.config.Clock.Now()
	for _, d := range documents {
		known, exists := k.documents[d.Name]
		if exists && !known.Point().Before(d.Point()) {
			continue
		}
		if d.Deleted && (!exists || known.Deleted) {
			continue
		}
		held := d
		held.Restored = false
		k.documents[d.Name] = held
		if exists && known.Era < d.Era && known.equals(d) {
			r.renumber(held)
			continue
		}
		if d.Deleted {
			k.deletedAt[d.Name] = now
		} else {
			delete(k.deletedAt, d.Name)
		}
		r.config.OnChange(d, k.position.ConfirmedAt)
	}
	k.dropExpiredTombstones(now)
}

func (r *Replicator) renumber(d Document) {
	if r.config.OnRenumber != nil {
		r.config.OnRenumber(d)
	}
}

func (k *kind) dropExpiredTombstones(now time.Time) {
	for n, at := range k.deletedAt {
		if now.Sub(at) > tombstoneRetention {
			k.compacted = k.compacted.latest(k.documents[n].Point())
			delete(k.documents, n)
			delete(k.deletedAt, n)
		}
	}
}

func (k *kind) advance(at Point, confirmedAt time.Time) {
	at = at.latest(k.position.Point())
	k.position.Era, k.position.Revision = at.Era, at.Revision
	if confirmedAt.After(k.position.ConfirmedAt) {
		k.position.ConfirmedAt = confirmedAt
	}
}
