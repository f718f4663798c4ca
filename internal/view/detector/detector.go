// Package detector decides which nodes are live, with a failure detector and gossip protocol based on SWIM. From
// the claims about members and the probe results that it is given, it works out which addresses to probe next,
// which rumours to send and which members are live. It starts no goroutine, reads no clock and does no I/O, so
// that the same code runs in the daemon and, with hundreds of nodes in one process, in tests on virtual time.
//
// A member that does not answer is first marked as suspect. The next message that reaches it tells it so, and it
// refutes the suspicion with a higher incarnation; otherwise it is declared dead when the suspicion period ends.
package detector

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	// maxRumours bounds the queued rumours that one message carries, besides the claims about its sender and receiver. It
	// is reached only when many nodes start or fail together.
	maxRumours = 48
	// rumourRepeatFactor times the binary logarithm of the fleet size is how many times each node sends a rumour.
	rumourRepeatFactor = 3
	// periodsPerRemoteProbe is the number of periods from one probe of a member in another region to the next.
	periodsPerRemoteProbe = 4
	// periodsPerNonMemberProbe is the number of periods from one probe of an address where no live node is known, a
	// candidate or a dead member, to the next.
	periodsPerNonMemberProbe = 8
	// maxAnnouncementTargets bounds the further members that are probed at once after a change of the request for helpers.
	maxAnnouncementTargets = 4
	// joinProbesPerPeriod is how many candidate addresses a node probes in each period while it knows no live member.
	joinProbesPerPeriod = 4

	initialRetryDelay      = time.Second
	maxDeadRetryDelay      = time.Minute
	maxCandidateRetryDelay = 10 * time.Minute
	deadRetention          = time.Hour
	lostRetention          = 10 * time.Minute // network partitions between regions last minutes

	// maxRumourBacklog is the number of queued rumours above which a full exchange is cheaper than gossiping them.
	maxRumourBacklog = 2 * maxRumours
	// A node requests all members again after minEverythingInterval as long as the answers bring news, and otherwise after
	// twice the previous interval, up to maxEverythingInterval, as long as there is a reason to. When many nodes start or
	// fail together, one answer is out of date as soon as it arrives, and rumours alone take tens of seconds.
	minEverythingInterval = 500 * time.Millisecond
	maxEverythingInterval = 10 * time.Second
	// maxDigestDoubt is the doubt above which a rumour must have been missed; less arises while a single rumour spreads.
	// An equal digest takes away less doubt than a different one adds, because nodes that missed the same rumour have
	// equal digests.
	maxDigestDoubt      = 24
	digestMismatchDoubt = 2
	digestMatchRelief   = 1

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
		// ProbePeriod is the time from one call of NextTargets to the next, at least 1 ns.
		ProbePeriod time.Duration
		// Seeds are the peer addresses from the settings.
		Seeds []string
		// FilterTargets returns those of the named members that are to be probed; nil means all. The names are in the order
		// of the ring that begins behind this node, which it keeps if it returns all. It may modify the slice.
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
		// digest identifies the list of members. digestDoubt is at least 0: digestMismatchDoubt for each digest of another
		// node that differed, less digestMatchRelief for each equal one, since all members were last requested.
		digest      uint64
		digestDoubt int
		// resyncPending is set from a pause of the process until all members have been requested again.
		resyncPending bool
		// everythingRequestedAt is when this node last requested all members; requests made before it joined do not count.
		everythingRequestedAt time.Time
		// everythingBroughtNews is set when the last answer with all members has changed this node's view.
		everythingBroughtNews bool
		// everythingInterval is the time until this node may request all members again, between minEverythingInterval and
		// maxEverythingInterval.
		everythingInterval time.Duration
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
		// announcementPending is set from a change of the request for helpers until the next targets are chosen.
		announcementPending bool
		// localRound and remoteRound are the current passes over the members of this region and of all others.
		localRound, remoteRound round
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

	// round is one pass over the members to probe.
	round struct {
		// generation is the generation of the view that names were taken from.
		generation uint64
		// number is the number of this pass since the epoch; nodes with the same view and time have the same number.
		number uint64
		// names is in the order of probing.
		names []string
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

// SetHelpers sets the number of further serving nodes that this node asks for. Unlike the load it must reach all nodes,
// so a change is a new claim, which spreads as a rumour that several members get at once.
func (d *Detector) SetHelpers(helpers uint32) {
	if d.self.GetHelpers() == helpers {
		return
	}
	d.self = proto.CloneOf(d.self)
	d.self.Helpers = helpers
	d.self.Incarnation++
	d.announcementPending = true
	d.invalidateMembers()
}

// Counters returns the event counts since the start.
func (d *Detector) Counters() Counters { return d.counters }

// WantsEverything tells whether the next probe is to request all members. A node that knows no live member always
// requests them. Any other does so after a pause of the process, with a large backlog of rumours, when most digests
// keep differing, or after any recent mismatch if the last answer with all members has brought news. The requests come
// at growing intervals.
func (d *Detector) WantsEverything(now time.Time) bool {
	if !d.Joined() {
		return true
	}
	due := d.resyncPending || len(d.transmissionsLeft) > maxRumourBacklog || d.digestDoubt > maxDigestDoubt ||
		(d.everythingBroughtNews && d.digestDoubt > 0)
	if !due || now.Sub(d.everythingRequestedAt) < d.everythingInterval {
		return false
	}
	d.resyncPending = false
	d.digestDoubt = 0
	d.everythingRequestedAt = now
	d.everythingInterval = min(max(2*d.everythingInterval, minEverythingInterval), maxEverythingInterval)
	d.everythingBroughtNews = false
	return true
}

// ObserveDigest compares another node's digest with this node's. Digests differ while a rumour spreads; if most of them
// keep differing, this node or the others missed a rumour.
func (d *Detector) ObserveDigest(digest uint64) {
	if digest == d.Digest() {
		d.digestDoubt = max(0, d.digestDoubt-digestMatchRelief)
		return
	}
	d.digestDoubt += digestMismatchDoubt
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
