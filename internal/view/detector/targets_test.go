package detector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/detector"
)

// TestNoMemberIsLeftUnprobedForSeconds guards against a killed node that no other node happens to probe for seconds.
func TestNoMemberIsLeftUnprobedForSeconds(t *testing.T) {
	for _, nodes := range []int{3, 12, 30, 195} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			detectors := detectorsOfOneFleet(nodes)
			lastProbedIn := map[string]int{}
			for period := range 200 {
				startedAt := time.Unix(1000, 0).Add(time.Duration(period) * probePeriod)
				for i, d := range detectors {
					offset := time.Duration(i) * probePeriod / time.Duration(nodes)
					for _, target := range d.NextTargets(startedAt.Add(offset)) {
						lastProbedIn[target.Name] = period
					}
				}
				for i := range detectors {
					is.Equal(lastProbedIn[nodeName(i)], period)
				}
			}
		})
	}
}

// TestRequestForHelpersGoesToSeveralMembersAtOnce guards against a request that starts from one member.
func TestRequestForHelpersGoesToSeveralMembersAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := detectorsOfOneFleet(30)[0]
	is.Equal(len(d.NextTargets(now)), 1)
	d.SetHelpers(2)
	targets := d.NextTargets(now.Add(probePeriod))
	is.Equal(len(targets), 5)
	names := map[string]bool{}
	for _, target := range targets {
		names[target.Name] = true
	}
	is.Equal(len(names), len(targets)) // no member twice
	is.Equal(len(d.NextTargets(now.Add(2*probePeriod))), 1)
}

func nodeName(i int) string { return fmt.Sprintf("node-%04d", i) }

// detectorsOfOneFleet returns the detectors of nodes that all know each other.
func detectorsOfOneFleet(nodes int) []*detector.Detector {
	members := make([]*pb.Member, 0, nodes)
	for i := range nodes {
		members = append(members, member(nodeName(i), fmt.Sprintf("10.0.1.%d:7300", i), 100, 1,
			pb.MemberState_MEMBER_STATE_ALIVE))
	}
	detectors := make([]*detector.Detector, 0, nodes)
	for i, self := range members {
		d := detector.New(detector.Config{
			Self: self, SuspicionPeriod: suspicionPeriod, ProbePeriod: probePeriod, Random: rand.New(rand.NewPCG(uint64(i), 2)),
		})
		d.MergeRumours(time.Unix(999, 0), slices.Delete(slices.Clone(members), i, i+1))
		detectors = append(detectors, d)
	}
	return detectors
}
