// Package enroller keeps the pool of callable leaves in step with the leaf entries in the platform's store.
//
// A vanished entry does not mean that its leaf is gone: entries expire while the store is unavailable and are
// written again soon after it is back. So a leaf whose entry has vanished stays in the pool for a while. Unless the
// store was unavailable, it is removed before its drain time, counted from when its entry was last confirmed, has
// passed, because a leaf that leaves without notice stops serving then. A leaf whose entry is marked as draining gets
// no new requests.
package enroller

import (
	"log/slog"
	"sync"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

const (
	// entryReturnTime is how long the entry of a live leaf may take to come back after a store outage.
	entryReturnTime = 2200 * time.Millisecond
	// storeOutageAge is the age of the last confirmation above which the store must have been unavailable.
	storeOutageAge = 2500 * time.Millisecond
	// removalMargin is how long before the end of its drain time a leaf is removed, because requests in flight
	// arrive a little later.
	removalMargin = 500 * time.Millisecond
)

type (
	// Pool is the set of leaves that may be called.
	Pool interface {
		Put(e balancer.Entry, now time.Time)
		Remove(id, reason string)
	}

	// Config holds what an Enroller needs.
	Config struct {
		Pool Pool
		// DrainTime returns how long a leaving leaf continues to serve after its entry has vanished.
		DrainTime func() time.Duration
		Clock     quartz.Clock
		Logger    *slog.Logger
	}

	// Enroller keeps the pool in step with the entries. It is safe for concurrent use.
	Enroller struct {
		config Config
		mutex  sync.Mutex
		// removals has the pending removal of each leaf whose entry has vanished, by leaf ID.
		removals map[string]*quartz.Timer
	}
)

// New returns an Enroller.
func New(c Config) *Enroller {
	return &Enroller{config: c, removals: map[string]*quartz.Timer{}}
}

// Put adds or updates the leaf of an entry that is new, has changed or has come back, and cancels its removal.
func (e *Enroller) Put(entry balancer.Entry) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cancelRemoval(entry.ID) {
		e.config.Logger.Info("leaf is back", "leaf", entry.ID)
	}
	e.config.Pool.Put(entry, e.config.Clock.Now())
}

// ScheduleRemoval schedules the removal of a leaf whose entry is gone. The entry was last known to exist at
// confirmedBefore.
func (e *Enroller) ScheduleRemoval(id string, confirmedBefore time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancelRemoval(id)
	unconfirmedFor := e.config.Clock.Since(confirmedBefore)
	delay := e.removalDelay(unconfirmedFor)
	var timer *quartz.Timer
	timer = e.config.Clock.AfterFunc(delay, func() { e.remove(id, timer) })
	e.removals[id] = timer
	e.config.Logger.Info("leaf entry vanished", "leaf", id, "removed_in", delay, "unconfirmed_for", unconfirmedFor)
}

// removalDelay returns how long to keep a leaf whose vanished entry has been unconfirmed for the given time.
func (e *Enroller) removalDelay(unconfirmedFor time.Duration) time.Duration {
	if unconfirmedFor > storeOutageAge {
		return entryReturnTime
	}
	return max(0, min(entryReturnTime, e.config.DrainTime()-removalMargin-unconfirmedFor))
}

// RemoveUnusable removes a leaf at once because its entry does not describe a leaf that can be called.
func (e *Enroller) RemoveUnusable(id string, reason error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancelRemoval(id)
	e.config.Logger.Warn("leaf entry is not usable", "leaf", id, "error", reason)
	e.config.Pool.Remove(id, "entry is not usable")
}

func (e *Enroller) remove(id string, timer *quartz.Timer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.removals[id] != timer {
		return
	}
	delete(e.removals, id)
	e.config.Pool.Remove(id, "entry did not come back")
}

// cancelRemoval cancels the pending removal of a leaf. It returns whether there was one.
func (e *Enroller) cancelRemoval(id string) bool {
	timer := e.removals[id]
	if timer == nil {
		return false
	}
	timer.Stop()
	delete(e.removals, id)
	return true
}
