// Package enroller decides which leaves may be called. Entries of leaves flow in as the platform's store has
// them; leaves flow into the pool and out of it.
//
// An entry that vanishes does not mean that its leaf is gone: entries lapse while the store is away and are
// back soon after it. So a leaf whose entry has vanished is kept for a while. Unless the store was away, that
// ends before a leaf that leaves without a word stops serving, counted from when its entry was last confirmed.
// A leaf that says that it drains gets nothing more at once.
package enroller

import (
	"log/slog"
	"sync"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
)

const (
	// returnTime is how long the entry of a live leaf may take to come back after the store was away.
	returnTime = 2200 * time.Millisecond
	// awayTime is how old the last confirmation is when the store must have been away.
	awayTime = 2500 * time.Millisecond
	// dropMargin is left of the time for which a leaf that leaves goes on serving when it is dropped: requests
	// on their way arrive a little later.
	dropMargin = 500 * time.Millisecond
)

type (
	// Pool holds the leaves that may be called.
	Pool interface {
		Put(e pooler.Entry, now time.Time)
		Remove(id, reason string)
	}

	// Config holds what an Enroller needs.
	Config struct {
		Pool Pool
		// DrainTime returns how long a leaf that leaves goes on serving after its entry has vanished.
		DrainTime func() time.Duration
		Clock     quartz.Clock
		Logger    *slog.Logger
	}

	// Enroller keeps the pool in step with the entries. It is safe for concurrent use.
	Enroller struct {
		config Config
		mutex  sync.Mutex
		// leaving has the timer of each leaf whose entry has vanished.
		leaving map[string]*quartz.Timer
	}
)

// New returns an Enroller.
func New(c Config) *Enroller {
	return &Enroller{config: c, leaving: map[string]*quartz.Timer{}}
}

// Put takes an entry that is new, has changed or has come back.
func (e *Enroller) Put(entry pooler.Entry) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stop(entry.ID) {
		e.config.Logger.Info("leaf is back", "leaf", entry.ID)
	}
	e.config.Pool.Put(entry, e.config.Clock.Now())
}

// Vanished takes note that the entry of a leaf is gone, and until when it was known to be there.
func (e *Enroller) Vanished(id string, confirmedBefore time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stop(id)
	unconfirmed := e.config.Clock.Since(confirmedBefore)
	hold := e.hold(unconfirmed)
	var timer *quartz.Timer
	timer = e.config.Clock.AfterFunc(hold, func() { e.remove(id, timer) })
	e.leaving[id] = timer
	e.config.Logger.Info("leaf entry vanished", "leaf", id, "removed_in", hold, "unconfirmed_for", unconfirmed)
}

// hold returns how long a leaf is kept whose entry was last confirmed that long ago.
func (e *Enroller) hold(unconfirmed time.Duration) time.Duration {
	if unconfirmed > awayTime {
		return returnTime
	}
	return max(0, min(returnTime, e.config.DrainTime()-dropMargin-unconfirmed))
}

// Unreadable takes note that the entry of a leaf names no leaf that could be called.
func (e *Enroller) Unreadable(id string, reason error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stop(id)
	e.config.Logger.Warn("leaf entry is not usable", "leaf", id, "error", reason)
	e.config.Pool.Remove(id, "entry is not usable")
}

func (e *Enroller) remove(id string, timer *quartz.Timer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.leaving[id] != timer {
		return
	}
	delete(e.leaving, id)
	e.config.Pool.Remove(id, "entry did not come back")
}

// stop cancels a removal that is due. It returns whether there was one.
func (e *Enroller) stop(id string) bool {
	timer := e.leaving[id]
	if timer == nil {
		return false
	}
	timer.Stop()
	delete(e.leaving, id)
	return true
}
