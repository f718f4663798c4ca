package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/detector"
)

const (
	suspicionPeriod = 2 * time.Second
	probePeriod     = 500 * time.Millisecond
)

func member(name, address string, startedAt int64, incarnation uint64, state pb.MemberState) *pb.Member {
	return &pb.Member{
		Name: name, PeerAddress: address, StartedAt: startedAt, Incarnation: incarnation, State: state,
	}
}

func newDetector() *detector.Detector {
	return detector.New(detector.Config{
		Self:            member("self", "10.0.0.1:7300", 100, 1, pb.MemberState_MEMBER_STATE_ALIVE),
		SuspicionPeriod: suspicionPeriod, ProbePeriod: probePeriod, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

func formatMembers(d *detector.Detector) string {
	text := ""
	for _, m := range d.Members() {
		text += fmt.Sprintf("%s/%d/%d ", m.GetName(), m.GetStartedAt(), m.GetIncarnation())
	}
	return text
}

// TestClaimsMergeInAnyOrder guards against views that stay different after nodes received the same claims in different
// orders, some of them twice.
func TestClaimsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := rapid.Custom(func(t *rapid.T) *pb.Member {
			name := rapid.IntRange(1, 4).Draw(t, "name")
			return member(fmt.Sprintf("node-%d", name), fmt.Sprintf("10.0.1.%d:7300", name),
				int64(rapid.IntRange(1, 3).Draw(t, "started")), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
				pb.MemberState(rapid.IntRange(1, 4).Draw(t, "state")))
		})
		claims := rapid.SliceOfN(claim, 1, 12).Draw(t, "claims")
		reordered := rapid.Permutation(append(claims, claims[:len(claims)/2]...)).Draw(t, "order")
		now := time.Unix(1000, 0)
		first, second := newDetector(), newDetector()
		// Both detectors know all processes from the start, because a claim that an unknown process is dead is dropped.
		for started := int64(1); started <= 3; started++ {
			for n := 1; n <= 4; n++ {
				m := member(fmt.Sprintf("node-%d", n), fmt.Sprintf("10.0.1.%d:7300", n), started, 0,
					pb.MemberState_MEMBER_STATE_ALIVE)
				first.MergeRumours(now, []*pb.Member{m})
				second.MergeRumours(now, []*pb.Member{m})
			}
		}
		for _, m := range claims {
			first.MergeRumours(now, []*pb.Member{m})
		}
		for _, m := range reordered {
			second.MergeRumours(now, []*pb.Member{m})
		}
		if formatMembers(first) != formatMembers(second) {
			t.Fatalf("views differ: %q and %q", formatMembers(first), formatMembers(second))
		}
	})
}

// TestDetectorRefutesClaimsAboutItself guards against a live node that stays suspect or dead in other views,
// and against refuting claims about its predecessor.
func TestDetectorRefutesClaimsAboutItself(t *testing.T) {
	for _, state := range []pb.MemberState{pb.MemberState_MEMBER_STATE_SUSPECT, pb.MemberState_MEMBER_STATE_DEAD} {
		t.Run(state.String(), func(t *testing.T) {
			is := is.New(t)
			d := newDetector()
			d.MergeRumours(time.Unix(1, 0), []*pb.Member{member("self", "10.0.0.1:7300", 100, 7, state)})
			is.Equal(d.Self().GetIncarnation(), uint64(8))
			is.Equal(d.Self().GetState(), pb.MemberState_MEMBER_STATE_ALIVE)
			d.MergeRumours(time.Unix(1, 0), []*pb.Member{member("self", "10.0.0.1:7300", 90, 20, state)})
			is.Equal(d.Self().GetIncarnation(), uint64(8)) // the claim is about the predecessor
		})
	}
}

