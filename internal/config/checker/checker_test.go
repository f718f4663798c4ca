package checker_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/checker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

func credentialHash(digit string) string {
	return strings.Repeat(digit, 64)
}

// validObjects returns a valid set of objects: zone, director, service, class, caller.
func validObjects() []*pb.ConfigObject {
	return []*pb.ConfigObject{
		{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: &pb.AvailabilityZone{Name: "a", Region: "r"}}},
		{Spec: &pb.ConfigObject_Operator{Operator: &pb.Operator{
			Name: "dora", CredentialHash: credentialHash("a"), Roles: []pb.Role{pb.Role_ROLE_DIRECTOR},
			WakeAddress: "http://10.0.0.9:80/",
		}}},
		{Spec: &pb.ConfigObject_Service{Service: &pb.Service{
			Name: "desk", PartitionCount: 2, Directors: []string{"dora"}, ExtraCallBudget: 0.05, Leaves: []*pb.Leaf{
				leaf("desk-0", "10.0.0.1:80", 0), leaf("desk-1", "10.0.0.2:80", 1),
			},
		}}},
		{Spec: &pb.ConfigObject_Class{Class: &pb.Class{
			Name: "search", Service: "desk", Kind: pb.RequestKind_REQUEST_KIND_IDEMPOTENT, Worth: 1,
			Lateness: durationpb.New(time.Second), FullWorthUntil: durationpb.New(time.Second),
			CoverageExponent: 1, CoverageFloor: 0.5,
		}}},
		{Spec: &pb.ConfigObject_Caller{Caller: &pb.Caller{
			Name: "carl", CredentialHash: credentialHash("b"), Classes: []string{"desk/search"},
		}}},
	}
}

func leaf(name, address string, partition uint32) *pb.Leaf {
	return &pb.Leaf{
		Name: name, Address: address, AvailabilityZone: "a", Slots: 6, ColdSlots: 2, Connections: 50,
		Partitions: []uint32{partition},
	}
}

func checkAll(objects []*pb.ConfigObject) []string {
	k := checker.New(checker.Config{Objects: objects})
	var fieldErrors []string
	for _, o := range objects {
		fieldErrors = append(append(fieldErrors, k.CheckFields(o)...), k.CheckReferences(o)...)
	}
	return fieldErrors
}

func TestCheckerAcceptsValidObjects(t *testing.T) {
	is.New(t).Equal(len(checkAll(validObjects())), 0)
}

