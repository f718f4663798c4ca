// Package detector decides which nodes are live, with a failure detector and gossip protocol based on SWIM. From
// the claims about members and the probe results that it is given, it works out which addresses to probe next,
// which rumours to send and which members are live. It starts no goroutine, reads no clock and does no I/O, so
// that the same code runs in the daemon and, with hundreds of nodes in one process, in tests on virtual time.
//
// A member that does not answer is first marked as suspect. The next message that reaches it tells it so, and it
// refutes the suspicion with a higher incarnation; otherwise it is declared dead when the suspicion period ends.
package detector

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	// maxRumours bounds the queued rumours that one message carries, besides the claims about its sender and receiver.
	maxRumours = 8
	// rumourRepeatFactor times the binary logarithm of the fleet size is how many times each node sends a rumour.
	rumourRepeatFactor = 3
	// periodsPerRemoteProbe is the number of periods from one probe of a member in another region to the next.
	periodsPerRemoteProbe = 4
	// periodsPerNonMemberProbe is the number of periods from one probe of an address where no live node is known, a
	// candidate or a dead member, to the next.
	periodsPerNonMemberProbe = 8
	// joinProbesPerPeriod is how many candidate addresses a node probes in each period while it knows no live member.
	joinProbesPerPeriod = 4

	initialRetryDelay      = time.Second
	maxDeadRetryDelay      = time.Minute
	maxCandidateRetryDelay = 10 * time.Minute
	deadRetention          = time.Hour
	lostRetention          = 10 * time.Minute // network partitions between regions last minutes

	// maxRumourBacklog is the number of queued rumours above which a full exchange is cheaper than gossiping them.
	maxRumourBacklog      = 2 * maxRumours
	minEverythingInterval = 10 * time.Second
	// maxDigestMismatches is the number of consecutive mismatches above which a rumour must have been missed. Fewer occur
	// while a single rumour spreads.
	maxDigestMismatches = 20

	// goldenRatio64 is 2^64 divided by the golden ratio; it spreads start times over all bits of the digest.
	goldenRatio64 = 0x9e3779b97f4a7c15
)

type (
	// Config holds the settings and dependencies of a Detector.
	Config struct {
		// Self describes this node; the Detector works on a copy of it.
		Self *pb.Member
		// SuspicionPeriod is how long a suspect has to refute the suspicion. It does not grow with the fleet size:
		// the node that raised the suspicion keeps probing the suspect, which thus need not wait for a rumour.
		SuspicionPeriod time.Duration
		// Seeds are the peer addresses from the settings.
		Seeds []string
		// FilterTargets returns those of the named members that are to be probed; nil means all. It may modify the slice.
		FilterTargets func(names []string) []string
		Random        *rand.Rand
		Asserter      *asserter.Asserter
	}

	// Detector holds one node's view of the fleet. It is not safe for concurrent use.
	Detector struct {
		config Config
		self   *pb.Member
		// superseded is set when a newer process runs under this node's name at another address.
		superseded bool
		// digest identifies the list of members; digestMismatches counts the consecutive digests of other nodes that
		// differed from it.
		digest           uint64
		digestMismatches int
		// resyncPending is set from a pause of the process until all members have been requested again.
		resyncPending bool
		// everythingRequestedAt is when this node last requested all members; requests made before it joined do not count.
		everythingRequestedAt time.Time
		// records holds the other nodes by name; a record's claim is never replaced by an older one.
		records map[string]*record
		// nameByAddress maps each peer address to the name of the newest process there.
		nameByAddress map[string]string
		// candidates holds, by address, the peer addresses at which a node may run but none is known yet.
		candidates map[string]*candidate
		// transmissionsLeft maps the members with a queued rumour to how many more times it is sent, at least once.
		transmissionsLeft map[string]int
		// mergingEverything is set while a message with all members of the sender's view is merged.
		mergingEverything bool
		// localRound and remoteRound hold the names left to probe, in shuffled order, in this region and in others.
		localRound, remoteRound []string
		period                  uint64
		// members is sorted by name and is replaced, never modified in place. While membersStale is set, the next
		// read computes it again.
		members      []*pb.Member
		membersStale bool
		generation   uint64
		counters     Counters
	}

	// Counters counts events since the start.
	Counters struct {
		Suspicions  uint64
		Deaths      uint64
		Refutations uint64
		Pauses      uint64
	}

	// Target is one address to probe.
	Target struct {
		Address string
		// Name is empty if the node at the address is not known.
		Name string
		// claim is the claim about the node at the time when the target was chosen.
		claim *pb.Member
	}

	record struct {
		claim *pb.Member
		// leaving is set once the process has said that it is leaving, and is never cleared for that process.
		leaving bool
		// suspectedBySelf is set while this node itself has raised the suspicion.
		suspectedBySelf bool
		// suspectedUntil is when the suspicion period ends; it is meaningful only for suspects.
		suspectedUntil time.Time
		deadAt         time.Time
		// lost is set while the member is dead, has not left and may still be running behind a network partition.
		lost       bool
		retryAt    time.Time
		retryDelay time.Duration
	}

	candidate struct {
		seed       bool
		retryAt    time.Time
		retryDelay time.Duration
		// tieBreaker is random, so that nodes probe addresses that are due at the same time in different orders.
		tieBreaker uint64
	}
)

