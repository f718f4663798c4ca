package enroller_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/enroller"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
)

const drainTime = 3 * time.Second

type pool struct{ leaves map[string]pooler.Entry }

func (p *pool) Put(e pooler.Entry, _ time.Time) { p.leaves[e.ID] = e }
func (p *pool) Remove(id, _ string)             { delete(p.leaves, id) }

func newPair(t *testing.T) (*quartz.Mock, *pool, *enroller.Enroller) {
	clock, p := quartz.NewMock(t), &pool{leaves: map[string]pooler.Entry{}}
	return clock, p, enroller.New(enroller.Config{
		Pool: p, DrainTime: func() time.Duration { return drainTime }, Clock: clock,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// advance moves the clock on, from timer to timer.
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

// A leaf that leaves without a word serves for the drain time after its entry vanished, and the entry vanished
// some time after it was last confirmed. Seed day hunt-eb16-15 of treidel-search: news came 1 s late.
func TestLeafIsDroppedBeforeItStopsServing(t *testing.T) {
	for _, unconfirmed := range []time.Duration{0, time.Second, 1900 * time.Millisecond, 2400 * time.Millisecond} {
		t.Run(unconfirmed.String(), func(t *testing.T) {
			is := is.New(t)
			clock, p, e := newPair(t)
			e.Put(pooler.Entry{ID: "a"})
			e.Vanished("a", clock.Now().Add(-unconfirmed))
			advance(t, clock, drainTime-unconfirmed-400*time.Millisecond)
			is.Equal(len(p.leaves), 0)
		})
	}
}

func TestEntriesThatLapsedWhileTheStoreWasAwayComeBack(t *testing.T) {
	is := is.New(t)
	clock, p, e := newPair(t)
	e.Put(pooler.Entry{ID: "a"})
	e.Put(pooler.Entry{ID: "b"})
	e.Vanished("a", clock.Now().Add(-20*time.Second))
	e.Vanished("b", clock.Now().Add(-20*time.Second))
	advance(t, clock, 2*time.Second)
	is.Equal(len(p.leaves), 2) // they have two seconds
	e.Put(pooler.Entry{ID: "a"})
	advance(t, clock, 300*time.Millisecond)
	_, back := p.leaves["a"]
	is.True(back)
	is.Equal(len(p.leaves), 1) // the other is gone
}

func TestUnreadableEntryNamesNoLeaf(t *testing.T) {
	is := is.New(t)
	_, p, e := newPair(t)
	e.Put(pooler.Entry{ID: "a"})
	e.Unreadable("a", errors.New("no address"))
	is.Equal(len(p.leaves), 0)
}
