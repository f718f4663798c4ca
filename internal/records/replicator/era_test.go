package replicator_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

func content(name, data string, revision int64) replicator.Document {
	return replicator.Document{Kind: kind, Name: name, Revision: revision, Data: []byte(data)}
}

// Guards against a node that takes the list of a restored store for an old one, a smaller revision for old news or an
// equal one for known, and against changes that are reported although the content is as before.
func TestListOfNewEraIsComparedByContent(t *testing.T) {
	is := is.New(t)
	var changes, renumbered []replicator.Document
	r := replicator.New(replicator.Config{
		Clock:      quartz.NewMock(t),
		OnChange:   func(d replicator.Document, _ time.Time) { changes = append(changes, d) },
		OnRenumber: func(d replicator.Document) { renumbered = append(renumbered, d) },
	})
	third, fourth := replicator.Point{Era: 3, Revision: 20}, replicator.Point{Era: 4, Revision: 14}
	r.ApplyList(kind, []replicator.Document{
		content("same", "x", 10), content("equal revision", "new", 12), content("older", "new", 18),
		content("missing", "x", 19),
	}, third, time.Time{})
	is.Equal(len(changes), 4)
	is.True(!changes[0].Restored) // what a first list has is no news from a copy
	changes = nil
	r.ApplyList(kind, []replicator.Document{
		content("same", "x", 10), content("equal revision", "written again", 12), content("older", "old", 11),
		content("unknown", "x", 13), content("far", "x", 25),
	}, fourth, time.Time{})
	is.Equal(r.Position(kind).Point(), fourth)
	is.Equal(len(renumbered), 1)
	is.Equal(renumbered[0].Point(), replicator.Point{Era: 4, Revision: 10})
	restored := map[string]bool{}
	for _, d := range changes {
		restored[d.Name] = d.Restored
		is.Equal(d.Era, int64(4))
		is.Equal(d.Deleted, d.Name == "missing")
	}
	is.True(maps.Equal(restored, map[string]bool{
		"equal revision": true, "older": true, "missing": true, "unknown": true,
		"far": false, // the store gave out this revision after all that was known
	}))
	changes = nil
	is.True(r.ApplyChanges(kind, fourth, []replicator.Document{content("older", "new", 15)},
		replicator.Point{Era: 4, Revision: 15}, time.Time{}))
	is.Equal(len(changes), 1) // a revision that the former era had given out, too
	is.True(!changes[0].Restored)
	for _, d := range r.Documents(kind) {
		is.True(!d.Restored)
	}
}

// Guards against a late answer of an era that is over, which would bring back what the store no longer has, and against
// a confirmation of this node's documents by it.
func TestAnswersOfFormerEraAreDropped(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	r := replicator.New(replicator.Config{Clock: clock, OnChange: func(replicator.Document, time.Time) {}})
	former, now := replicator.Point{Era: 3, Revision: 50}, replicator.Point{Era: 4, Revision: 14}
	r.ApplyList(kind, []replicator.Document{content("a", "x", 14)}, now, clock.Now())
	late := clock.Now().Add(time.Second)
	r.ApplyList(kind, nil, former, late)
	is.True(!r.ApplyChanges(kind, former, []replicator.Document{content("b", "x", 51)},
		replicator.Point{Era: 3, Revision: 51}, late))
	is.True(!r.ApplyChanges(kind, replicator.Point{Era: 3, Revision: 9}, []replicator.Document{content("b", "x", 51)},
		replicator.Point{Era: 4, Revision: 51}, late)) // changes after a revision of another era
	is.True(!r.ApplyChanges(kind, now, nil, replicator.Point{Era: 5, Revision: 1}, late)) // a new era has to be listed
	is.Equal(len(r.Documents(kind)), 1)
	is.Equal(r.Position(kind), replicator.Position{Era: 4, Revision: 14, ConfirmedAt: clock.Now()})
}

