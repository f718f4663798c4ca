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
	// longAgo is the age of something that has not happened.
	longAgo = time.Hour
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
		e := elector.New(elector.Config{NodeName: m.GetName(), AvailabilityZone: m.GetAvailabilityZone()})
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
			total, _ := countReaders(fleet(nodes, 5), elector.Situation{ConfirmedAgo: wait, AskedAgo: longAgo})
			is.Equal(total, 1)
		})
	}
}

// Guards against a zone whose nodes read the store too late because no node that ranks near the reader stands in it.
func TestEveryZoneHasReaderWithinChangeTime(t *testing.T) {
	for _, c := range []struct{ nodes, zones int }{{74, 3}, {91, 4}, {195, 5}, {300, 21}} {
		t.Run(fmt.Sprintf("%d nodes, %d zones", c.nodes, c.zones), func(t *testing.T) {
			is := is.New(t)
			s := elector.Situation{ConfirmedAgo: 3 * time.Second} // others are asking
			total, byZone := countReaders(fleet(c.nodes, c.zones), s)
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

// Guards against nodes that follow a change too late after most others were lost at once: each waited for its rank, and
// those that rank after the first few did not read the store in time at all. Found by review/9.
func TestEveryNodeReadsInTimeWithoutThoseThatRankBefore(t *testing.T) {
	const changeTime = 3 * time.Second
	for nodes := 2; nodes <= 300; nodes++ {
		members := fleet(nodes, 3)
		s := elector.Situation{
			Kind: "config", Ranker: ranker.New(members), Wait: wait, ChangeTime: changeTime, AskedAgo: longAgo,
			ConfirmedAgo: changeTime * 3 / 4,
		}
		for _, m := range members {
			e := elector.New(elector.Config{NodeName: m.GetName(), AvailabilityZone: m.GetAvailabilityZone()})
			if !e.ShouldRead(s) {
				t.Fatalf("%s of %d nodes does not read", m.GetName(), nodes)
			}
		}
	}
}

// Guards against an outage of the store in which the same nodes ask it all the time, although it may turn away only
// these, and against one in which all do.
func TestSomeNodesAreDrawnAnewWhileOthersAsk(t *testing.T) {
	is := is.New(t)
	const nodes, zones, periods = 100, 3, 300
	members, fixed, readers := fleet(nodes, zones), 8+2*zones, 0
	seen := map[string]bool{}
	for period := range periods {
		s := elector.Situation{
			Kind: "config", Ranker: ranker.New(members), Wait: wait, ChangeTime: changeTime,
			ConfirmedAgo: 4*time.Second + time.Duration(period)*time.Second,
		}
		for _, m := range members {
			e := elector.New(elector.Config{NodeName: m.GetName(), AvailabilityZone: m.GetAvailabilityZone()})
			if e.ShouldRead(s) {
				seen[m.GetName()] = true
				readers++
			}
		}
	}
	is.True(readers <= periods*(fixed+3))
	is.True(len(seen) > nodes*9/10)
}
