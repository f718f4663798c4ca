// Package watcher follows the documents of one kind in the platform's store: it lists them once and then
// waits for changes. What it reads flows into the replicator. It goes on for ever, and a store that is down,
// slow or has dropped its history only delays it.
package watcher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

const (
	// firstPause and lastPause bound the time between two tries while the store does not answer.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// idlePause is the time between two looks of a node that leaves watching to others.
	idlePause = 50 * time.Millisecond
	// gatherPause is the time after a change in which further ones gather, so that one call returns them all.
	gatherPause = 150 * time.Millisecond
)

// ErrHistoryGone says that changes were dropped that the watch would have returned.
var ErrHistoryGone = errors.New("store: history is gone")

type (
	// Store is the part of the platform's store that is read.
	Store interface {
		// List returns all documents of a kind and the revision of the list.
		List(ctx context.Context, kind string) ([]replicator.Document, int64, error)
		// Watch returns the changes of a kind after a revision, and the revision up to which they are complete.
		// It waits for one; without any it returns none.
		Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]replicator.Document, int64, error)
	}

	// Replica takes what is read.
	Replica interface {
		ApplyList(kind string, documents []replicator.Document, revision int64, confirmedAt time.Time)
		ApplyChanges(kind string, after int64, documents []replicator.Document, revision int64, confirmedAt time.Time) bool
		Position(kind string) replicator.Position
	}

	// Config holds what a Watcher needs.
	Config struct {
		Kind  string
		Store Store
		// Replica is told all that is read.
		Replica Replica
		// Wait is how long one watch waits for a change.
		Wait time.Duration
		// Due tells whether this node is to read the store now; others may do it on its behalf.
		Due    func() bool
		Clock  quartz.Clock
		Logger *slog.Logger
	}

	// Watcher follows one kind.
	Watcher struct {
		config Config
		// failing is set while the store does not answer.
		failing bool
		// reading is set while this node reads the store.
		reading bool
		since   time.Time
	}
)

// New returns a Watcher.
func New(c Config) *Watcher {
	return &Watcher{config: c}
}

// Run follows the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if due := w.config.Due(); due != w.reading {
			w.reading = due
			w.config.Logger.Info("store reader changed", "kind", w.config.Kind, "reads", due,
				"unconfirmed_for", w.config.Clock.Since(w.config.Replica.Position(w.config.Kind).ConfirmedAt))
		}
		if !w.reading {
			sleeper.Sleep(ctx, w.config.Clock, idlePause)
			continue
		}
		err := w.step(ctx)
		w.note(ctx, err)
		if err == nil || errors.Is(err, ErrHistoryGone) {
			pause = firstPause
			continue
		}
		sleeper.Sleep(ctx, w.config.Clock, pause/2+rand.N(pause)) //nolint:gosec // spreads load only
		pause = min(2*pause, lastPause)
	}
}

// step lists once or watches once.
func (w *Watcher) step(ctx context.Context) error {
	after := w.config.Replica.Position(w.config.Kind).Revision
	if after == 0 {
		return w.list(ctx)
	}
	documents, revision, err := w.config.Store.Watch(ctx, w.config.Kind, after, w.config.Wait)
	if errors.Is(err, ErrHistoryGone) {
		w.config.Logger.Info("store dropped its history", "kind", w.config.Kind, "after", after)
		return w.list(ctx)
	}
	if err != nil {
		return err
	}
	w.config.Replica.ApplyChanges(w.config.Kind, after, documents, revision, w.config.Clock.Now())
	if len(documents) > 0 {
		sleeper.Sleep(ctx, w.config.Clock, gatherPause)
	}
	return nil
}

func (w *Watcher) list(ctx context.Context) error {
	askedAt := w.config.Clock.Now()
	documents, revision, err := w.config.Store.List(ctx, w.config.Kind)
	if err != nil {
		return err
	}
	w.config.Replica.ApplyList(w.config.Kind, documents, revision, askedAt)
	return nil
}

// note logs when the store is lost and regained.
func (w *Watcher) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !w.failing:
		w.failing, w.since = true, w.config.Clock.Now()
		w.config.Logger.Warn("store lost", "kind", w.config.Kind, "error", err)
	case err == nil && w.failing:
		w.failing = false
		w.config.Logger.Info("store regained", "kind", w.config.Kind, "after", w.config.Clock.Since(w.since))
	}
}
