package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/submission/registrar"
)

const (
	granted = pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED
	held    = pb.SubmitClaimState_SUBMIT_CLAIM_STATE_HELD
	lapsed  = pb.SubmitClaimState_SUBMIT_CLAIM_STATE_LAPSED
	settled = pb.SubmitClaimState_SUBMIT_CLAIM_STATE_SETTLED
	tooOld  = pb.SubmitClaimState_SUBMIT_CLAIM_STATE_TOO_OLD
	expired = pb.SubmitClaimState_SUBMIT_CLAIM_STATE_EXPIRED
)

// allGroupsNamed implements registrar.Groups. It requires no groups besides those that a claim names.
type allGroupsNamed struct{}

func (allGroupsNamed) Missing(string, []*pb.WitnessGroup) []*pb.WitnessGroup { return nil }
func (allGroupsNamed) Ready() bool                                           { return true }

func newRegistrar() *registrar.Registrar {
	return registrar.New(registrar.Config{
		Clock: quartz.NewReal(), Groups: allGroupsNamed{}, MaxClockSkew: time.Second, KeepFor: time.Minute,
	})
}

// newID returns a UUIDv7 with the given creation time, in milliseconds.
func newID(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	return id.String()
}

func claim(id, token string) *pb.SubmitClaim {
	return &pb.SubmitClaim{RequestId: id, Token: token, NotAfter: timestamppb.New(time.Now().Add(time.Second))}
}

// TestClaimRejectsIDsFromBeforeStart guards against a second run after a restart of a witness: the restart loses the
// records, so an id that may have been granted before it must not be granted again.
func TestClaimRejectsIDsFromBeforeStart(t *testing.T) {
	tests := []struct {
		name string
		// created is the time of the id's creation relative to the start of the witness.
		created time.Duration
		want    pb.SubmitClaimState
	}{
		{"before the start", -time.Millisecond, tooOld},
		{"by a clock that is ahead", 900 * time.Millisecond, tooOld},
		{"after the allowance", 1001 * time.Millisecond, granted},
		{"too far ahead", 10 * time.Second, expired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				startedAt := time.Now()
				r := newRegistrar()
				time.Sleep(3 * time.Second)
				is.Equal(r.Claim(claim(newID(startedAt.Add(tt.created)), "a")).GetState(), tt.want)
			})
		})
	}
}

// TestClaimGrantsIDToOneAttempt guards against two attempts that hold one id, and against a claim on an id whose
// holder may have run it.
func TestClaimGrantsIDToOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistrar()
		time.Sleep(2 * time.Second)
		id := newID(time.Now())
		is.Equal(r.Claim(claim(id, "a")).GetState(), granted)
		is.Equal(r.Claim(claim(id, "b")).GetState(), held)
		r.Settle(&pb.SubmitSettle{RequestId: id, Token: "b", Abandoned: true}) // b does not hold the id
		is.Equal(r.Claim(claim(id, "b")).GetState(), held)
		r.Settle(&pb.SubmitSettle{RequestId: id, Token: "a", Abandoned: true})
		is.Equal(r.Claim(claim(id, "b")).GetState(), granted)
		time.Sleep(2 * time.Second)
		is.Equal(r.Claim(claim(id, "c")).GetState(), lapsed) // it is not known whether b ran
		r.Settle(&pb.SubmitSettle{RequestId: id, Token: "b", Outcome: &pb.SubmitReply{Payload: "booked"}})
		is.Equal(r.Claim(claim(id, "c")).GetOutcome().GetPayload(), "booked")
		is.Equal(r.Claim(claim(id, "c")).GetState(), settled)
		other := claim(id, "d")
		other.Fingerprint = 7
		is.Equal(r.Claim(other).GetState(), pb.SubmitClaimState_SUBMIT_CLAIM_STATE_DUPLICATE)
		time.Sleep(2 * time.Minute)
		is.Equal(r.Claim(claim(newID(time.Now().Add(-90*time.Second)), "e")).GetState(), tooOld)
	})
}
