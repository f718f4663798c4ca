package watcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// Guards against an outage of the store that nodes can't tell from a store that nobody has read: failed calls and late
// answers must be recorded, answers in time must not.
func TestWatcherRecordsFailedCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(s *store)
		failure bool
	}{
		{"answers in time", func(*store) {}, false},
		{"history gone", func(s *store) { s.compactedRevision = s.revision + 1 }, false},
		{"store down", func(s *store) { s.down = true }, true},
		{"late answers", func(s *store) { s.answerDelay = time.Second }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			runWatcher(t, alwaysRead, func(s *store, _ *replicator.Replicator) {
				time.Sleep(100 * time.Millisecond)
				s.mutex.Lock()
				c.change(s)
				s.mutex.Unlock()
				time.Sleep(5 * time.Second)
				s.mutex.Lock()
				defer s.mutex.Unlock()
				is.Equal(s.failures > 0, c.failure)
			})
		})
	}
}
