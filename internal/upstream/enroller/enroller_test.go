package enroller_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/enroller"
)

const drainTime = 3 * time.Second

type pool struct{ leaves map[string]balancer.Entry }

func (p *pool) Put(e balancer.Entry, _ time.Time) { p.leaves[e.ID] = e }
func (p *pool) Remove(id, _ string)               { delete(p.leaves, id) }

// newEnroller returns an Enroller of a node that knows of no failed call to the store.
func newEnroller(t *testing.T) (*quartz.Mock, *pool, *enroller.Enroller) {
	return newEnrollerWithFailure(t, func(time.Time) time.Time { return time.Time{} })
}

// newEnrollerWithFailure returns an Enroller of a node that knows of a failed call to the store at a time that depends
// on the current time.
func newEnrollerWithFailure(
	t *testing.T, failedAt func(now time.Time) time.Time,
) (*quartz.Mock, *pool, *enroller.Enroller) {
	clock, p := quartz.NewMock(t), &pool{leaves: map[string]balancer.Entry{}}
	return clock, p, enroller.New(enroller.Config{
		Pool: p, DrainTime: func() time.Duration { return drainTime }, Clock: clock,
		StoreFailedAt: func() time.Time { return failedAt(clock.Now()) },
		Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// advance moves the clock forward by d and stops at each timer on the way, so that it fires at its own time.
func advance(t *testing.T, clock *quartz.Mock, d time.Duration) {
	for d > 0 {
		step, ok := clock.Peek()
		if !ok || step > d {
			step = d
		}
		clock.Advance(step).MustWait(t.Context())
		d -= step
	}
}

// A leaf that leaves without notice serves for the drain time after its entry vanished. The entry vanishes some time
// after it was last confirmed, so a removal that ignores that age comes too late, and calls go to a leaf that has
// stopped. Found by seed day hunt-eb16-15 of treidel-search, in which updates arrived 1 s late.
func TestVanishedLeafIsRemovedBeforeItStopsServing(t *testing.T) {
	for _, unconfirmedFor := range []time.Duration{0, time.Second, 1900 * time.Millisecond, 2400 * time.Millisecond} {
		t.Run(unconfirmedFor.String(), func(t *testing.T) {
			is := is.New(t)
			clock, p, e := newEnroller(t)
			e.Put(balancer.Entry{ID: "a"})
			e.ScheduleRemoval("a", clock.Now().Add(-unconfirmedFor))
			advance(t, clock, drainTime-unconfirmedFor-400*time.Millisecond)
			is.Equal(len(p.leaves), 0)
		})
	}
}

// All entries expire during a store outage; removing their leaves at once would leave none to call, although the
// leaves still serve.
func TestLeafIsKeptUntilItsEntryReturnsAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	clock, p, e := newEnrollerWithFailure(t, func(now time.Time) time.Time { return now.Add(-time.Second) })
	e.Put(balancer.Entry{ID: "a"})
	e.Put(balancer.Entry{ID: "b"})
	e.ScheduleRemoval("a", clock.Now().Add(-20*time.Second))
	e.ScheduleRemoval("b", clock.Now().Add(-20*time.Second))
	advance(t, clock, 2*time.Second)
	is.Equal(len(p.leaves), 2) // both are kept for the first 2 s
	e.Put(balancer.Entry{ID: "a"})
	advance(t, clock, 300*time.Millisecond)
	_, kept := p.leaves["a"]
	is.True(kept)
	is.Equal(len(p.leaves), 1) // the leaf without an entry is removed
}

// Guards against requests to a leaf that is gone, after the nodes were lost that read the store for this one: it heard
// of the store late, took that for an outage and kept the leaf past its drain time. Found by review/10.
func TestVanishedLeafIsRemovedInTimeAfterLossOfReaders(t *testing.T) {
	for name, failedAgo := range map[string]time.Duration{
		"no failed call": time.Hour, "older failed call": 4 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock, p, e := newEnrollerWithFailure(t, func(now time.Time) time.Time { return now.Add(-failedAgo) })
			e.Put(balancer.Entry{ID: "a"})
			e.ScheduleRemoval("a", clock.Now().Add(-2700*time.Millisecond))
			advance(t, clock, 200*time.Millisecond)
			is.Equal(len(p.leaves), 0)
		})
	}
}

func TestUnusableEntryRemovesLeaf(t *testing.T) {
	is := is.New(t)
	_, p, e := newEnroller(t)
	e.Put(balancer.Entry{ID: "a"})
	e.RemoveUnusable("a", errors.New("no address"))
	is.Equal(len(p.leaves), 0)
}
