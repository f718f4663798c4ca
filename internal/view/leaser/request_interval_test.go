package leaser_test

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/leaser"
)

type twoNodes struct{}

func (twoNodes) Ranked(string) []*pb.Member {
	return []*pb.Member{{Name: "first"}, {Name: "second"}}
}

// Guards against request storms: a refusal triggers a tick on both nodes, so two nodes that refuse each other would
// send requests without end if the next request followed a refusal at once.
func TestRefusalDoesNotShortenRequestInterval(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	node := leaser.New(leaser.Config{NodeName: "first", Ranks: twoNodes{}, Clock: clock, Tenure: time.Second})
	requests := 0
	for range 1000 { // one tick per millisecond for a second, each right after a refusal
		due, _ := node.Tick([]string{"leaf"}, func(string) bool { return true })
		for _, q := range due {
			requests++
			node.HandleReply(q, &pb.TenureReply{Refused: []*pb.RefusedTenure{{Leaf: "leaf"}}})
		}
		clock.Advance(time.Millisecond)
	}
	is.True(requests > 0)
	is.True(requests <= 10) // one per tenth of the tenure
}
