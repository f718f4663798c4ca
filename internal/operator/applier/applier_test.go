package applier_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	zoneKey = "availability_zone/zone-a"
)

func newApplier(s applier.Store) *applier.Applier {
	return applier.New(applier.Config{
		Store: s, Keeper: keeper.New(keeper.Config{}), Clock: quartz.NewReal(),
	})
}

func zone(out bool) *pb.ConfigObject {
	return &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{
		AvailabilityZone: &pb.AvailabilityZone{Name: "zone-a", Region: "r", OutOfService: out},
	}}
}

func change(id string, expected int64) applier.Change {
	return applier.Change{ID: id, Actor: "op", Reason: "test", ExpectedVersion: expected, Object: zone(false)}
}

func deletion(id string, expected int64) applier.Change {
	return applier.Change{ID: id, Actor: "op", Reason: "test", ExpectedVersion: expected, Key: zoneKey}
}

// Guards against a change that is reported wrongly or written twice when the store is down, loses a request or an
// answer, or executes a write after the client has given up on it.
func TestChangeOutcomeUnderStoreFaults(t *testing.T) {
	const (
		ok          = pb.ResultCode_RESULT_CODE_OK
		unknown     = pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN
		unavailable = pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE
	)
	cases := map[string]struct {
		faults []fault
		want   pb.ResultCode
		writes int
	}{
		"no fault":                          {nil, ok, 1},
		"answer lost after the write":       {[]fault{faultAnswerLost}, ok, 1},
		"request lost before the write":     {[]fault{faultRequestLost}, ok, 1},
		"platform down, then up":            {[]fault{faultDown, faultDown, faultDown}, ok, 1},
		"write executed after the readback": {[]fault{faultLate}, ok, 1},
		"long outage":                       {[]fault{faultDownForLong}, unavailable, 0},
		"answer lost, then long outage":     {[]fault{faultLostThenDown}, unknown, 1},
		"late write, then long outage":      {[]fault{faultLate, faultDownForLong}, unknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFaultyStore()
				s.writeFaults = c.faults
				o := newApplier(s).Apply(context.Background(), change("c1", applier.AnyVersion))
				is.Equal(o.GetCode(), c.want) // outcome
				s.waitForLateWrites()
				is.Equal(s.writesOf(zoneKey), c.writes) // writes that took effect
			})
		})
	}
}

// Guards against a conflict that does not tell the operator which change came first.
func TestVersionConflictNamesWinningChange(t *testing.T) {
	is := is.New(t)
	a := newApplier(newFaultyStore())
	first := a.Apply(context.Background(), change("c1", applier.NoVersion))
	is.Equal(first.GetCode(), pb.ResultCode_RESULT_CODE_OK)
	second := a.Apply(context.Background(), change("c2", applier.NoVersion))
	is.Equal(second.GetCode(), pb.ResultCode_RESULT_CODE_VERSION_CONFLICT)
	is.Equal(second.GetWinner().GetChangeId(), "c1")
	is.True(strings.Contains(second.GetMessage(), "c1")) // the message names the winner
}

// Guards against a retried request that makes a second version, and against a change id that is reused for another
// change of the object.
func TestRepeatedChangeIDReturnsFirstVersion(t *testing.T) {
	is := is.New(t)
	a := newApplier(newFaultyStore())
	first := a.Apply(context.Background(), change("c1", applier.AnyVersion))
	a.Apply(context.Background(), change("c2", applier.AnyVersion))
	repeated := a.Apply(context.Background(), change("c1", applier.AnyVersion))
	is.Equal(repeated.GetCode(), pb.ResultCode_RESULT_CODE_OK)
	is.Equal(repeated.GetVersion(), first.GetVersion()) // the version that the change made, not a new one
	other := change("c1", applier.AnyVersion)
	other.Object = zone(true)
	is.Equal(a.Apply(context.Background(), other).GetCode(), pb.ResultCode_RESULT_CODE_INVALID_OBJECT)
}

