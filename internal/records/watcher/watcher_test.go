package watcher_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/watcher"
)

const kind = "leaves"

var errDown = errors.New("store is down")

// store is a store in memory that can drop its history and be down.
type store struct {
	mutex             sync.Mutex
	documents         []replicator.Document
	revision          int64
	era               int64
	compactedRevision int64
	// goneAbove is set if a watch from a revision that the store does not have is answered with ErrHistoryGone.
	goneAbove bool
	down      bool
	// answerDelay is how long an answer to a watch is on its way.
	answerDelay time.Duration
	// maxChanges is how many changes an answer to a watch may hold; 0 is no limit.
	maxChanges int
	lists      int
	watches    int
	// failures is how many calls were recorded as failed.
	failures int
	// maxBytes has the limit of each watch.
	maxBytes []int64
}

func (s *store) List(context.Context, string) ([]replicator.Document, replicator.Point, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	if s.down {
		return nil, replicator.Point{}, errDown
	}
	return append([]replicator.Document(nil), s.documents...), replicator.Point{Era: s.era, Revision: s.revision}, nil
}

func (s *store) Watch(
	ctx context.Context, _ string, after int64, wait time.Duration, maxBytes int64,
) ([]replicator.Document, replicator.Point, error) {
	documents, revision, err := s.watch(ctx, after, wait)
	s.mutex.Lock()
	s.maxBytes = append(s.maxBytes, maxBytes)
	answerDelay := s.answerDelay
	s.mutex.Unlock()
	time.Sleep(answerDelay)
	return documents, revision, err
}

func (s *store) watch(
	ctx context.Context, after int64, wait time.Duration,
) ([]replicator.Document, replicator.Point, error) {
	for until := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mutex.Lock()
		if after == s.revision && after >= s.compactedRevision && !s.down && time.Now().Before(until) && ctx.Err() == nil {
			s.mutex.Unlock()
			continue
		}
		defer s.mutex.Unlock()
		s.watches++
		switch {
		case s.down:
			return nil, replicator.Point{}, errDown
		case after < s.compactedRevision || s.goneAbove && after > s.revision:
			return nil, replicator.Point{}, watcher.ErrHistoryGone
		}
		var changes []replicator.Document
		for _, d := range s.documents {
			if d.Revision > after {
				changes = append(changes, d)
			}
		}
		if s.maxChanges > 0 && len(changes) > s.maxChanges {
			return nil, replicator.Point{}, watcher.ErrChangesTooLarge
		}
		return changes, replicator.Point{Era: s.era, Revision: s.revision}, nil
	}
}

// SetReading implements watcher.Monitor.
func (s *store) SetReading(string, bool) {}

// RecordFailure implements watcher.Monitor.
func (s *store) RecordFailure(string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures++
}

// calls returns the number of list calls and of watch calls so far.
func (s *store) calls() (int, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists, s.watches
}

func (s *store) currentRevision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

func (s *store) put(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.documents = append(s.documents, replicator.Document{Kind: kind, Name: name, Revision: s.revision})
}

// runWatcher runs a watcher in virtual time while scenario changes the store.
func runWatcher(t *testing.T, shouldRead func() bool, scenario func(s *store, r *replicator.Replicator)) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 1}
		r := replicator.New(replicator.Config{
			Clock: quartz.NewReal(), OnChange: func(replicator.Document, time.Time) {},
		})
		w := watcher.New(watcher.Config{
			Kind: kind, Store: s, Replica: r, Wait: time.Second, ShouldRead: shouldRead, Clock: quartz.NewReal(),
			Monitor: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		scenario(s, r)
		cancel()
		time.Sleep(time.Minute) // lets the goroutines end
	})
}

func alwaysRead() bool { return true }

// Guards against one store call for each of many changes in quick succession.
func TestWatcherBatchesChanges(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
		time.Sleep(100 * time.Millisecond)
		for range 20 {
			s.put(string(rune('a' + len(s.documents))))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(r.Documents(kind)), 20)
		lists, watches := s.calls()
		is.True(watches <= 4) // far fewer calls than changes
		is.Equal(lists, 1)
	})
}

