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
	// fixture is an Admitter with a mock clock, two classes and a demand that the test sets.
	fixture struct {
		clock         *quartz.Mock
		admitter      *admitter.Admitter
		classes       []*pb.Class
		version       int64
		missesFloor   bool
		floorMissedAt time.Time
	}

	// grantModel is the test's own model of a grant.
	grantModel struct {
		share      float64
		receivedAt time.Time
		lifetime   time.Duration
		expiresAt  time.Time
		requests   int
		refusals   int
	}
)

const (
	clockSkew = 30 * time.Second
	// overloadHold is how long a service counts as overloaded after a class missed its floor.
	overloadHold = 15 * time.Second
)

func (f *fixture) Index() *indexer.Index {
	objects := make([]*pb.ConfigObject, 0, len(f.classes))
	for _, c := range f.classes {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_Class{Class: c}})
	}
	return indexer.New(objects)
}

func (f *fixture) MissesFloor(string, string) bool { return f.missesFloor }

func newFixture(t testing.TB) *fixture {
	f := &fixture{clock: quartz.NewMock(t), classes: []*pb.Class{
		{Name: "low", Service: "desk", Worth: 1}, {Name: "high", Service: "desk", Worth: 10},
	}}
	f.admitter = admitter.New(admitter.Config{Source: f, Demand: f, Clock: f.clock}) // a nil asserter panics if violated
	return f
}

func (f *fixture) grant(class string, share float64, lifetime time.Duration, expiresAt time.Time) {
	f.version++
	f.admitter.Observe([]*pb.ConfigObject{{Version: f.version, Spec: &pb.ConfigObject_Grant{Grant: &pb.Grant{
		Name: "desk." + class, Service: "desk", Class: class, Share: share, Director: "dora",
		Lifetime: durationpb.New(lifetime), ExpiresAt: timestamppb.New(expiresAt),
	}}}})
}

func (f *fixture) revoke(class string) {
	f.version++
	f.admitter.Observe([]*pb.ConfigObject{{Version: f.version, Deleted: true, Spec: &pb.ConfigObject_Grant{
		Grant: &pb.Grant{Name: "desk." + class, Service: "desk", Class: class},
	}}})
}

func (f *fixture) refuses(class *pb.Class) bool {
	err := f.admitter.Admit(class)
	return err != nil && coder.CodeOf(err) == pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN
}

func (f *fixture) advance(d time.Duration) {
	f.clock.Advance(d).MustWait(context.Background())
}

// TestAdmitterRefusesOnlyWithinGrants guards against a refusal without a grant in force, without overload or
// beyond the granted share. Random grants, revocations, clock steps and requests are compared with a model.
func TestAdmitterRefusesOnlyWithinGrants(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		is.New(t).NoErr(f.Value.Set("1")) // fixed seed by default; override with -rapid.seed
	}
	refusals := 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		models := map[string]*grantModel{}
		rt.Repeat(map[string]func(*rapid.T){
			"grant": func(rt *rapid.T) {
				class := f.classes[rapid.IntRange(0, 1).Draw(rt, "class")].GetName()
				m := &grantModel{
					share: rapid.Float64Range(0.01, 1).Draw(rt, "share"), receivedAt: f.clock.Now(),
					lifetime:  time.Duration(rapid.IntRange(1, 100).Draw(rt, "lifetime")) * time.Second,
					expiresAt: f.clock.Now().Add(time.Duration(rapid.IntRange(-60, 100).Draw(rt, "expiry")) * time.Second),
				}
				models[class] = m
				f.grant(class, m.share, m.lifetime, m.expiresAt)
			},
			"revoke": func(rt *rapid.T) {
				class := f.classes[rapid.IntRange(0, 1).Draw(rt, "class")].GetName()
				delete(models, class)
				f.revoke(class)
			},
			"advance": func(rt *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond)
			},
			"demand": func(rt *rapid.T) {
				f.missesFloor = rapid.Bool().Draw(rt, "short")
			},
			"requests": func(rt *rapid.T) {
				class := f.classes[rapid.IntRange(0, 1).Draw(rt, "class")]
				for range rapid.IntRange(1, 50).Draw(rt, "count") {
					if f.missesFloor {
						f.floorMissedAt = f.clock.Now()
					}
					refusals += models[class.GetName()].sendRequest(rt, f, class)
				}
			},
		})
	})
	is.New(t).True(refusals > 0) // the runs included refusals
	t.Logf("refusals: %d", refusals)
}

