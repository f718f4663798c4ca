package admitter_test

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/admitter"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

type (
	// world is an admitter with a clock, two classes and a demand that tests set.
	world struct {
		clock    *quartz.Mock
		admitter *admitter.Admitter
		classes  []*pb.Class
		version  int64
		short    bool
		shortAt  time.Time
	}

	// grantModel is what the test knows of a grant.
	grantModel struct {
		share     float64
		seenAt    time.Time
		lifetime  time.Duration
		expiresAt time.Time
		seen      int
		refused   int
	}
)

const (
	skew = 30 * time.Second
	// latch is how long a service counts as overloaded after a miss.
	latch = 15 * time.Second
)

func (w *world) Index() *indexer.Index {
	objects := make([]*pb.ConfigObject, 0, len(w.classes))
	for _, c := range w.classes {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_Class{Class: c}})
	}
	return indexer.New(objects)
}

func (w *world) Short(string, string) bool { return w.short }

func newWorld(t testing.TB) *world {
	w := &world{clock: quartz.NewMock(t), classes: []*pb.Class{
		{Name: "low", Service: "desk", Worth: 1}, {Name: "high", Service: "desk", Worth: 10},
	}}
	w.admitter = admitter.New(admitter.Config{Source: w, Demand: w, Clock: w.clock}) // a nil asserter panics
	return w
}

func (w *world) grant(class string, share float64, lifetime time.Duration, expiresAt time.Time) {
	w.version++
	w.admitter.Observe([]*pb.ConfigObject{{Version: w.version, Spec: &pb.ConfigObject_Grant{Grant: &pb.Grant{
		Name: "desk." + class, Service: "desk", Class: class, Share: share, Director: "dora",
		Lifetime: durationpb.New(lifetime), ExpiresAt: timestamppb.New(expiresAt),
	}}}})
}

func (w *world) revoke(class string) {
	w.version++
	w.admitter.Observe([]*pb.ConfigObject{{Version: w.version, Deleted: true, Spec: &pb.ConfigObject_Grant{
		Grant: &pb.Grant{Name: "desk." + class, Service: "desk", Class: class},
	}}})
}

func (w *world) refuses(class *pb.Class) bool {
	err := w.admitter.Admit(class)
	return err != nil && coder.Of(err) == pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN
}

func (w *world) advance(d time.Duration) {
	w.clock.Advance(d).MustWait(context.Background())
}

// TestRandomRefusals lets grants come, go and expire under random requests, and compares every refusal
// with a model of the grants.
func TestRandomRefusals(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		is.New(t).NoErr(f.Value.Set("1")) // the same runs every time; -rapid.seed gives others
	}
	refusals := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t)
		models := map[string]*grantModel{}
		rt.Repeat(map[string]func(*rapid.T){
			"grant": func(rt *rapid.T) {
				class := w.classes[rapid.IntRange(0, 1).Draw(rt, "class")].GetName()
				m := &grantModel{
					share: rapid.Float64Range(0.01, 1).Draw(rt, "share"), seenAt: w.clock.Now(),
					lifetime:  time.Duration(rapid.IntRange(1, 100).Draw(rt, "lifetime")) * time.Second,
					expiresAt: w.clock.Now().Add(time.Duration(rapid.IntRange(-60, 100).Draw(rt, "expiry")) * time.Second),
				}
				models[class] = m
				w.grant(class, m.share, m.lifetime, m.expiresAt)
			},
			"revoke": func(rt *rapid.T) {
				class := w.classes[rapid.IntRange(0, 1).Draw(rt, "class")].GetName()
				delete(models, class)
				w.revoke(class)
			},
			"advance": func(rt *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond)
			},
			"demand": func(rt *rapid.T) {
				w.short = rapid.Bool().Draw(rt, "short")
			},
			"requests": func(rt *rapid.T) {
				class := w.classes[rapid.IntRange(0, 1).Draw(rt, "class")]
				for range rapid.IntRange(1, 50).Draw(rt, "count") {
					if w.short {
						w.shortAt = w.clock.Now()
					}
					refusals += models[class.GetName()].request(rt, w, class)
				}
			},
		})
	})
	is.New(t).True(refusals > 0) // the runs did refuse
	t.Logf("refusals: %d", refusals)
}

// request sends one request and returns how many were refused.
func (m *grantModel) request(rt *rapid.T, w *world, class *pb.Class) int {
	inForce := m != nil && w.clock.Since(m.seenAt) < m.lifetime && !w.clock.Now().After(m.expiresAt.Add(skew))
	if inForce {
		m.seen++
	}
	if !w.refuses(class) {
		return 0
	}
	if !inForce {
		rt.Fatalf("refused %s without a grant in force", class.GetName())
	}
	if w.clock.Since(w.shortAt) >= latch {
		rt.Fatalf("refused %s without overload", class.GetName())
	}
	m.refused++
	if float64(m.refused) > m.share*float64(m.seen)+1e-6*float64(m.seen) {
		rt.Fatalf("refused %d of %d with share %f", m.refused, m.seen, m.share)
	}
	return 1
}

func TestNoRefusalWithoutGrant(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.short = true
	for range 10_000 {
		is.NoErr(w.admitter.Admit(w.classes[0]))
	}
}

func TestTheGrantedShareCanBeUsed(t *testing.T) {
	for _, share := range []float64{0.05, 0.3, 0.5, 0.8, 1} {
		w := newWorld(t)
		w.short = true
		w.grant("low", share, time.Hour, w.clock.Now().Add(time.Hour))
		refused := 0
		for range 1000 {
			if w.refuses(w.classes[0]) {
				refused++
			}
		}
		is.New(t).True(float64(refused) <= 1000*share)
		is.New(t).True(float64(refused) >= 1000*share-1)
	}
}

func TestLowestWorthIsRefusedFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	low, high := w.classes[0], w.classes[1]
	w.grant("low", 1, time.Hour, w.clock.Now().Add(time.Hour))
	w.grant("high", 1, time.Hour, w.clock.Now().Add(time.Hour))
	is.True(!w.refuses(low)) // no overload yet, so its share stays unused
	w.short = true
	is.True(!w.refuses(high)) // a class of lower worth can be refused before
	is.True(w.refuses(low))
	is.True(w.refuses(high)) // the share of the lower class is used up
	is.True(w.refuses(low))
	w.advance(6 * time.Second)
	is.True(w.refuses(high)) // nobody asks for the lower class any more
}

func TestExpiryOnOwnClockWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.short = true
	// The wall clock of the node that granted runs an hour ahead; nothing arrives after the grant.
	w.grant("low", 1, 10*time.Second, w.clock.Now().Add(time.Hour))
	is.True(w.refuses(w.classes[0]))
	w.advance(9 * time.Second)
	is.True(w.refuses(w.classes[0]))
	w.advance(time.Second)
	is.True(!w.refuses(w.classes[0]))
	// A node that sees the grant late, for example after a restart, ends it at its expiry plus the skew.
	w.grant("low", 1, time.Hour, w.clock.Now().Add(-29*time.Second))
	is.True(w.refuses(w.classes[0]))
	w.advance(2 * time.Second)
	is.True(!w.refuses(w.classes[0]))
}

func TestRevokedGrantEndsAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.short = true
	w.grant("low", 1, time.Hour, w.clock.Now().Add(time.Hour))
	is.True(w.refuses(w.classes[0]))
	w.revoke("low")
	is.True(!w.refuses(w.classes[0]))
}
