// Package ranker orders the live nodes for a key by rendezvous hashing, so that every node computes the
// same owner for a leaf from the same view, and the loss of one node moves only the keys it owned.
// Nodes of the key's own availability zone come first, then those of its region, then all others.
package ranker

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	rankSameZone = iota
	rankSameRegion
	rankElsewhere
)

type (
	// Key is what is to be placed.
	Key struct {
		Name             string
		AvailabilityZone string
		Region           string
	}

	scored struct {
		member *pb.Member
		class  int
		score  uint64
	}
)

// Rank returns the members in the order in which they would own the key. The input is not changed.
func Rank(k Key, members []*pb.Member) []*pb.Member {
	list := make([]scored, 0, len(members))
	for _, m := range members {
		list = append(list, score(k, m))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	ranked := make([]*pb.Member, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// First returns the owner of the key, or nil when there are no members.
func First(k Key, members []*pb.Member) *pb.Member {
	if len(members) == 0 {
		return nil
	}
	best := score(k, members[0])
	for _, m := range members[1:] {
		if s := score(k, m); s.before(best) {
			best = s
		}
	}
	return best.member
}

func score(k Key, m *pb.Member) scored {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.Name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(m.GetName())
	return scored{member: m, class: proximity(k, m), score: digest.Sum64()}
}

func proximity(k Key, m *pb.Member) int {
	switch {
	case k.AvailabilityZone != "" && m.GetAvailabilityZone() == k.AvailabilityZone:
		return rankSameZone
	case k.Region != "" && m.GetRegion() == k.Region:
		return rankSameRegion
	default:
		return rankElsewhere
	}
}

func (s scored) before(o scored) bool {
	if s.class != o.class {
		return s.class < o.class
	}
	if s.score != o.score {
		return s.score > o.score
	}
	return s.member.GetName() < o.member.GetName()
}