func TestCheckerNamesEachInvalidField(t *testing.T) {
	type objects struct {
		zone     *pb.AvailabilityZone
		director *pb.Operator
		service  *pb.Service
		class    *pb.Class
		caller   *pb.Caller
	}
	cases := map[string]func(o objects){
		"name: must have":                  func(o objects) { o.zone.Name = "A/b" },
		"region: must have":                func(o objects) { o.zone.Region = "" },
		"partition_count: must be from":    func(o objects) { o.service.PartitionCount = 0 },
		"extra_call_budget: must be":       func(o objects) { o.service.ExtraCallBudget = math.NaN() },
		"directors: must name":             func(o objects) { o.service.Directors = nil },
		"directors[0]: operator/x does":    func(o objects) { o.service.Directors = []string{"x"} },
		"directors[0]: operator dora":      func(o objects) { o.director.Roles = []pb.Role{pb.Role_ROLE_VIEWER} },
		"leaves[1].name: \"desk-0\"":       func(o objects) { o.service.Leaves[1].Name = "desk-0" },
		"leaves[1].address: \"10.0.0.1:80": func(o objects) { o.service.Leaves[1].Address = "10.0.0.1:80" },
		"leaves[0].address: must be IP":    func(o objects) { o.service.Leaves[0].Address = "host:80" },
		"leaves[0].availability_zone: ava": func(o objects) { o.service.Leaves[0].AvailabilityZone = "b" },
		"leaves[0].slots: must be":         func(o objects) { o.service.Leaves[0].Slots = 0 },
		"leaves[0].cold_slots: must be":    func(o objects) { o.service.Leaves[0].ColdSlots = 7 },
		"leaves[0].connections: must be":   func(o objects) { o.service.Leaves[0].Connections = 5 },
		"leaves[0].connect_cost: must":     func(o objects) { o.service.Leaves[0].ConnectCost = durationpb.New(-1) },
		"leaves[0].partitions[0]: must":    func(o objects) { o.service.Leaves[0].Partitions = []uint32{2} },
		"leaves: no leaf holds partiti":    func(o objects) { o.service.Leaves[0].Partitions = nil },
		"service: service/x does not":      func(o objects) { o.class.Service = "x" },
		"kind: must be":                    func(o objects) { o.class.Kind = 0 },
		"worth: must be above 0":           func(o objects) { o.class.Worth = math.Inf(1) },
		"lateness: must be a duration":     func(o objects) { o.class.Lateness = nil },
		"full_worth_until: must be":        func(o objects) { o.class.FullWorthUntil = durationpb.New(time.Minute) },
		"coverage_exponent: must be":       func(o objects) { o.class.CoverageExponent = 0 },
		"coverage_floor: must be":          func(o objects) { o.class.CoverageFloor = 1.1 },
		"credential_hash: must be":         func(o objects) { o.caller.CredentialHash = "secret" },
		"classes[0]: must be service":      func(o objects) { o.caller.Classes = []string{"search"} },
		"classes[0]: class/desk.x does":    func(o objects) { o.caller.Classes = []string{"desk/x"} },
		"classes[1]: \"desk/search\" is":   func(o objects) { o.caller.Classes = []string{"desk/search", "desk/search"} },
		"roles: must name":                 func(o objects) { o.director.Roles = nil },
		"roles[1]: must be":                func(o objects) { o.director.Roles = append(o.director.Roles, 9) },
		"wake_address: must be":            func(o objects) { o.director.WakeAddress = "" },
		"name: \"bootstrap\" is":           func(o objects) { o.director.Name = "bootstrap" },
	}
	for want, invalidate := range cases {
		t.Run(want, func(t *testing.T) {
			set := validObjects()
			invalidate(objects{
				set[0].GetAvailabilityZone(), set[1].GetOperator(), set[2].GetService(), set[3].GetClass(), set[4].GetCaller(),
			})
			fieldErrors := strings.Join(checkAll(set), "\n")
			is.New(t).True(strings.Contains("\n"+fieldErrors, "\n"+want)) // a message names the invalid field
		})
	}
}

func TestCheckerReportsSharedLeavesAndReferrers(t *testing.T) {
	is := is.New(t)
	set := validObjects()
	otherService := proto.CloneOf(set[2])
	otherService.GetService().Name = "other"
	k := checker.New(checker.Config{Objects: append(set, otherService)})
	is.Equal(k.CheckReferences(set[2]), []string{
		`leaves[0].name: service other has a leaf "desk-0" too`,
		`leaves[0].address: service other has a leaf at 10.0.0.1:80 too`,
		`leaves[1].name: service other has a leaf "desk-1" too`,
		`leaves[1].address: service other has a leaf at 10.0.0.2:80 too`,
	})
	is.Equal(k.Referrers("availability_zone/a"), []string{"service/desk", "service/other"})
	is.Equal(k.Referrers("operator/dora"), []string{"service/desk", "service/other"})
	is.Equal(k.Referrers("service/desk"), []string{"class/desk.search"})
	is.Equal(k.Referrers("class/desk.search"), []string{"caller/carl"})
	is.Equal(k.Referrers("caller/carl"), nil)
}

func TestReferrersSkipsDeletedObject(t *testing.T) {
	is := is.New(t)
	set := validObjects()
	tombstone := proto.CloneOf(set[4])
	tombstone.Deleted = true
	k := checker.New(checker.Config{Objects: append(set, tombstone)})
	is.Equal(k.Referrers("class/desk.search"), nil)
}