// New returns a Detector that knows only this node.
func New(c Config) *Detector {
	d := &Detector{
		config:            c,
		self:              proto.CloneOf(c.Self),
		records:           map[string]*record{},
		nameByAddress:     map[string]string{},
		candidates:        map[string]*candidate{},
		transmissionsLeft: map[string]int{},
		membersStale:      true,
	}
	d.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	for _, a := range c.Seeds {
		d.AddCandidate(a)
		if k := d.candidates[a]; k != nil {
			k.seed = true
		}
	}
	d.refreshMembers()
	d.generation = 1
	return d
}

// AddCandidate adds a peer address where a node may run, unless it is already known or this node's own.
func (d *Detector) AddCandidate(address string) {
	if address == "" || address == d.self.GetPeerAddress() || d.candidates[address] != nil ||
		d.nameByAddress[address] != "" {
		return
	}
	d.candidates[address] = &candidate{retryDelay: initialRetryDelay, tieBreaker: d.config.Random.Uint64()}
}

// Self returns this node's claim about itself.
func (d *Detector) Self() *pb.Member { return d.self }

// SetLoad sets the load that this node reports to the others.
func (d *Detector) SetLoad(load uint32) {
	if d.self.GetLoad() == load {
		return
	}
	d.self = proto.CloneOf(d.self)
	d.self.Load = load
	d.invalidateMembers()
}

// Members returns the nodes that may be given work, sorted by name. The caller must not modify the slice.
func (d *Detector) Members() []*pb.Member {
	d.refreshMembers()
	return d.members
}

// Generation returns a number that grows whenever a member joins, leaves, is declared dead, restarts, moves to another
// address or no longer counts as lost.
func (d *Detector) Generation() uint64 {
	d.refreshMembers()
	return d.generation
}

// Counters returns the event counts since the start.
func (d *Detector) Counters() Counters { return d.counters }

// Joined tells whether this node knows any other live node, suspects included.
func (d *Detector) Joined() bool {
	for _, r := range d.records {
		if r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			return true
		}
	}
	return false
}

// WantsEverything tells whether the next probe is to request all members. A node that knows no live member always
// requests them. Any other does so after a pause of the process, with a large backlog of rumours or after many
// digest mismatches, at most once in minEverythingInterval.
func (d *Detector) WantsEverything(now time.Time) bool {
	if !d.Joined() {
		return true
	}
	due := d.resyncPending || len(d.transmissionsLeft) > maxRumourBacklog || d.digestMismatches > maxDigestMismatches
	if !due || now.Sub(d.everythingRequestedAt) < minEverythingInterval {
		return false
	}
	d.resyncPending = false
	d.digestMismatches = 0
	d.everythingRequestedAt = now
	return true
}

// Digest returns a hash over the names and start times of the members.
func (d *Detector) Digest() uint64 {
	d.refreshMembers()
	return d.digest
}

// ObserveDigest compares another node's digest with this node's. Digests differ while a rumour spreads; if they keep
// differing, this node or the others missed a rumour.
func (d *Detector) ObserveDigest(digest uint64) {
	if digest == d.Digest() {
		d.digestMismatches = 0
		return
	}
	d.digestMismatches++
}

// Leave marks this node as leaving, which tells the others that it accepts no new work.
func (d *Detector) Leave() {
	d.self = proto.CloneOf(d.self)
	d.self.State = pb.MemberState_MEMBER_STATE_LEAVING
	d.self.Incarnation++
	d.invalidateMembers()
}

// HandlePause handles a pause of the whole process. This node's view is out of date, so all suspicion periods start
// again and all members are requested anew. A higher incarnation refutes what the others may have claimed about this
// node.
func (d *Detector) HandlePause(now time.Time) {
	d.counters.Pauses++
	d.resyncPending = true
	d.self = proto.CloneOf(d.self)
	d.self.Incarnation++
	for _, r := range d.records {
		if r.claim.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
			r.suspectedUntil = now.Add(d.config.SuspicionPeriod)
		}
	}
	d.invalidateMembers()
}

