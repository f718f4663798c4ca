// Package detector decides which nodes are live, in the manner of SWIM. Claims about members and the
// results of probes flow in together with the time; whom to probe next, which rumours to pass on and
// the list of live members flow out. It starts no goroutine, reads no clock and sends nothing, so that
// the same code runs in the daemon and, hundreds of nodes at once, in tests on virtual time.
//
// A member that does not answer is suspected first. It hears of that with the next message that reaches
// it and refutes it with a higher incarnation; otherwise it is declared dead when the suspicion is over.
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
	// maxRumours bounds the rumours of one message, the sender itself not counted.
	maxRumours = 8
	// rumourFactor times the logarithm of the fleet's size is how often each node repeats a rumour.
	rumourFactor = 3
	// remoteEvery is the period in which a member of another region is probed.
	remoteEvery = 4
	// slowEvery is the period in which an address is probed that may not be a live node.
	slowEvery = 8
	// joinProbes is how many addresses a node tries in each period while it knows no live member.
	joinProbes = 4

	firstRetryPause = time.Second
	maxRetryPause   = time.Minute
	maxCandidateGap = 10 * time.Minute
	deadKeepFor     = time.Hour
	lostKeepFor     = 10 * time.Minute // regions lose each other for minutes

	// manyRumours waiting to be sent show that asking for everything is cheaper than passing them on.
	manyRumours   = 2 * maxRumours
	everythingGap = 10 * time.Second
	// maxDifferences between views in a row is more than the spread of one rumour makes.
	maxDifferences = 20

	digestFactor = 0x9e3779b97f4a7c15
)

type (
	// Config holds what a Detector needs.
	Config struct {
		// Self describes this node; the Detector changes a copy of it.
		Self *pb.Member
		// SuspicionPeriod is how long a suspected member may take to refute. It does not grow with the
		// fleet: the node that accuses goes on probing the suspect, so no rumour has to find its way.
		SuspicionPeriod time.Duration
		// Seeds are peer addresses known from the settings.
		Seeds []string
		// Targets returns which of the members are probed; nil means all of them. It may change the slice.
		Targets  func(names []string) []string
		Random   *rand.Rand
		Asserter *asserter.Asserter
	}

	// Detector is the state of one node's view. It is not safe for concurrent use.
	Detector struct {
		config Config
		self   *pb.Member
		// superseded is set when a newer process runs under this node's name at another address.
		superseded bool
		// digest covers the members; differences counts the other views in a row that had another one.
		digest      uint64
		differences int
		// resumed is set until everything was asked for after a pause.
		resumed bool
		// askedAt is when everything was asked for last.
		askedAt time.Time
		// records has each other node by name; a record's claim is never replaced by an older one.
		records map[string]*record
		// names has the name of the newest process at each peer address.
		names map[string]string
		// candidates have addresses at which no node has answered yet.
		candidates map[string]*candidate
		// transmissions has how often each rumour is still to be sent; entries are above zero.
		transmissions map[string]int
		// bulk is set while a message with everything is being learnt.
		bulk bool
		// local and remote are the shuffled rest of the round of probes in this region and in others.
		local, remote []string
		period        uint64
		// members is sorted by name and is replaced, never changed in place; it is computed when it is
		// asked for while outdated is set.
		members    []*pb.Member
		outdated   bool
		generation uint64
		counters   Counters
	}

	// Counters count what has happened since the start.
	Counters struct {
		Suspicions  uint64
		Deaths      uint64
		Refutations uint64
		Resumptions uint64
	}

	// Target is one address to probe.
	Target struct {
		Address string
		// Name is empty while it is not known which node has the address.
		Name string
		// claim is what was known of the node when the probe was chosen.
		claim *pb.Member
	}

	record struct {
		claim *pb.Member
		// leaving stays set for the rest of the process's life.
		leaving bool
		// accused is set while this node itself suspects the member.
		accused bool
		// suspectedUntil ends a suspicion; meaningful for suspects only.
		suspectedUntil time.Time
		deadAt         time.Time
		// lost is set while the member is dead, has not left and may still run behind a network partition.
		lost       bool
		retryAt    time.Time
		retryPause time.Duration
	}

	candidate struct {
		seed    bool
		tryAt   time.Time
		pause   time.Duration
		ordinal uint64
	}
)

// New returns a Detector that knows only this node.
func New(c Config) *Detector {
	d := &Detector{
		config:        c,
		self:          proto.CloneOf(c.Self),
		records:       map[string]*record{},
		names:         map[string]string{},
		candidates:    map[string]*candidate{},
		transmissions: map[string]int{},
		outdated:      true,
	}
	d.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	for _, a := range c.Seeds {
		d.AddCandidate(a)
		if k := d.candidates[a]; k != nil {
			k.seed = true
		}
	}
	d.refresh()
	d.generation = 1
	return d
}

// AddCandidate takes an address at which a node may run.
func (d *Detector) AddCandidate(address string) {
	if address == "" || address == d.self.GetPeerAddress() || d.candidates[address] != nil || d.names[address] != "" {
		return
	}
	d.candidates[address] = &candidate{pause: firstRetryPause, ordinal: d.config.Random.Uint64()}
}

// Self returns what this node says of itself.
func (d *Detector) Self() *pb.Member { return d.self }

// SetLoad sets the load that this node tells the others.
func (d *Detector) SetLoad(load uint32) {
	if d.self.GetLoad() == load {
		return
	}
	d.self = proto.CloneOf(d.self)
	d.self.Load = load
	d.rebuild()
}

