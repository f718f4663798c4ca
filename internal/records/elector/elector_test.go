package elector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/elector"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	wait       = time.Second
	changeTime = 5 * time.Second
	maxJitter  = 20 * time.Second
)

func fleet(nodes, zones int) []*pb.Member {
	var members []*pb.Member
	for i := range nodes {
		members = append(members, &pb.Member{
			Name: fmt.Sprintf("node-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones), Region: "region",
		})
	}
	return members
}

// countReaders returns how many of the members read when all are in the same situation, in total and by zone.
func countReaders(members []*pb.Member, s elector.Situation) (int, map[string]int) {
	s.Kind, s.Wait, s.ChangeTime, s.Ranker = "config", wait, changeTime, ranker.New(members)
	total, byZone := 0, map[string]int{}
	for _, m := range members {
		e := elector.New(elector.Config{
			NodeName: m.GetName(), AvailabilityZone: m.GetAvailabilityZone(), FallbackJitter: maxJitter,
		})
		if e.ShouldRead(s) {
			total++
			byZone[m.GetAvailabilityZone()]++
		}
	}
	return total, byZone
}

func TestOneNodeReadsWhileDocumentsAreConfirmed(t *testing.T) {
	for _, nodes := range []int{1, 7, 74, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			total, _ := countReaders(fleet(nodes, 5), elector.Situation{ConfirmedAgo: wait})
			is.Equal(total, 1)
		})
	}
}

// Guards against a zone whose nodes read the store too late because no node that ranks near the reader stands in it.
func TestEveryZoneHasReaderWithinChangeTime(t *testing.T) {
	for _, c := range []struct{ nodes, zones int }{{74, 3}, {91, 4}, {195, 5}, {300, 21}} {
		t.Run(fmt.Sprintf("%d nodes, %d zones", c.nodes, c.zones), func(t *testing.T) {
			is := is.New(t)
			total, byZone := countReaders(fleet(c.nodes, c.zones), elector.Situation{ConfirmedAgo: 3 * time.Second})
			is.Equal(len(byZone), c.zones)
			is.True(total <= 8+2*c.zones) // an outage does not make all nodes call the store
		})
	}
}

// Guards against a node that waits without end for documents that it knows to exist.
func TestNodeThatStaysBehindReadsStoreWithinChangeTime(t *testing.T) {
	is := is.New(t)
	members := fleet(74, 3)
	total, _ := countReaders(members, elector.Situation{BehindFor: time.Second})
	is.Equal(total, 1)
	total, _ = countReaders(members, elector.Situation{BehindFor: 2100 * time.Millisecond})
	is.Equal(total, 74)
}