// Guards against a deletion that loses the audit trail or lets the version of a recreated object go back.
func TestDeletionLeavesTombstoneWithAuditTrail(t *testing.T) {
	is := is.New(t)
	s := newFaultyStore()
	a := newApplier(s)
	is.Equal(a.Apply(context.Background(), deletion("d0", applier.AnyVersion)).GetCode(),
		pb.ResultCode_RESULT_CODE_NOT_FOUND)
	created := a.Apply(context.Background(), change("c1", applier.NoVersion))
	deleted := a.Apply(context.Background(), deletion("d1", created.GetVersion()))
	is.Equal(deleted.GetCode(), pb.ResultCode_RESULT_CODE_OK)
	is.True(s.object(zoneKey).GetDeleted())
	is.Equal(a.Apply(context.Background(), deletion("d2", applier.AnyVersion)).GetCode(),
		pb.ResultCode_RESULT_CODE_NOT_FOUND)
	recreated := a.Apply(context.Background(), change("c2", applier.NoVersion))
	is.Equal(recreated.GetCode(), pb.ResultCode_RESULT_CODE_OK)
	is.True(recreated.GetVersion() > deleted.GetVersion()) // the version does not go back after a tombstone
	is.Equal(len(s.object(zoneKey).GetChanges()), 3)       // the audit trail survives the deletion
}

// Guards against changes that are lost, duplicated or no longer recognized as repeats when the object's trail is full
// and its oldest changes move to archives, also when answers to writes are lost.
func TestOlderChangesAreArchived(t *testing.T) {
	is := is.New(t)
	s := newFaultyStore()
	a := newApplier(s)
	const count = 300
	for i := range count {
		c := change(fmt.Sprintf("c%d", i), applier.AnyVersion)
		c.Reason = strings.Repeat("r", 1000)
		if i%7 == 0 {
			s.writeFaults = []fault{faultAnswerLost, faultAnswerLost}
		}
		is.Equal(a.Apply(context.Background(), c).GetCode(), pb.ResultCode_RESULT_CODE_OK)
		is.True(len(s.object(zoneKey).GetChanges()) <= 64) // bounded in the object
	}
	trail, err := a.Trail(context.Background(), zoneKey)
	is.NoErr(err)
	is.Equal(len(trail), count) // nothing is lost
	for i, c := range trail {
		is.Equal(c.GetChange().GetChangeId(), fmt.Sprintf("c%d", i))
		if i > 0 {
			is.Equal(trail[i-1].GetVersionAfter(), c.GetChange().GetVersionBefore())
		}
	}
	found, err := a.Find(context.Background(), zoneKey, "c0")
	is.NoErr(err)
	is.Equal(found.GetChangeId(), "c0")
	repeated := a.Apply(context.Background(), func() applier.Change {
		c := change("c0", applier.AnyVersion)
		c.Reason = strings.Repeat("r", 1000)
		return c
	}())
	is.Equal(repeated.GetVersion(), trail[0].GetVersionAfter()) // a repeat is recognized from the archive
}

// Guards against sending the platform an object above its limit of 1 MB for a value.
func TestValueAbovePlatformLimitIsRejected(t *testing.T) {
	is := is.New(t)
	service := &pb.Service{Name: "s"}
	for i := range 10_000 {
		service.Leaves = append(service.Leaves, &pb.Leaf{
			Name: fmt.Sprintf("s-%d", i), Address: "10.0.0.1:80",
			AvailabilityZone: "zone-a", Slots: 6, Connections: 50, ColdSlots: 2, Partitions: []uint32{1},
		})
	}
	c := change("c1", applier.NoVersion)
	c.Object = &pb.ConfigObject{Spec: &pb.ConfigObject_Service{Service: service}}
	o := newApplier(newFaultyStore()).Apply(context.Background(), c)
	is.Equal(o.GetCode(), pb.ResultCode_RESULT_CODE_INVALID_OBJECT)
}

var _ applier.Store = (*client.Client)(nil)
