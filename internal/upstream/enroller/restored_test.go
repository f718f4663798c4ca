package enroller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

const returnTime = 2200 * time.Millisecond

// A restored store does not have the leaves that registered since its copy was made. They serve and are about to write
// their entries again; removing them at once, as if they had left, would take room from callers.
func TestLeafThatCopyLacksIsKeptUntilItCouldReturn(t *testing.T) {
	is := is.New(t)
	clock, p, e := newEnroller(t)
	e.Put(balancer.Entry{ID: "a"})
	e.Put(balancer.Entry{ID: "b"})
	e.AwaitReturn("a")
	e.AwaitReturn("b")
	advance(t, clock, 2*time.Second)
	is.Equal(len(p.leaves), 2)
	e.Put(balancer.Entry{ID: "a"})
	advance(t, clock, time.Second)
	is.Equal(len(p.leaves), 1) // b has not come back
	_, kept := p.leaves["a"]
	is.True(kept)
}

// A restored store has the entries of leaves that have drained or left since its copy was made. Requests to them would
// arrive after their drain time.
func TestDrainingOrGoneLeafIsNotRevivedByCopy(t *testing.T) {
	is := is.New(t)
	clock, p, e := newEnroller(t)
	e.Put(balancer.Entry{ID: "draining", Draining: true})
	e.Put(balancer.Entry{ID: "leaving"})
	e.ScheduleRemoval("leaving", clock.Now().Add(-time.Second))
	for _, id := range []string{"draining", "leaving", "gone"} {
		e.PutRestored(balancer.Entry{ID: id})
	}
	is.True(p.leaves["draining"].Draining)
	advance(t, clock, 2*time.Second)
	is.Equal(len(p.leaves), 1)
	is.True(p.leaves["draining"].Draining)
	e.Put(balancer.Entry{ID: "draining", Draining: true}) // written again
	e.ScheduleRemoval("gone", clock.Now())                // the store has found that its leaf is silent
	advance(t, clock, time.Second)
	is.True(p.leaves["draining"].Draining)
	_, gone := p.leaves["gone"]
	is.True(!gone)
	_, back := p.leaves["leaving"]
	is.True(back) // its entry has stayed for longer than the leaves need to write theirs
}

// A draining entry of a copy takes effect at once: requests to a leaf that is draining may come too late, and one that
// has come back since is without requests for 2 s only.
func TestDrainingEntryOfCopyTakesEffect(t *testing.T) {
	is := is.New(t)
	clock, p, e := newEnroller(t)
	e.Put(balancer.Entry{ID: "a"})
	e.PutRestored(balancer.Entry{ID: "a", Draining: true})
	is.True(p.leaves["a"].Draining)
	e.Put(balancer.Entry{ID: "a"})
	advance(t, clock, 2*returnTime)
	is.True(!p.leaves["a"].Draining)
}

// The second of two drills may restore a copy that has the leaf again which the first one lacked.
func TestLeafThatSecondCopyHasAgainStays(t *testing.T) {
	is := is.New(t)
	clock, p, e := newEnroller(t)
	e.Put(balancer.Entry{ID: "a"})
	e.AwaitReturn("a")
	advance(t, clock, time.Second)
	e.PutRestored(balancer.Entry{ID: "a"})
	advance(t, clock, 2*returnTime)
	is.Equal(len(p.leaves), 1)
}
