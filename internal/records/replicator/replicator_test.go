package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

const kind = "leaves"

func document(name string, revision int64, deleted bool) replicator.Document {
	d := replicator.Document{Kind: kind, Name: name, Revision: revision, Deleted: deleted}
	if !deleted {
		d.Data = fmt.Appendf(nil, "%s@%d", name, revision)
	}
	return d
}

// at returns a point of a store that states no era.
func at(revision int64) replicator.Point {
	return replicator.Point{Revision: revision}
}

func TestApplyListDeletesUnlistedDocuments(t *testing.T) {
	is := is.New(t)
	var changes []replicator.Document
	r := replicator.New(replicator.Config{Clock: quartz.NewMock(t), OnChange: func(d replicator.Document, _ time.Time) {
		changes = append(changes, d)
	}})
	r.ApplyList(kind, []replicator.Document{document("a", 3, false), document("b", 2, false)}, at(5), time.Time{})
	r.ApplyList(kind, []replicator.Document{document("b", 7, false)}, at(9), time.Time{})
	is.Equal(len(changes), 4) // b@2, a@3, b@7, deletion of a
	is.Equal(len(r.Documents(kind)), 1)
	is.Equal(r.Position(kind).Revision, int64(9))
	r.ApplyList(kind, []replicator.Document{document("a", 3, false)}, at(5), time.Time{}) // an older list
	is.Equal(len(r.Documents(kind)), 1)
	is.True(!r.ApplyChanges(kind, at(12), []replicator.Document{document("c", 14, false)}, at(14), time.Time{})) // a gap
	is.Equal(r.Position(kind).Revision, int64(9))
}

func TestOnChangeReportsPreviousConfirmation(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	var before time.Time
	r := replicator.New(replicator.Config{Clock: clock, OnChange: func(_ replicator.Document,
		at time.Time,
	) {
		before = at
	}})
	first := clock.Now()
	r.ApplyList(kind, []replicator.Document{document("a", 1, false)}, at(1), first)
	clock.Advance(time.Second)
	r.ApplyChanges(kind, at(1), []replicator.Document{document("a", 2, true)}, at(2), clock.Now())
	is.Equal(before, first)
	is.Equal(r.Position(kind).ConfirmedAt, clock.Now())
}

// Guards against replicas that diverge from the store or move a document back to an older revision when lists, changes
// and pulls arrive in any order: a replica at a revision must hold the documents that the store held then.
func TestReplicatorsAgreeWithStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := quartz.NewReal()
		newest := map[string]int64{}
		replicas := make([]*replicator.Replicator, 2)
		for i := range replicas {
			replicas[i] = replicator.New(replicator.Config{Clock: clock, OnChange: func(d replicator.Document, _ time.Time) {
				key := fmt.Sprintf("%d/%s", i, d.Name)
				if d.Revision <= newest[key] {
					t.Fatalf("%s went from revision %d to %d", key, newest[key], d.Revision)
				}
				newest[key] = d.Revision
			}})
		}
		var changeLog []replicator.Document
		store := map[string]replicator.Document{}
		for revision := int64(1); revision <= 30; revision++ {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			_, exists := store[name]
			d := document(name, revision, exists && rapid.Bool().Draw(t, "deleted"))
			changeLog = append(changeLog, d)
			store[name] = d
			if d.Deleted {
				delete(store, name)
			}
			r := replicas[rapid.IntRange(0, 1).Draw(t, "replica")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				var list []replicator.Document
				for _, d := range store {
					list = append(list, d)
				}
				r.ApplyList(kind, list, at(revision), clock.Now())
			case 1:
				if after := r.Position(kind).Point(); after.Revision > 0 {
					changes := append([]replicator.Document(nil), changeLog[after.Revision:]...)
					r.ApplyChanges(kind, after, changes, at(revision), clock.Now())
				}
			case 2:
				pull(replicas[0], replicas[1])
			}
			for _, r := range replicas {
				if p := r.Position(kind); p.Revision == revision && len(r.Documents(kind)) != len(store) {
					t.Fatalf("replica holds %v, store holds %v", r.Documents(kind), store)
				}
			}
		}
	})
}

// pull brings the first replica up to the position of the second.
func pull(to, from *replicator.Replicator) {
	after := to.Position(kind).Point()
	documents, position, whole := from.ChangesSince(kind, after)
	if whole {
		to.ApplyList(kind, documents, position.Point(), position.ConfirmedAt)
	} else {
		to.ApplyChanges(kind, after, documents, position.Point(), position.ConfirmedAt)
	}
}