// TestSameNameClaimWithLaterStart covers a process of the same name with a later start time: at the same address it is
// the predecessor, whose clock was ahead, and is outranked; at another address it replaces this node.
func TestSameNameClaimWithLaterStart(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	alive := pb.MemberState_MEMBER_STATE_ALIVE
	d.MergeRumours(time.Unix(1, 0), []*pb.Member{member("self", "10.0.0.1:7300", 200, 4, alive)})
	is.Equal(d.Self().GetStartedAt(), int64(201)) // the predecessor's clock was ahead; this process has the address
	is.Equal(len(d.Members()), 1)
	d.MergeRumours(time.Unix(1, 0), []*pb.Member{member("self", "10.0.0.9:7300", 300, 1, alive)})
	is.Equal(len(d.Members()), 0) // replaced at another address: accepts no more work
}

// TestSuspectIsDeclaredDeadUnlessRefuted guards against members that stay suspect forever and against the death of a
// member that refuted the suspicion in time.
func TestSuspectIsDeclaredDeadUnlessRefuted(t *testing.T) {
	for _, refuted := range []bool{false, true} {
		t.Run(fmt.Sprint(refuted), func(t *testing.T) {
			is := is.New(t)
			d := newDetector()
			now := time.Unix(1000, 0)
			peer := member("peer", "10.0.0.2:7300", 50, 1, pb.MemberState_MEMBER_STATE_ALIVE)
			d.MergeRumours(now, []*pb.Member{peer})
			targets := d.NextTargets(now)
			is.Equal(len(targets), 1)
			d.HandleProbeFailure(now, targets[0])
			is.Equal(len(d.Members()), 2) // a suspect is still a member
			if refuted {
				d.MergeRumours(now, []*pb.Member{member("peer", "10.0.0.2:7300", 50, 2, pb.MemberState_MEMBER_STATE_ALIVE)})
			}
			is.Equal(len(d.Expire(now.Add(suspicionPeriod))) == 0, refuted)
			is.Equal(len(d.Members()) == 2, refuted)
		})
	}
}

// TestLostExcludesLeftAndRestartedMembers checks that a dead member counts as lost for as long as a network partition
// may last, unless it left or a process of the same name started later.
func TestLostExcludesLeftAndRestartedMembers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := newDetector()
	alive := func(name string, startedAt int64) *pb.Member {
		return member(name, name+":7300", startedAt, 1, pb.MemberState_MEMBER_STATE_ALIVE)
	}
	declareDead := func(name string, incarnation uint64) {
		d.MergeRumours(now, []*pb.Member{member(name, name+":7300", 1, incarnation, pb.MemberState_MEMBER_STATE_DEAD)})
	}
	for _, name := range []string{"silent", "left", "restarted"} {
		d.MergeRumours(now, []*pb.Member{alive(name, 1)})
	}
	d.MergeRumours(now, []*pb.Member{member("left", "left:7300", 1, 1, pb.MemberState_MEMBER_STATE_LEAVING)})
	is.Equal(len(d.Lost()), 0)
	declareDead("silent", 1)
	declareDead("left", 1)
	declareDead("restarted", 1)
	d.MergeRumours(now, []*pb.Member{alive("restarted", 2)})
	is.Equal(len(d.Lost()), 1)
	is.Equal(d.Lost()[0].GetName(), "silent")

	generation := d.Generation()
	d.Expire(now.Add(11 * time.Minute))
	is.Equal(len(d.Lost()), 0)
	is.True(d.Generation() > generation) // so that shares that depend on the members are computed again
}

// TestNodesWithSameStaleViewCatchUp guards against nodes that missed a rumour and keep confirming each other's view.
func TestNodesWithSameStaleViewCatchUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := newDetector()
	d.MergeRumours(now, []*pb.Member{member("peer", "10.0.0.2:7300", 50, 1, pb.MemberState_MEMBER_STATE_ALIVE)})
	requested := false
	const exchanges = 40 // of ten seconds: a node probes and is probed about twice a second
	for i := range exchanges {
		digest := d.Digest()
		if i%3 != 0 { // two of three other nodes have the complete view
			digest++
		}
		d.ObserveDigest(digest)
		requested = requested || d.WantsEverything(now.Add(time.Duration(i)*250*time.Millisecond))
	}
	is.True(requested)
}
