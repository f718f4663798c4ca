package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// split is a Split whose next turn is set by hand.
type split struct {
	next, sealed bool
	excluded     string
	refunds      int
}

func (s *split) IsTarget(version string) bool { return version == "v2" }

func (s *split) Next() bool { return s.next }

func (s *split) Refund() { s.refunds++ }

func (s *split) Share() (float64, bool) { return 0, s.sealed }

func (s *split) Excludes(_ string, _ int64, version string) bool { return version == s.excluded }

func versionEntry(id, version string) balancer.Entry {
	e := entry(id, "z1")
	e.Version = version
	return e
}

// A call to the wrong version exposes callers to a bad one, or is lost with the leaves that stop.
func TestPickKeepsToVersionWhoseTurnItIs(t *testing.T) {
	onlyOld := func(b *balancer.Balancer, now time.Time) { b.Put(versionEntry("old", "v1"), now) }
	onlyNew := func(b *balancer.Balancer, now time.Time) { b.Put(versionEntry("new", "v2"), now) }
	both := func(b *balancer.Balancer, now time.Time) {
		onlyOld(b, now)
		onlyNew(b, now)
	}
	drainingOld := func(b *balancer.Balancer, now time.Time) {
		both(b, now)
		e := versionEntry("old", "v1")
		e.Draining = true
		b.Put(e, now)
	}
	busyOld := func(b *balancer.Balancer, now time.Time) {
		both(b, now)
		usableLeaf(b, "old").Suspend(now)
	}
	busyNew := func(b *balancer.Balancer, now time.Time) {
		both(b, now)
		usableLeaf(b, "new").Suspend(now)
	}
	for _, c := range []struct {
		name   string
		leaves func(b *balancer.Balancer, now time.Time)
		split  split
		picked string
	}{
		{"turn of the new version", both, split{next: true}, "new"},
		{"turn of the old version", both, split{}, "old"},
		{"turn of a new version without leaf", onlyOld, split{next: true}, "old"},
		{"turn of a new version whose leaf can't be called", busyNew, split{next: true}, "old"},
		{"turn of an old version whose leaf can't be called", busyOld, split{}, ""},
		{"no old leaf at all", onlyNew, split{}, "new"},
		{"old leaves are draining", drainingOld, split{}, "new"},
		{"sealed", both, split{next: true, sealed: true}, "new"},
		{"sealed and the new leaf can't be called", busyNew, split{next: true, sealed: true}, ""},
		{"new version is excluded", both, split{next: true, excluded: "v2"}, "old"},
		{"only leaves of an excluded version", onlyNew, split{excluded: "v2"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, now := newBalancer(1), time.Now()
			c.leaves(b, now)
			b.SetSplit("s", &c.split)
			is.Equal(pick(b, now), c.picked)
			is.Equal(c.split.refunds > 0, c.split.next && c.picked != "new")
			b.SetSplit("s", nil)
			is.True(pick(b, now) != "") // without a split all versions are used
		})
	}
}

// Calls that are still open at leaves of the old version are lost if these stop too soon.
func TestCountVersionsSeesOpenCallsOfOtherVersions(t *testing.T) {
	is := is.New(t)
	b, now := newBalancer(1), time.Now()
	b.Put(versionEntry("old", "v1"), now)
	cold := versionEntry("new", "v2")
	cold.WarmUpLeft = time.Second
	b.Put(cold, now)
	usableLeaf(b, "old").Scorer().Begin(now)
	e := versionEntry("old", "v1")
	e.Draining = true
	b.Put(e, now)
	is.Equal(b.CountVersions("s", &split{}, now), balancer.VersionCounts{Target: 1, Cold: 1, OtherOpenCalls: 1})
}
