package tenant_test

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/tenant"
)

type twoNodes struct{}

func (twoNodes) Ranked(string) []*pb.Member {
	return []*pb.Member{{Name: "first"}, {Name: "second"}}
}

// A refusal must not be followed by the next request at once: each refusal wakes the other side as well.
func TestRefusalsDoNotMakeRequestsFaster(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	n := tenant.New(tenant.Config{NodeName: "first", Ranks: twoNodes{}, Clock: clock, Tenure: time.Second})
	requests := 0
	for range 1000 { // a second of ticks, each right after a refusal
		due, _ := n.Tick([]string{"leaf"}, func(string) bool { return true })
		for _, q := range due {
			requests++
			n.HandleReply(q, &pb.TenureReply{Refused: []*pb.RefusedTenure{{Leaf: "leaf"}}})
		}
		clock.Advance(time.Millisecond)
	}
	is.True(requests > 0)
	is.True(requests <= 10) // one in a tenth of the tenure
}