// sendRequest sends one request and returns 1 when it was refused, 0 otherwise.
func (m *grantModel) sendRequest(rt *rapid.T, f *fixture, class *pb.Class) int {
	inForce := m != nil && f.clock.Since(m.receivedAt) < m.lifetime && !f.clock.Now().After(m.expiresAt.Add(clockSkew))
	if inForce {
		m.requests++
	}
	if !f.refuses(class) {
		return 0
	}
	if !inForce {
		rt.Fatalf("refused %s without a grant in force", class.GetName())
	}
	if f.clock.Since(f.floorMissedAt) >= overloadHold {
		rt.Fatalf("refused %s without overload", class.GetName())
	}
	m.refusals++
	if float64(m.refusals) > m.share*float64(m.requests)+1e-6*float64(m.requests) {
		rt.Fatalf("refused %d of %d with share %f", m.refusals, m.requests, m.share)
	}
	return 1
}

func TestAdmitterAdmitsAllWithoutGrant(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.missesFloor = true
	for range 10_000 {
		is.NoErr(f.admitter.Admit(f.classes[0]))
	}
}

func TestAdmitterRefusesWholeGrantedShare(t *testing.T) {
	for _, share := range []float64{0.05, 0.3, 0.5, 0.8, 1} {
		f := newFixture(t)
		f.missesFloor = true
		f.grant("low", share, time.Hour, f.clock.Now().Add(time.Hour))
		refused := 0
		for range 1000 {
			if f.refuses(f.classes[0]) {
				refused++
			}
		}
		is.New(t).True(float64(refused) <= 1000*share)
		is.New(t).True(float64(refused) >= 1000*share-1)
	}
}

// TestAdmitterRefusesLowestWorthFirst guards against refusing a class while a class of lower worth, which is in
// use and has an unused granted share, could be refused instead.
func TestAdmitterRefusesLowestWorthFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	low, high := f.classes[0], f.classes[1]
	f.grant("low", 1, time.Hour, f.clock.Now().Add(time.Hour))
	f.grant("high", 1, time.Hour, f.clock.Now().Add(time.Hour))
	is.True(!f.refuses(low)) // no overload yet, so its share stays unused
	f.missesFloor = true
	is.True(!f.refuses(high)) // a class of lower worth can still be refused
	is.True(f.refuses(low))
	is.True(f.refuses(high)) // the share of the lower class is used up
	is.True(f.refuses(low))
	f.advance(6 * time.Second)
	is.True(f.refuses(high)) // the lower class has had no requests for longer than 5 s
}

// TestGrantExpiresOnLocalClockWithoutUpdates guards against a grant that outlives its lifetime when the clock of
// the granting node is wrong or this node receives no further configuration.
func TestGrantExpiresOnLocalClockWithoutUpdates(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.missesFloor = true
	// The wall clock of the granting node is an hour ahead, and no configuration arrives after the grant.
	f.grant("low", 1, 10*time.Second, f.clock.Now().Add(time.Hour))
	is.True(f.refuses(f.classes[0]))
	f.advance(9 * time.Second)
	is.True(f.refuses(f.classes[0]))
	f.advance(time.Second)
	is.True(!f.refuses(f.classes[0]))
	// A node that receives the grant late, for example after a restart, ends it at its expiry plus the clock skew.
	f.grant("low", 1, time.Hour, f.clock.Now().Add(-29*time.Second))
	is.True(f.refuses(f.classes[0]))
	f.advance(2 * time.Second)
	is.True(!f.refuses(f.classes[0]))
}

func TestAdmitterAdmitsOnceGrantIsRevoked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.missesFloor = true
	f.grant("low", 1, time.Hour, f.clock.Now().Add(time.Hour))
	is.True(f.refuses(f.classes[0]))
	f.revoke("low")
	is.True(!f.refuses(f.classes[0]))
}
