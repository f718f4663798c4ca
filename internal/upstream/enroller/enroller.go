// Package enroller keeps the pool of callable leaves in step with the leaf entries in the platform's store.
//
// A vanished entry does not mean that its leaf is gone: entries expire while the store is unavailable and are
// written again soon after it is back. So a leaf whose entry has vanished stays in the pool for a while. Unless the
// store was unavailable, it is removed before its drain time, counted from when its entry was last confirmed, has
// passed, because a leaf that leaves without notice stops serving then. That the store was unavailable is concluded
// from calls that failed, not from the age of the confirmation: that is also high when the nodes are gone that read the
// store for the others. A leaf whose entry is marked as draining gets no new requests.
//
// A store that was restored from a copy shows entries as they were some seconds ago, until the leaves have written them
// again. Until then a leaf stays in the pool, or out of it, as it was known before. Only an entry that says that its
// leaf is draining takes effect at once.
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
	// minStoreOutage is the shortest outage of the store in which entries expire.
	minStoreOutage = 2500 * time.Millisecond
	// removalMargin is how long before the end of its drain time a leaf is removed, because requests in flight
	// arrive a little later.
	removalMargin = 500 * time.Millisecond
	// reasonNotBack is the reason that is logged for a removed leaf.
	reasonNotBack = "entry did not come back"
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
		// StoreFailedAt returns when a call of any node to the store is known to have failed last, or the zero time.
		StoreFailedAt func() time.Time
		Clock         quartz.Clock
		Logger        *slog.Logger
	}

	// Enroller keeps the pool in step with the entries. It is safe for concurrent use.
	Enroller struct {
		config Config
		mutex  sync.Mutex
		// removals has the pending removal of each leaf whose entry has vanished, by leaf ID.
		removals map[string]removal
		// returns has the pending use of each restored entry, by leaf ID.
		returns map[string]*quartz.Timer
	}

	removal struct {
		timer *quartz.Timer
		// restored is set if the entry is missing only because the store was restored from a copy.
		restored bool
	}
)

// New returns an Enroller.
func New(c Config) *Enroller {
	return &Enroller{config: c, removals: map[string]removal{}, returns: map[string]*quartz.Timer{}}
}

// Put adds or updates the leaf of an entry that is new, has changed or has come back, and cancels its removal.
func (e *Enroller) Put(entry balancer.Entry) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.put(entry)
}

// PutRestored adds or updates the leaf of an entry that a restored store has and that is not newer than what was known
// before. The leaf may be draining or gone, so it is used only once it had the time to write the entry again.
func (e *Enroller) PutRestored(entry balancer.Entry) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if entry.Draining || e.removals[entry.ID].restored {
		e.put(entry)
		return
	}
	e.cancelReturn(entry.ID)
	var timer *quartz.Timer
	timer = e.config.Clock.AfterFunc(entryReturnTime, func() { e.putReturned(entry, timer) })
	e.returns[entry.ID] = timer
	e.config.Logger.Info("leaf entry is older than what was known", "leaf", entry.ID, "used_in", entryReturnTime)
}

func (e *Enroller) putReturned(entry balancer.Entry, timer *quartz.Timer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.returns[entry.ID] == timer {
		e.put(entry)
	}
}

func (e *Enroller) put(entry balancer.Entry) {
	e.cancelReturn(entry.ID)
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
	unconfirmedFor, storeFailed := e.config.Clock.Since(confirmedBefore), e.config.StoreFailedAt().After(confirmedBefore)
	delay := e.removalDelay(unconfirmedFor, storeFailed)
	e.config.Logger.Info("leaf entry vanished", "leaf", id, "removed_in", delay, "unconfirmed_for", unconfirmedFor,
		"store_failed", storeFailed)
	if delay > 0 {
		e.schedule(id, delay, false)
		return
	}
	e.cancelRemoval(id)
	e.cancelReturn(id)
	e.config.Pool.Remove(id, reasonNotBack)
}

// AwaitReturn schedules the removal of a leaf whose entry a restored store does not have, for when the leaf had the
// time to write it again.
func (e *Enroller) AwaitReturn(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.schedule(id, entryReturnTime, true)
	e.config.Logger.Info("leaf entry is missing in a new era of the store", "leaf", id, "removed_in", entryReturnTime)
}

func (e *Enroller) schedule(id string, delay time.Duration, restored bool) {
	e.cancelRemoval(id)
	e.cancelReturn(id)
	var timer *quartz.Timer
	timer = e.config.Clock.AfterFunc(delay, func() { e.remove(id, timer) })
	e.removals[id] = removal{timer, restored}
}

// removalDelay returns how long to keep a leaf whose vanished entry has been unconfirmed for the given time.
// storeFailed is set if a call to the store has failed in that time.
func (e *Enroller) removalDelay(unconfirmedFor time.Duration, storeFailed bool) time.Duration {
	if storeFailed && unconfirmedFor > minStoreOutage {
		return entryReturnTime
	}
	return max(0, min(entryReturnTime, e.config.DrainTime()-removalMargin-unconfirmedFor))
}

// RemoveUnusable removes a leaf at once because its entry does not describe a leaf that can be called.
func (e *Enroller) RemoveUnusable(id string, reason error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancelRemoval(id)
	e.cancelReturn(id)
	e.config.Logger.Warn("leaf entry is not usable", "leaf", id, "error", reason)
	e.config.Pool.Remove(id, "entry is not usable")
}

func (e *Enroller) remove(id string, timer *quartz.Timer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.removals[id].timer != timer {
		return
	}
	delete(e.removals, id)
	e.config.Pool.Remove(id, reasonNotBack)
}

// cancelRemoval cancels the pending removal of a leaf. It returns whether there was one.
func (e *Enroller) cancelRemoval(id string) bool {
	pending, found := e.removals[id]
	if !found {
		return false
	}
	pending.timer.Stop()
	delete(e.removals, id)
	return true
}

// cancelReturn cancels the pending use of a restored entry.
func (e *Enroller) cancelReturn(id string) {
	if timer := e.returns[id]; timer != nil {
		timer.Stop()
		delete(e.returns, id)
	}
}
