package watcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// restore replaces the documents by a copy and begins a new era.
func (s *store) restore(documents []replicator.Document, revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.documents, s.revision, s.era = documents, revision, s.era+1
}

func names(r *replicator.Replicator) string {
	joined := ""
	for _, d := range r.Documents(kind) {
		joined += d.Name
	}
	return joined
}

// Guards against a watcher that misses changes for good after the store was restored from a copy: the revision that it
// knows is above the store's, equal to it, or below it because the store has given it out again.
func TestWatcherListsInNewEra(t *testing.T) {
	for name, writes := range map[string]int{"revision is gone": 0, "revision is equal": 3, "revision is below": 7} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
				s.put("a")
				time.Sleep(2 * time.Second)
				copied, at := append([]replicator.Document(nil), s.documents...), s.currentRevision()
				s.put("b")
				s.put("c")
				s.put("d")
				time.Sleep(2 * time.Second)
				is.Equal(names(r), "abcd")
				s.restore(copied, at)
				want := "a"
				for i := range writes {
					s.put(string(rune('p' + i)))
					want += string(rune('p' + i))
				}
				s.mutex.Lock()
				if writes == 0 {
					s.goneAbove = true // a watch from a revision that the store does not have
				}
				s.mutex.Unlock()
				time.Sleep(2 * time.Second)
				is.Equal(names(r), want)
				is.Equal(r.Position(kind).Era, int64(1))
				s.put("z")
				time.Sleep(2 * time.Second)
				is.Equal(names(r), want+"z")
				lists, _ := s.calls()
				is.Equal(lists, 2)
			})
		})
	}
}
