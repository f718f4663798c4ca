package server_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/fake/platformfaker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1/magnoliastepv1connect"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/authorizer"
	"github.com/magnoliastep/magnoliastep/internal/operator/server"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	ok          = pb.ResultCode_RESULT_CODE_OK
	roleMissing = pb.ResultCode_RESULT_CODE_ROLE_MISSING
	invalid     = pb.ResultCode_RESULT_CODE_INVALID_OBJECT
	conflict    = pb.ResultCode_RESULT_CODE_VERSION_CONFLICT
)

type (
	// fixture is an operator server that uses a simulated platform.
	fixture struct {
		client magnoliastepv1connect.OperatorServiceClient
		keeper *keeper.Keeper
		store  *client.Client
	}

	emptyStatus struct{}
)

func (emptyStatus) Status() *pb.GetStatusResponse {
	return &pb.GetStatusResponse{Code: ok}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := quartz.NewReal()
	platform := httptest.NewServer(platformfaker.New(platformfaker.Config{Clock: clock}).Handler())
	t.Cleanup(platform.Close)
	store := client.New(client.Config{URLs: []string{platform.URL}})
	k := keeper.New(keeper.Config{})
	s := server.New(server.Config{
		Authorizer: authorizer.New(authorizer.Config{
			Source: k, BootstrapHash: indexer.HashCredential("bootstrap-token"),
		}),
		Applier: applier.New(applier.Config{Store: store, Keeper: k, Clock: clock}),
		Store:   store, Keeper: k, Status: emptyStatus{}, Clock: clock, Logger: slog.New(slog.DiscardHandler),
	})
	operators := httptest.NewServer(s.Handler())
	t.Cleanup(operators.Close)
	return &fixture{
		client: magnoliastepv1connect.NewOperatorServiceClient(operators.Client(), operators.URL),
		keeper: k,
		store:  store,
	}
}

func newRequest[T any](token string, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+token)
	return r
}

func (f *fixture) apply(t *testing.T, token, id string, o *pb.ConfigObject, expected int64) *pb.ChangeOutcome {
	t.Helper()
	r, err := f.client.ApplyObject(context.Background(), newRequest(token, &pb.ApplyObjectRequest{
		Object: o, ExpectedVersion: expected, ChangeId: id, Reason: "test",
	}))
	is.New(t).NoErr(err)
	return r.Msg.GetOutcome()
}

func (f *fixture) remove(t *testing.T, token, id, key string) *pb.ChangeOutcome {
	t.Helper()
	r, err := f.client.DeleteObject(context.Background(), newRequest(token, &pb.DeleteObjectRequest{
		Key: key, ExpectedVersion: applier.AnyVersion, ChangeId: id, Reason: "test",
	}))
	is.New(t).NoErr(err)
	return r.Msg.GetOutcome()
}

func operator(name, token string, roles ...pb.Role) *pb.ConfigObject {
	return &pb.ConfigObject{Spec: &pb.ConfigObject_Operator{Operator: &pb.Operator{
		Name: name, CredentialHash: indexer.HashCredential(token), Roles: roles,
		WakeAddress: "http://10.0.0.1:80/page",
	}}}
}

func zone(name string) *pb.ConfigObject {
	return &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{
		AvailabilityZone: &pb.AvailabilityZone{Name: name, Region: "r"},
	}}
}

// Guards against a bootstrap token that may do more than create operators, such as take over an existing one.
func TestBootstrapTokenOnlyCreatesOperators(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	operator1 := operator("operator-1", "token-1", pb.Role_ROLE_OPERATOR)
	is.Equal(f.apply(t, "bootstrap-token", "c0", zone("zone-a"), -1).GetCode(), roleMissing)
	is.Equal(f.apply(t, "bootstrap-token", "c1", operator1, -1).GetCode(), ok)
	other := operator("operator-1", "token-2", pb.Role_ROLE_OPERATOR)
	is.Equal(f.apply(t, "bootstrap-token", "c2", other, -1).GetCode(), conflict) // never updates an operator
	is.Equal(f.remove(t, "bootstrap-token", "c3", "operator/operator-1").GetCode(), roleMissing)
	is.Equal(f.apply(t, "token-1", "c4", zone("zone-a"), -1).GetCode(), ok)
}

// Guards against changes by tokens without the operator role and reads by unknown tokens.
func TestRolesLimitApplyAndList(t *testing.T) {
	f := newFixture(t)
	roles := map[string]pb.Role{
		"operator": pb.Role_ROLE_OPERATOR, "director": pb.Role_ROLE_DIRECTOR, "viewer": pb.Role_ROLE_VIEWER,
	}
	for name, role := range roles {
		is.New(t).Equal(f.apply(t, "bootstrap-token", name, operator(name, name, role), 0).GetCode(), ok)
	}
	cases := map[string]struct{ apply, read pb.ResultCode }{
		"operator":        {ok, ok},
		"director":        {roleMissing, ok},
		"viewer":          {roleMissing, ok},
		"bootstrap-token": {roleMissing, ok},
		"nobody":          {pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, pb.ResultCode_RESULT_CODE_UNAUTHENTICATED},
		"":                {pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, pb.ResultCode_RESULT_CODE_UNAUTHENTICATED},
	}
	for token, c := range cases {
		t.Run(token, func(t *testing.T) {
			is := is.New(t)
			is.Equal(f.apply(t, token, "z-"+token, zone("zone-"+token), -1).GetCode(), c.apply)
			r, err := f.client.ListObjects(context.Background(), newRequest(token, &pb.ListObjectsRequest{}))
			is.NoErr(err)
			is.Equal(r.Msg.GetCode(), c.read)
		})
	}
}

