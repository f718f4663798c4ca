// Package watcher follows the documents of one kind in the platform's store: it lists them once, then watches for
// changes, and applies both to the replica. It retries with backoff while the store is down or slow, and lists again
// when the store has dropped the changes that it would need, when they are too large, or when the store has begun a new
// era, in which the known revision says nothing: a watch returns all revisions of a document that changed often, a list
// only the last one.
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
	// minBackoff and maxBackoff bound the time between two attempts while the store does not answer.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// idlePollPeriod is the time between two checks of Config.ShouldRead on a node that leaves reading to others.
	idlePollPeriod = 50 * time.Millisecond
	// batchDelay is the pause after a change, so that the next call returns all changes made during it.
	batchDelay = 150 * time.Millisecond
	// minWait bounds the wait of a watch that follows a change. It is shorter than Config.Wait, because an answer with
	// changes leaves the position with an old confirmation.
	minWait = 250 * time.Millisecond
	// overdueWait is the wait of a watch when a confirmation is overdue. The node has then taken over from another that
	// may be lost, and others that know of no change need the confirmation before they ask the store themselves.
	overdueWait = 20 * time.Millisecond
	// maxChangesFactor and minChangesBytes bound the answer to a watch, as a multiple of the known documents and a number
	// of bytes on top.
	maxChangesFactor = 2
	minChangesBytes  = 64 << 10
	// slowAnswerTime is how long an answer may take, beyond the wait of its watch, before the call counts as failed.
	slowAnswerTime = 500 * time.Millisecond
)

var (
	// ErrHistoryGone is returned when the store has dropped changes that the watch would have returned.
	ErrHistoryGone = errors.New("store: history is gone")
	// ErrChangesTooLarge is returned when the changes that the watch would have returned are too large to be read.
	ErrChangesTooLarge = errors.New("store: changes are too large")
	// errFormerEra is returned when an answer of the store is of an era that this node knows to be over.
	errFormerEra = errors.New("store: answer of a former era")
)

type (
	// Store is the part of the platform's store that a Watcher reads.
	Store interface {
		// List returns all documents of a kind and the point of the list.
		List(ctx context.Context, kind string) ([]replicator.Document, replicator.Point, error)
		// Watch returns the changes of a kind after a revision, and the point up to which they are complete. If that is of
		// another era than the revision, the changes say nothing.
		// It waits for a change, but no longer than the given time, and then returns none. The error is
		// ErrHistoryGone, or ErrChangesTooLarge for an answer of more than maxBytes, if the documents have to be listed.
		Watch(ctx context.Context, kind string, after int64, wait time.Duration, maxBytes int64) ([]replicator.Document,
			replicator.Point, error)
	}

	// Replica holds the documents that were read.
	Replica interface {
		ApplyList(kind string, documents []replicator.Document, at replicator.Point, confirmedAt time.Time)
		ApplyChanges(kind string, after replicator.Point, documents []replicator.Document, at replicator.Point,
			confirmedAt time.Time) bool
		Position(kind string) replicator.Position
		// Bytes returns the size of the documents of a kind.
		Bytes(kind string) int64
	}

	// Monitor is told how this node reads the store.
	Monitor interface {
		// SetReading tells whether the node reads a kind from now on.
		SetReading(kind string, reading bool)
		// RecordFailure tells of a call for a kind that failed or was answered late.
		RecordFailure(kind string)
	}

	// Config holds what a Watcher needs.
	Config struct {
		Kind  string
		Store Store
		// Replica receives every list and change that is read.
		Replica Replica
		// Wait is how long one watch call waits for a change.
		Wait time.Duration
		// ShouldRead reports whether this node should read the store now; other nodes may read on its behalf.
		ShouldRead func() bool
		Monitor    Monitor
		Clock      quartz.Clock
		Logger     *slog.Logger
	}

	// Watcher follows the documents of one kind.
	Watcher struct {
		config Config
		// failing is set while the store does not answer.
		failing bool
		// reading is set while this node reads the store.
		reading bool
		// failingSince is when the store stopped answering; it is valid while failing is set.
		failingSince time.Time
		// historyGonePause is the pause before the next list if the history is gone once more; 0 after a watch.
		historyGonePause time.Duration
	}
)

// New returns a Watcher.
func New(c Config) *Watcher {
	return &Watcher{config: c}
}

