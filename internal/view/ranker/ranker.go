// Package ranker orders the live nodes for a key by rendezvous hashing, so that every node computes the
// same owner for a leaf from the same view, and the loss of one node moves only the keys it owned.
// Nodes of the key's own availability zone come first, then those of its region, then all others.
//
// The name of each node is hashed once for a view and mixed with the hash of each key, so that placing
// thousands of keys over a thousand nodes after a change of the view costs a few instructions a pair.
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

const (
	mixFactor1 = 0xbf58476d1ce4e5b9 // constants of the splitmix64 finalizer
	mixFactor2 = 0x94d049bb133111eb
)

type (
	// Key is what is to be placed.
	Key struct {
		Name             string
		AvailabilityZone string
		Region           string
	}

	// Ranker ranks the nodes of one view. It never changes.
	Ranker struct {
		// all has every candidate; byZone and byRegion group the same candidates.
		all      []candidate
		byZone   map[string][]candidate
		byRegion map[string][]candidate
	}

	candidate struct {
		member *pb.Member
		hash   uint64
	}

	scored struct {
		member *pb.Member
		class  int
		score  uint64
	}
)

// New returns a Ranker of the members. The input is not changed.
func New(members []*pb.Member) *Ranker {
	r := &Ranker{byZone: map[string][]candidate{}, byRegion: map[string][]candidate{}}
	for _, m := range members {
		c := candidate{member: m, hash: xxhash.Sum64String(m.GetName())}
		r.all = append(r.all, c)
		r.byZone[m.GetAvailabilityZone()] = append(r.byZone[m.GetAvailabilityZone()], c)
		r.byRegion[m.GetRegion()] = append(r.byRegion[m.GetRegion()], c)
	}
	return r
}

// Leading returns the first count members in the order in which they would own the key.
func (r *Ranker) Leading(k Key, count int) []*pb.Member {
	best := make([]scored, 0, count+1)
	hash := xxhash.Sum64String(k.Name)
	for _, c := range r.candidates(k, count) {
		s := scored{member: c.member, class: proximity(k, c.member), score: mix(hash, c.hash)}
		best = insert(best, s, count)
	}
	leading := make([]*pb.Member, 0, len(best))
	for _, s := range best {
		leading = append(leading, s.member)
	}
	return leading
}

// candidates returns the nearest group that has enough members.
func (r *Ranker) candidates(k Key, count int) []candidate {
	if zone := r.byZone[k.AvailabilityZone]; k.AvailabilityZone != "" && len(zone) >= count {
		return zone
	}
	if region := r.byRegion[k.Region]; k.Region != "" && len(region) >= count {
		return region
	}
	return r.all
}

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

// insert puts the score into the sorted list and keeps the first count.
func insert(best []scored, s scored, count int) []scored {
	at := len(best)
	for at > 0 && s.before(best[at-1]) {
		at--
	}
	if at == count {
		return best
	}
	best = append(best, scored{})
	copy(best[at+1:], best[at:])
	best[at] = s
	return best[:min(len(best), count)]
}

func score(k Key, m *pb.Member) scored {
	hash := mix(xxhash.Sum64String(k.Name), xxhash.Sum64String(m.GetName()))
	return scored{member: m, class: proximity(k, m), score: hash}
}

// mix combines two hashes so that each bit of both bears on each bit of the result.
func mix(key, member uint64) uint64 {
	x := key ^ (member * mixFactor1)
	x ^= x >> 30
	x *= mixFactor1
	x ^= x >> 27
	x *= mixFactor2
	return x ^ x>>31
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