// Guards against a node that asks for the changes since a revision of a former era and gets only part of them.
func TestNodeOfFormerEraGetsAllDocuments(t *testing.T) {
	is := is.New(t)
	r := replicator.New(replicator.Config{Clock: quartz.NewMock(t), OnChange: func(replicator.Document, time.Time) {}})
	r.ApplyList(kind, []replicator.Document{content("a", "x", 3), content("b", "x", 14)},
		replicator.Point{Era: 4, Revision: 14}, time.Time{})
	documents, _, whole := r.ChangesSince(kind, replicator.Point{Era: 3, Revision: 14})
	is.True(whole)
	is.Equal(len(documents), 2)
}

// drillStore is a store that keeps copies of itself and can be restored from the last one.
type drillStore struct {
	at        replicator.Point
	documents map[string]replicator.Document
	changes   []replicator.Document
	copied    *drillStore
}

func (s *drillStore) clone() *drillStore {
	return &drillStore{at: s.at, documents: maps.Clone(s.documents), changes: slices.Clone(s.changes)}
}

// write changes or deletes a document. Equal contents come again.
func (s *drillStore) write(name, data string, deleted bool) {
	s.at.Revision++
	d := replicator.Document{Kind: kind, Name: name, Era: s.at.Era, Revision: s.at.Revision, Deleted: deleted}
	if deleted {
		delete(s.documents, name)
	} else {
		d.Data = []byte(data)
		s.documents[name] = d
	}
	s.changes = append(s.changes, d)
}

func (s *drillStore) restore() {
	era := s.at.Era + 1
	*s = *s.copied.clone()
	s.at.Era = era
	s.copied = s.clone()
}

func (s *drillStore) list() []replicator.Document {
	list := make([]replicator.Document, 0, len(s.documents))
	for _, d := range s.documents {
		list = append(list, d)
	}
	return list
}

// changesAfter returns the changes after a revision of the store's era.
func (s *drillStore) changesAfter(revision int64) []replicator.Document {
	var changes []replicator.Document
	for _, d := range s.changes {
		if d.Revision > revision {
			changes = append(changes, d)
		}
	}
	return changes
}

// contents returns the contents of documents by name.
func contents(documents []replicator.Document) map[string]string {
	byName := map[string]string{}
	for _, d := range documents {
		byName[d.Name] = string(d.Data)
	}
	return byName
}

// reportingReplica returns a replica and what it has reported, by name.
func reportingReplica() (*replicator.Replicator, map[string]string) {
	reported := map[string]string{}
	return replicator.New(replicator.Config{Clock: quartz.NewReal(), OnChange: func(d replicator.Document, _ time.Time) {
		if d.Deleted {
			delete(reported, d.Name)
		} else {
			reported[d.Name] = string(d.Data)
		}
	}}), reported
}

// Guards against replicas that differ from the store for good after it was restored: whatever the order of drills,
// lists, changes and pulls, a replica at the store's point must hold the store's contents, and have reported them.
func TestReplicatorsAgreeWithRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas, reported := make([]*replicator.Replicator, 2), make([]map[string]string, 2)
		for i := range replicas {
			replicas[i], reported[i] = reportingReplica()
		}
		s := &drillStore{at: replicator.Point{Era: 1, Revision: 1}, documents: map[string]replicator.Document{}}
		s.copied = s.clone()
		late := s.clone()
		for range 40 {
			i := rapid.IntRange(0, 1).Draw(t, "replica")
			r := replicas[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				_, exists := s.documents[name]
				s.write(name, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data"), exists && rapid.Bool().Draw(t, "deleted"))
			case 4:
				s.copied = s.clone()
			case 5:
				s.restore()
			case 6:
				r.ApplyList(kind, s.list(), s.at, time.Now())
			case 7:
				if after := r.Position(kind).Point(); after.Era == s.at.Era {
					r.ApplyChanges(kind, after, s.changesAfter(after.Revision), s.at, time.Now())
				}
			case 8:
				pull(replicas[i], replicas[1-i])
			case 9: // an answer that was under way for a while
				r.ApplyList(kind, late.list(), late.at, time.Now())
				late = s.clone()
			}
			want := contents(s.list())
			if r.Position(kind).Point() == s.at &&
				(!maps.Equal(contents(r.Documents(kind)), want) || !maps.Equal(reported[i], want)) {
				t.Fatalf("replica holds %v and reported %v, store holds %v at %v", r.Documents(kind), reported[i], want, s.at)
			}
		}
	})
}