// Members returns the nodes that may be given work, sorted by name. The slice must not be changed.
func (d *Detector) Members() []*pb.Member {
	d.refresh()
	return d.members
}

// Generation changes whenever a member comes, goes, moves to another address or does not count as lost any more.
func (d *Detector) Generation() uint64 {
	d.refresh()
	return d.generation
}

// Counters returns what has happened since the start.
func (d *Detector) Counters() Counters { return d.counters }

// Joined tells whether any other node is known to be live.
func (d *Detector) Joined() bool {
	for _, r := range d.records {
		if r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			return true
		}
	}
	return false
}

// WantsEverything tells whether the next probe is to ask for all members: by a node that knows nobody yet,
// that was paused, or that sees a great change, and not too often by one that has members.
func (d *Detector) WantsEverything(now time.Time) bool {
	if !d.Joined() {
		return true
	}
	due := d.resumed || len(d.transmissions) > manyRumours || d.differences > maxDifferences
	if !due || now.Sub(d.askedAt) < everythingGap {
		return false
	}
	d.resumed = false
	d.differences = 0
	d.askedAt = now
	return true
}

// Digest identifies the members that this node holds for live.
func (d *Detector) Digest() uint64 {
	d.refresh()
	return d.digest
}

// ObserveDigest compares the view of another node. Views differ while a rumour spreads; views that go on
// differing show that one was missed.
func (d *Detector) ObserveDigest(digest uint64) {
	if digest == d.Digest() {
		d.differences = 0
		return
	}
	d.differences++
}

// Leave tells the others that this node takes no new work.
func (d *Detector) Leave() {
	d.self = proto.CloneOf(d.self)
	d.self.State = pb.MemberState_MEMBER_STATE_LEAVING
	d.self.Incarnation++
	d.rebuild()
}

// Resume takes note that the process did not run for a while: what it holds of the others is old, so
// all suspicions start again, and its own next messages refute what the others may hold of it.
func (d *Detector) Resume(now time.Time) {
	d.counters.Resumptions++
	d.resumed = true
	d.self = proto.CloneOf(d.self)
	d.self.Incarnation++
	for _, r := range d.records {
		if r.claim.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
			r.suspectedUntil = now.Add(d.config.SuspicionPeriod)
		}
	}
	d.rebuild()
}

// Address returns the peer address of the node, dead or alive, or an empty string.
func (d *Detector) Address(name string) string {
	if r := d.records[name]; r != nil {
		return r.claim.GetPeerAddress()
	}
	return ""
}

// Relays returns up to count live members, in random order, that may probe the address in this node's place.
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

// Everything returns this node and all that it knows, the dead included.
func (d *Detector) Everything() []*pb.Member {
	all := []*pb.Member{d.self}
	for _, n := range d.sortedNames() {
		all = append(all, d.records[n].claim)
	}
	return all
}

// Rumours returns what a message to the address carries: this node first, then what the receiver must
// refute if it can, then the rumours that were sent least often so far.
func (d *Detector) Rumours(address string) []*pb.Member {
	rumours := []*pb.Member{d.self}
	receiver := d.names[address]
	if r := d.records[receiver]; r != nil && !takesWork(r.claim) {
		rumours = append(rumours, r.claim)
	}
	for _, n := range d.leastSent(maxRumours) {
		if n != receiver {
			rumours = append(rumours, d.records[n].claim)
		}
		d.transmissions[n]--
		if d.transmissions[n] <= 0 {
			delete(d.transmissions, n)
		}
	}
	return rumours
}

// leastSent returns up to count names whose rumours were sent least often so far.
func (d *Detector) leastSent(count int) []string {
	names := make([]string, 0, count+1)
	before := func(a, b string) int {
		return cmp.Or(cmp.Compare(d.transmissions[b], d.transmissions[a]), strings.Compare(a, b))
	}
	for n := range d.transmissions {
		if len(names) == count && before(names[count-1], n) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(names, n, before)
		names = slices.Insert(names, at, n)
		names = names[:min(len(names), count)]
	}
	return names
}

// rebuild makes the members be computed anew before they are read next.
func (d *Detector) rebuild() { d.outdated = true }

// live returns the members that are not leaving, or all that are.
func (d *Detector) live(leaving bool) []*pb.Member {
	members := make([]*pb.Member, 0, len(d.records)+1)
	if !d.superseded && takesWork(d.self) != leaving {
		members = append(members, d.self)
	}
	for _, r := range d.records {
		if r.leaving == leaving && r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			members = append(members, r.claim)
		}
	}
	return members
}

// refresh computes the members; the generation changes only with their names and addresses.
func (d *Detector) refresh() {
	if !d.outdated {
		return
	}
	d.outdated = false
	members := d.live(false)
	if len(members) == 0 {
		members = d.live(true) // all are leaving: they serve to their end
	}
	slices.SortFunc(members, func(a, b *pb.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	if !slices.EqualFunc(members, d.members, sameNode) {
		d.generation++
	}
	d.members = members
	d.digest = 0
	for _, m := range members {
		d.digest ^= xxhash.Sum64String(m.GetName()) + uint64(m.GetStartedAt())*digestFactor
	}
}

func (d *Detector) spread(name string) {
	d.transmissions[name] = rumourFactor * int(math.Ceil(math.Log2(float64(len(d.records)+2))))
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

func takesWork(m *pb.Member) bool {
	return m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE
}