// Run follows the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if shouldRead := w.config.ShouldRead(); shouldRead != w.reading {
			w.reading = shouldRead
			w.config.Monitor.SetReading(w.config.Kind, shouldRead)
			w.config.Logger.Info("store reader changed", "kind", w.config.Kind, "reads", shouldRead,
				"unconfirmed_for", w.config.Clock.Since(w.config.Replica.Position(w.config.Kind).ConfirmedAt))
		}
		if !w.reading {
			sleeper.Sleep(ctx, w.config.Clock, idlePollPeriod)
			continue
		}
		err := w.readOnce(ctx)
		w.logAvailability(ctx, err)
		if err == nil || errors.Is(err, ErrHistoryGone) {
			backoff = minBackoff
			continue
		}
		sleeper.Sleep(ctx, w.config.Clock, backoff/2+rand.N(backoff)) //nolint:gosec // spreads load only
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce makes one list call if no list is known yet or the history is gone, or else one watch call.
func (w *Watcher) readOnce(ctx context.Context) error {
	after := w.config.Replica.Position(w.config.Kind).Point()
	if after.Revision == 0 {
		return w.list(ctx)
	}
	requestedAt, wait := w.config.Clock.Now(), w.wait()
	documents, at, err := w.config.Store.Watch(ctx, w.config.Kind, after.Revision, wait, w.maxChangesBytes())
	w.recordFailure(ctx, err, w.config.Clock.Since(requestedAt)-wait)
	switch {
	case errors.Is(err, ErrHistoryGone):
		w.config.Logger.Info("store dropped its history", "kind", w.config.Kind, "after", after.Revision, "era", after.Era)
		w.pauseIfHistoryGoneAgain(ctx)
		return w.list(ctx)
	case errors.Is(err, ErrChangesTooLarge):
		w.config.Logger.Info("changes are too large; documents are listed", "kind", w.config.Kind, "after", after.Revision)
		return w.list(ctx)
	case err != nil:
		return err
	case at.Era > after.Era:
		return w.list(ctx)
	case at.Era < after.Era:
		return errors.Wrapf(errFormerEra, "watch %s: era %d after %d", w.config.Kind, at.Era, after.Era)
	}
	w.historyGonePause = 0
	confirmedAt := confirmationTime(requestedAt, w.config.Clock.Now(), wait, len(documents) > 0)
	w.config.Replica.ApplyChanges(w.config.Kind, after, documents, at, confirmedAt)
	if len(documents) > 0 {
		sleeper.Sleep(ctx, w.config.Clock, batchDelay)
	}
	return nil
}

// maxChangesBytes returns the largest answer to a watch that is worth reading. A larger one has so many revisions of
// the same documents that a list, which has only the last of each, arrives sooner.
func (w *Watcher) maxChangesBytes() int64 {
	return minChangesBytes + maxChangesFactor*w.config.Replica.Bytes(w.config.Kind)
}

// wait returns how long the next watch waits for a change, so that the position is confirmed within Config.Wait.
func (w *Watcher) wait() time.Duration {
	age := w.config.Clock.Since(w.config.Replica.Position(w.config.Kind).ConfirmedAt)
	if age > w.config.Wait+minWait {
		return overdueWait
	}
	return min(max(w.config.Wait-age, minWait), w.config.Wait)
}

// confirmationTime returns when the store answered a watch at the earliest. The answer may have waited in a socket for
// any time before it was read. The store makes an answer without changes when the wait is over; one with changes may
// have been made as soon as the watch was requested.
func confirmationTime(requestedAt, readAt time.Time, wait time.Duration, changes bool) time.Time {
	waitedUntil := requestedAt.Add(wait)
	if changes || readAt.Before(waitedUntil) {
		return requestedAt
	}
	return waitedUntil
}

// pauseIfHistoryGoneAgain pauses if the history was gone at the last watch too, longer each time.
func (w *Watcher) pauseIfHistoryGoneAgain(ctx context.Context) {
	if w.historyGonePause > 0 {
		sleeper.Sleep(ctx, w.config.Clock, w.historyGonePause)
	}
	w.historyGonePause = min(max(2*w.historyGonePause, minBackoff), maxBackoff)
}

func (w *Watcher) list(ctx context.Context) error {
	requestedAt := w.config.Clock.Now()
	before := w.config.Replica.Position(w.config.Kind)
	documents, at, err := w.config.Store.List(ctx, w.config.Kind)
	w.recordFailure(ctx, err, w.config.Clock.Since(requestedAt))
	switch {
	case err != nil:
		return err
	case at.Era < before.Era:
		return errors.Wrapf(errFormerEra, "list %s: era %d after %d", w.config.Kind, at.Era, before.Era)
	case at.Era > before.Era && before.Revision > 0:
		w.config.Logger.Warn("store was restored from a copy; documents are compared by content", "kind", w.config.Kind,
			"era", at.Era, "revision", at.Revision, "former_era", before.Era, "former_revision", before.Revision,
			"documents", len(documents), "unconfirmed_for", w.config.Clock.Since(before.ConfirmedAt))
	}
	w.config.Replica.ApplyList(w.config.Kind, documents, at, requestedAt)
	return nil
}

// recordFailure records a call that failed or whose answer took longer than it should.
func (w *Watcher) recordFailure(ctx context.Context, err error, took time.Duration) {
	answered := err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrChangesTooLarge)
	if ctx.Err() == nil && (!answered || took > slowAnswerTime) {
		w.config.Monitor.RecordFailure(w.config.Kind)
	}
}

// logAvailability logs when the store stops answering and when it answers again.
func (w *Watcher) logAvailability(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !w.failing:
		w.failing, w.failingSince = true, w.config.Clock.Now()
		w.config.Logger.Warn("store lost", "kind", w.config.Kind, "error", err)
	case err == nil && w.failing:
		w.failing = false
		w.config.Logger.Info("store regained", "kind", w.config.Kind, "after", w.config.Clock.Since(w.failingSince))
	}
}