// Guards against a tombstone that blocks creating the object again or loses its earlier changes.
func TestDeletedObjectCanBeRecreatedWithAuditTrail(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.apply(t, "bootstrap-token", "c1", operator("op", "op", pb.Role_ROLE_OPERATOR), 0)
	is.Equal(f.apply(t, "op", "c2", zone("zone-a"), 0).GetCode(), ok)
	is.Equal(f.remove(t, "op", "c3", "availability_zone/zone-a").GetCode(), ok)
	is.Equal(f.keeper.Index().Zone("zone-a"), nil)
	is.Equal(f.apply(t, "op", "c4", zone("zone-a"), 0).GetCode(), ok)
	r, err := f.client.ListChanges(context.Background(), newRequest("op", &pb.ListChangesRequest{
		Key: "availability_zone/zone-a",
	}))
	is.NoErr(err)
	is.Equal(len(r.Msg.GetChanges()), 3)
	found, err := f.client.GetChange(context.Background(), newRequest("op", &pb.GetChangeRequest{
		Key: "availability_zone/zone-a", ChangeId: "c3",
	}))
	is.NoErr(err)
	is.Equal(found.Msg.GetCode(), ok)
}

func director(name string) *pb.ConfigObject {
	return operator(name, name, pb.Role_ROLE_DIRECTOR)
}

// desk returns service desk with one leaf in zone-a.
func desk(directors ...string) *pb.ConfigObject {
	return &pb.ConfigObject{Spec: &pb.ConfigObject_Service{Service: &pb.Service{
		Name: "desk", PartitionCount: 1, Directors: directors, Leaves: []*pb.Leaf{{
			Name: "desk-0", AvailabilityZone: "zone-a", Address: "10.0.0.1:80", Slots: 1, ColdSlots: 1, Connections: 1,
			Partitions: []uint32{0},
		}},
	}}}
}

// Guards against storing objects that refer to missing objects, are empty or are of a kind that operators may not
// write.
func TestInvalidObjectsAreNotStored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.apply(t, "bootstrap-token", "c1", operator("op", "op", pb.Role_ROLE_OPERATOR), 0)
	o := f.apply(t, "op", "c2", desk("dora"), 0)
	is.Equal(o.GetCode(), invalid)
	is.Equal(o.GetFieldErrors(), []string{
		"leaves[0].availability_zone: availability_zone/zone-a does not exist",
		"directors[0]: operator/dora does not exist",
	})
	is.Equal(f.keeper.Index().Service("desk"), nil)
	page := &pb.ConfigObject{Spec: &pb.ConfigObject_Page{Page: &pb.Page{PageId: "p"}}}
	is.Equal(f.apply(t, "op", "c3", page, 0).GetCode(), invalid) // a kind that only the system writes
	is.Equal(f.apply(t, "op", "c4", nil, 0).GetCode(), invalid)
}

// Guards against references to deleted objects, and against rejecting the repeat of an accepted deletion.
func TestDeleteRejectsReferencedObject(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.apply(t, "bootstrap-token", "c1", operator("op", "op", pb.Role_ROLE_OPERATOR), 0)
	f.apply(t, "op", "c2", zone("zone-a"), 0)
	f.apply(t, "op", "c3", director("dora"), 0)
	is.Equal(f.apply(t, "op", "c4", desk("dora"), 0).GetCode(), ok)
	for _, key := range []string{"availability_zone/zone-a", "operator/dora"} {
		o := f.remove(t, "op", "d-"+key, key)
		is.Equal(o.GetCode(), invalid)
		is.Equal(o.GetFieldErrors(), []string{"service/desk"}) // the referrers are named
	}
	is.Equal(f.remove(t, "op", "d1", "service/desk").GetCode(), ok)
	is.Equal(f.remove(t, "op", "d2", "availability_zone/zone-a").GetCode(), ok)
	is.Equal(f.remove(t, "op", "d1", "service/desk").GetCode(), ok) // a repeat is the same change
	is.Equal(f.remove(t, "op", "d3", "nonsense").GetCode(), invalid)
}