// Guards against a watcher that stops at a revision whose later changes the store has dropped.
func TestWatcherListsWhenHistoryIsGone(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		s.compactedRevision = s.revision + 1
		s.mutex.Unlock()
		s.put("a")
		time.Sleep(200 * time.Millisecond)
		is.Equal(len(r.Documents(kind)), 1)
		lists, _ := s.calls()
		is.Equal(lists, 2)
	})
}

// Guards against a node that asks forever for changes which are too large to be read together.
func TestWatcherListsWhenChangesAreTooLarge(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		s.maxChanges, s.down = 3, true
		s.mutex.Unlock()
		for _, name := range []string{"a", "b", "c", "d"} {
			s.put(name)
		}
		time.Sleep(time.Second)
		s.mutex.Lock()
		s.down = false
		s.mutex.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(len(r.Documents(kind)), 4)
		lists, _ := s.calls()
		is.Equal(lists, 2)
	})
}

// Guards against a reader that reads many revisions of a large document although a list would arrive sooner.
func TestWatchIsBoundedByTwiceTheDocuments(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
		s.mutex.Lock()
		s.revision++
		s.documents = append(s.documents, replicator.Document{
			Kind: kind, Name: "large", Revision: s.revision, Data: make([]byte, 1<<20),
		})
		s.mutex.Unlock()
		time.Sleep(5 * time.Second)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		is.Equal(r.Bytes(kind), int64(1<<20))
		is.Equal(s.maxBytes[len(s.maxBytes)-1], int64(2<<20+64<<10))
	})
}

// Guards against a load of calls while the store is down, and against a watcher that does not continue afterwards.
func TestWatcherBacksOffDuringOutage(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
		s.put("a")
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		s.down = true
		s.mutex.Unlock()
		time.Sleep(10 * time.Second)
		_, watches := s.calls()
		is.True(watches < 25) // few calls while it is down
		is.Equal(len(r.Documents(kind)), 1)
		s.mutex.Lock()
		s.down = false
		s.mutex.Unlock()
		s.put("b")
		time.Sleep(1300 * time.Millisecond)
		is.Equal(len(r.Documents(kind)), 2)
	})
}

// Guards against load on the store from nodes on whose behalf another node reads it.
func TestWatcherMakesNoCallsWhenAnotherNodeReads(t *testing.T) {
	is := is.New(t)
	runWatcher(t, func() bool { return false }, func(s *store, _ *replicator.Replicator) {
		time.Sleep(10 * time.Second)
		lists, watches := s.calls()
		is.Equal(lists+watches, 0)
	})
}

// Guards against documents that count as confirmed when the answer of a watch is read, although it had waited before.
func TestAnswerThatWaitedInSocketConfirmsWhenItWasMade(t *testing.T) {
	for name, change := range map[string]bool{"without changes": false, "with a change": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
				s.mutex.Lock()
				s.answerDelay = 4 * time.Second
				s.mutex.Unlock()
				time.Sleep(time.Second / 2)
				startedAt := time.Now()
				if change {
					s.put("a")
				}
				time.Sleep(4 * time.Second)
				s.put("b") // made while the first answer is on its way
				time.Sleep(700 * time.Millisecond)
				is.True(r.Position(kind).Revision < s.currentRevision())
				is.True(r.Position(kind).ConfirmedAt.Before(startedAt.Add(time.Second)))
			})
		})
	}
}

// Guards against confirmations that grow old while changes come, so that other nodes start to read the store as well.
func TestPositionIsConfirmedSoonAfterChanges(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, r *replicator.Replicator) {
		time.Sleep(100 * time.Millisecond)
		for i := range 200 {
			if i%13 == 0 {
				s.put(string(rune('a' + i)))
			}
			time.Sleep(70 * time.Millisecond)
			is.True(time.Since(r.Position(kind).ConfirmedAt) < 1500*time.Millisecond)
		}
	})
}

// Guards against list calls without a pause while the store drops its history again and again.
func TestWatcherPausesWhileHistoryIsGone(t *testing.T) {
	is := is.New(t)
	runWatcher(t, alwaysRead, func(s *store, _ *replicator.Replicator) {
		s.put("a")
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		s.compactedRevision = s.revision + 1000
		s.mutex.Unlock()
		s.put("b")
		time.Sleep(10 * time.Second)
		lists, watches := s.calls()
		is.True(lists < 20)
		is.True(watches < 20)
	})
}