// Address returns the peer address of the named node, dead or alive, or an empty string if it is unknown.
func (d *Detector) Address(name string) string {
	if r := d.records[name]; r != nil {
		return r.claim.GetPeerAddress()
	}
	return ""
}

// Relays returns the peer addresses of up to count members, in random order, that can probe the address on behalf of
// this node.
func (d *Detector) Relays(address string, count int) []string {
	var addresses []string
	for _, m := range d.Members() {
		if m.GetPeerAddress() != address && m.GetName() != d.self.GetName() {
			addresses = append(addresses, m.GetPeerAddress())
		}
	}
	d.config.Random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(count, len(addresses))]
}

// Everything returns the claims about this node and all others it knows, dead ones included.
func (d *Detector) Everything() []*pb.Member {
	all := []*pb.Member{d.self}
	for _, n := range d.sortedNames() {
		all = append(all, d.records[n].claim)
	}
	return all
}

// Rumours returns the claims to put into a message to the address: first this node's own, then the one about the
// receiver unless that is alive, so that it can refute it, then the queued rumours sent least often so far.
func (d *Detector) Rumours(address string) []*pb.Member {
	rumours := []*pb.Member{d.self}
	receiver := d.nameByAddress[address]
	if r := d.records[receiver]; r != nil && !acceptsWork(r.claim) {
		rumours = append(rumours, r.claim)
	}
	for _, n := range d.leastSent(maxRumours) {
		if n != receiver {
			rumours = append(rumours, d.records[n].claim)
		}
		d.transmissionsLeft[n]--
		if d.transmissionsLeft[n] <= 0 {
			delete(d.transmissionsLeft, n)
		}
	}
	return rumours
}

// leastSent returns the names of up to count members whose queued rumours have the most transmissions left.
func (d *Detector) leastSent(count int) []string {
	names := make([]string, 0, count+1)
	byTransmissionsLeft := func(a, b string) int {
		return cmp.Or(cmp.Compare(d.transmissionsLeft[b], d.transmissionsLeft[a]), strings.Compare(a, b))
	}
	for n := range d.transmissionsLeft {
		if len(names) == count && byTransmissionsLeft(names[count-1], n) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(names, n, byTransmissionsLeft)
		names = slices.Insert(names, at, n)
		names = names[:min(len(names), count)]
	}
	return names
}

// invalidateMembers makes the next read of the members compute them again.
func (d *Detector) invalidateMembers() { d.membersStale = true }

// liveMembers returns the nodes, this one included, that are not known to be dead: those that are leaving or, if the
// argument is false, those that are not.
func (d *Detector) liveMembers(leaving bool) []*pb.Member {
	members := make([]*pb.Member, 0, len(d.records)+1)
	if !d.superseded && acceptsWork(d.self) != leaving {
		members = append(members, d.self)
	}
	for _, r := range d.records {
		if r.leaving == leaving && r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			members = append(members, r.claim)
		}
	}
	return members
}

// refreshMembers computes the members and the digest if they are stale. The generation changes only with the members'
// names, addresses and start times.
func (d *Detector) refreshMembers() {
	if !d.membersStale {
		return
	}
	d.membersStale = false
	members := d.liveMembers(false)
	if len(members) == 0 {
		members = d.liveMembers(true) // all nodes are leaving, and they serve until they stop
	}
	slices.SortFunc(members, func(a, b *pb.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	if !slices.EqualFunc(members, d.members, sameNode) {
		d.generation++
	}
	d.members = members
	d.digest = 0
	for _, m := range members {
		d.digest ^= xxhash.Sum64String(m.GetName()) + uint64(m.GetStartedAt())*goldenRatio64
	}
}

// queueRumour schedules the claim about the member for gossip.
func (d *Detector) queueRumour(name string) {
	d.transmissionsLeft[name] = rumourRepeatFactor * int(math.Ceil(math.Log2(float64(len(d.records)+2))))
}

func (d *Detector) sortedNames() []string {
	names := make([]string, 0, len(d.records))
	for n := range d.records {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func sameNode(a, b *pb.Member) bool {
	return a.GetName() == b.GetName() && a.GetPeerAddress() == b.GetPeerAddress() &&
		a.GetStartedAt() == b.GetStartedAt()
}

func acceptsWork(m *pb.Member) bool {
	return m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE
}
