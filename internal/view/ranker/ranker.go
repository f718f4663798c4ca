// Package ranker orders the live nodes for a key by rendezvous hashing, so that every node computes the
// same owner for a leaf from the same view, and the loss of one node moves only the keys it owned.
// Nodes of the key's own availability zone come first, then those of its region, then all others.
//
// The name of each node is hashed once per view and mixed with the hash of each key, so that placing thousands of
// keys on a thousand nodes after a change of the view costs a few instructions per pair.
package ranker

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	proximitySameZone = iota
	proximitySameRegion
	proximityElsewhere
)

const (
	mixFactor1 = 0xbf58476d1ce4e5b9 // constants of the splitmix64 finalizer
	mixFactor2 = 0x94d049bb133111eb
)

type (
	// Key identifies an item to be placed on a node, with its location, if any.
	Key struct {
		Name             string
		AvailabilityZone string
		Region           string
	}

	// Ranker ranks the nodes of one view. It is immutable.
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

	scoredMember struct {
		member    *pb.Member
		proximity int
		score     uint64
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
	best := make([]scoredMember, 0, count+1)
	hash := xxhash.Sum64String(k.Name)
	for _, c := range r.candidates(k, count) {
		best = insert(best, c.score(k, hash), count)
	}
	leading := make([]*pb.Member, 0, len(best))
	for _, s := range best {
		leading = append(leading, s.member)
	}
	return leading
}

// Position returns how many members would own the key before the named one, or the number of all members if it is not
// among them.
func (r *Ranker) Position(k Key, name string) int {
	named := slices.IndexFunc(r.all, func(c candidate) bool { return c.member.GetName() == name })
	if named < 0 {
		return len(r.all)
	}
	hash, before := xxhash.Sum64String(k.Name), 0
	own := r.all[named].score(k, hash)
	for i, c := range r.all {
		if i != named && c.score(k, hash).before(own) {
			before++
		}
	}
	return before
}

// Count returns the number of members.
func (r *Ranker) Count() int {
	return len(r.all)
}

// score returns the place of a candidate for a key whose name has a hash.
func (c candidate) score(k Key, hash uint64) scoredMember {
	return scoredMember{member: c.member, proximity: proximity(k, c.member), score: mix(hash, c.hash)}
}

// candidates returns the nearest group that has at least count members, or all members if none has.
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
	list := make([]scoredMember, 0, len(members))
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
func insert(best []scoredMember, s scoredMember, count int) []scoredMember {
	position := len(best)
	for position > 0 && s.before(best[position-1]) {
		position--
	}
	if position == count {
		return best
	}
	best = append(best, scoredMember{})
	copy(best[position+1:], best[position:])
	best[position] = s
	return best[:min(len(best), count)]
}

func score(k Key, m *pb.Member) scoredMember {
	hash := mix(xxhash.Sum64String(k.Name), xxhash.Sum64String(m.GetName()))
	return scoredMember{member: m, proximity: proximity(k, m), score: hash}
}

// mix combines two hashes so that each bit of the result depends on each bit of both.
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
		return proximitySameZone
	case k.Region != "" && m.GetRegion() == k.Region:
		return proximitySameRegion
	default:
		return proximityElsewhere
	}
}

func (s scoredMember) before(o scoredMember) bool {
	if s.proximity != o.proximity {
		return s.proximity < o.proximity
	}
	if s.score != o.score {
		return s.score > o.score
	}
	return s.member.GetName() < o.member.GetName()
}