// Guards against rejecting an object because the objects that it refers to were accepted at another node just before
// and have not reached this node through the watch.
func TestApplyReadsReferencesAcceptedAtAnotherNode(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.apply(t, "bootstrap-token", "c1", operator("op", "op", pb.Role_ROLE_OPERATOR), 0)
	// Another node accepted the zone and the director; this node has not received them yet.
	other := applier.New(applier.Config{Store: f.store, Keeper: keeper.New(keeper.Config{}), Clock: quartz.NewReal()})
	for i, o := range []*pb.ConfigObject{zone("zone-a"), director("dora")} {
		other.Apply(context.Background(), applier.Change{ID: fmt.Sprintf("o%d", i), ExpectedVersion: 0, Object: o})
	}
	is.Equal(f.apply(t, "op", "c2", desk("dora"), 0).GetCode(), ok)
}

// newDeskFixture returns a fixture with service desk, class desk/search and director dora; eve is a director that no
// service lists.
func newDeskFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.apply(t, "bootstrap-token", "s1", operator("op", "op", pb.Role_ROLE_OPERATOR), 0)
	class := &pb.ConfigObject{Spec: &pb.ConfigObject_Class{Class: &pb.Class{
		Name: "search", Service: "desk", Kind: pb.RequestKind_REQUEST_KIND_IDEMPOTENT, Worth: 1,
		Lateness: durationpb.New(time.Second), CoverageExponent: 1, CoverageFloor: 0.5,
	}}}
	for _, o := range []*pb.ConfigObject{
		zone("zone-a"), director("dora"), director("eve"), desk("dora"), class,
	} {
		is.New(t).Equal(f.apply(t, "op", keyer.Of(o), o, 0).GetCode(), ok)
	}
	return f
}

func (f *fixture) agree(t *testing.T, token, id string, share float64, lifetime time.Duration) *pb.ChangeOutcome {
	t.Helper()
	r, err := f.client.AgreeToRefusal(context.Background(), newRequest(token, &pb.AgreeToRefusalRequest{
		PageId: "page-1", Service: "desk", Class: "search", Share: share, Lifetime: durationpb.New(lifetime),
		ChangeId: id, Reason: "overload",
	}))
	is.New(t).NoErr(err)
	return r.Msg.GetOutcome()
}

// Guards against refusals that were agreed to by someone other than a director listed by the service.
func TestOnlyNamedDirectorMayAgreeToRefusal(t *testing.T) {
	f := newDeskFixture(t)
	cases := map[string]pb.ResultCode{
		"op":              roleMissing,
		"bootstrap-token": roleMissing,
		"eve":             pb.ResultCode_RESULT_CODE_NOT_NAMED_DIRECTOR,
		"nobody":          pb.ResultCode_RESULT_CODE_UNAUTHENTICATED,
		"dora":            ok,
	}
	for token, want := range cases {
		t.Run(token, func(t *testing.T) {
			is.New(t).Equal(f.agree(t, token, "a-"+token, 0.5, time.Minute).GetCode(), want)
		})
	}
}

// Guards against grants with a share above 1 or NaN, or with a lifetime of 0 or above maxGrantLifetime.
func TestAgreementOutsideBoundsIsRejected(t *testing.T) {
	is := is.New(t)
	f := newDeskFixture(t)
	is.Equal(f.agree(t, "dora", "a1", 1.1, time.Minute).GetCode(), invalid)
	is.Equal(f.agree(t, "dora", "a2", math.NaN(), time.Minute).GetCode(), invalid)
	is.Equal(f.agree(t, "dora", "a3", 0.5, 0).GetCode(), invalid)
	is.Equal(f.agree(t, "dora", "a4", 0.5, 5*time.Hour).GetCode(), invalid)
	is.Equal(len(f.keeper.Index().Grants("desk", "search")), 0)
}

// Guards against a page that stays open after the director agreed, and a grant that stays in force after its
// revocation.
func TestAgreementAnswersPageAndRevocationEndsGrant(t *testing.T) {
	is := is.New(t)
	f := newDeskFixture(t)
	is.Equal(f.agree(t, "dora", "a1", 0.5, time.Minute).GetCode(), ok)
	grants := f.keeper.Index().Grants("desk", "search")
	is.Equal(len(grants), 1)
	is.Equal(grants[0].GetDirector(), "dora")
	is.True(f.keeper.Index().Page("desk", "search").GetAgreed())
	r, err := f.client.RevokeGrant(context.Background(), newRequest("dora", &pb.RevokeGrantRequest{
		Grant: grants[0].GetName(), ChangeId: "r1", Reason: "over",
	}))
	is.NoErr(err)
	is.Equal(r.Msg.GetOutcome().GetCode(), ok)
	is.Equal(len(f.keeper.Index().Grants("desk", "search")), 0)
}

// Guards against a grant, or an unanswered page without quiet period, after a director declined with a share of 0.
func TestDeclineAnswersPageWithoutGrant(t *testing.T) {
	is := is.New(t)
	f := newDeskFixture(t)
	is.Equal(f.agree(t, "dora", "a1", 0, time.Hour).GetCode(), ok)
	is.Equal(len(f.keeper.Index().Grants("desk", "search")), 0)
	page := f.keeper.Index().Page("desk", "search")
	is.True(page.GetAnswered() && !page.GetAgreed())
	is.Equal(page.GetQuietFor().AsDuration(), time.Hour)
}
