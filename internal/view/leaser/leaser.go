// Package leaser decides whether, and until when, this node may dispatch to a leaf. Nodes agree on this by leases, here
// called tenures, so that no two nodes that can reach each other dispatch to the same leaf at once.
//
// The first node in a leaf's rank asks the next one to promise, for one tenure, neither to dispatch to the leaf
// nor to promise it to any other node. The asking node counts the tenure from when it sent the request, the
// promising node counts a longer time from when it received it, so that the right to dispatch always ends before the
// promise does. A node that has just started, was paused or has just become first in its own view may have
// missed promises and does not rely on what it knows: it waits until every such promise has expired.
package leaser

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

// Multiples of Config.Tenure.
const (
	promiseFactor         = 1.1     // a promise outlasts the tenure to allow for clock drift and message delivery
	unknownTenureFactor   = 1.5     // after this time a tenure that this node does not know of has ended
	renewalFactor         = 2.0 / 3 // a tenure is renewed when no more than this is left of it
	pauseFactor           = 0.5     // a longer time without a tick means that the process was paused
	requestIntervalFactor = 0.1     // shortest time between two requests for the same leaf
)

type (
	// Ranks returns the nodes in the order in which they would own a leaf.
	Ranks interface {
		Ranked(leaf string) []*pb.Member
	}

	// Config holds the settings and dependencies of a Leaser.
	Config struct {
		NodeName string
		Ranks    Ranks
		Clock    quartz.Clock
		// Tenure is how long this node may dispatch under one promise.
		Tenure   time.Duration
		Asserter *asserter.Asserter
	}

	// Leaser keeps the promises that this node has given and received. It is safe for concurrent use.
	Leaser struct {
		config    Config
		startedAt time.Time
		mutex     sync.Mutex
		lastTick  time.Time
		// epoch is incremented after each pause; replies to requests of an older epoch grant no tenure.
		epoch uint64
		// releases are the requests, to be sent at the next tick, that give back promises no longer needed.
		releases []Request
		// leaving is set, and never reset, once this node gives up its leaves.
		leaving bool
		// claims has the leaves that this node holds or wants to hold, promises those promised to other nodes.
		claims   map[string]*claim
		promises map[string]promise
	}

	// Request is a message that asks another node for promises or gives them back.
	Request struct {
		To     *pb.Member
		Body   *pb.TenureRequest
		sentAt time.Time
		// epoch is the Leaser's epoch at the time of the request.
		epoch uint64
	}

	// Handover is a leaf that this node gives up because another node is to own it now.
	Handover struct {
		Leaf string
		To   *pb.Member
		// Release gives the promise back to the node that gave it; nil when this node holds no promise.
		Release *Request
	}

	claim struct {
		// firstSince is when this node became first in its own view; zero when it is not first.
		firstSince time.Time
		// expiresAt is when the right to dispatch ends; the zero time means that there is no such right.
		expiresAt time.Time
		// granter is the node that gave the promise; nil when there is no promise or this node is alone.
		granter *pb.Member
		// priorTenureEnded is set when no other node can still hold a tenure that this node does not know of.
		priorTenureEnded bool
		// priorEndReportedAt is when this node last learned by a message that the former owner had stopped.
		priorEndReportedAt time.Time
		// requestPending is set while a request awaits its reply.
		requestPending bool
		// requestedAt is when the last request was made; the next one is due requestIntervalFactor later at the
		// earliest.
		requestedAt time.Time
		// unansweredRequests counts consecutive requests without a reply.
		unansweredRequests int
		// holder is the node that holds the leaf according to the last refusal.
		holder string
	}
)

// New returns a Leaser without tenures or promises.
func New(c Config) *Leaser {
	now := c.Clock.Now()
	return &Leaser{
		config: c, startedAt: now, lastTick: now, claims: map[string]*claim{}, promises: map[string]promise{},
	}
}

// TenureEnd returns when this node's right to dispatch to the leaf ends, or false when it has no such right now.
func (l *Leaser) TenureEnd(leaf string) (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.claims[leaf]
	now := l.config.Clock.Now()
	if c == nil || l.pausedLocked(now) || !now.Before(c.expiresAt) {
		return time.Time{}, false
	}
	p := l.promises[leaf]
	l.config.Asserter.Check(!p.active(now), "no_tenure_while_promised", "leaf", leaf, "holder", p.holder)
	return c.expiresAt, true
}

// Holder returns the name of the node that holds the leaf according to the last refusal, or an empty string.
func (l *Leaser) Holder(leaf string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c := l.claims[leaf]; c != nil {
		return c.holder
	}
	return ""
}

// Tick updates the claims to the current view. ownedLeaves are the leaves for which this node is first in rank; other
// leaves without a claim are not visited. Tick returns the requests that are due, each of which must be followed by
// one call of HandleReply, and the leaves that now belong to another node. The calling code hands the states of
// these leaves over.
func (l *Leaser) Tick(ownedLeaves []string, configured func(leaf string) bool) ([]Request, []Handover) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.config.Clock.Now()
	if l.pausedLocked(now) {
		l.dropClaimsLocked()
	}
	l.lastTick = now
	var due requestBatches
	var handovers []Handover
	for _, leaf := range l.relevantLeavesLocked(ownedLeaves, configured) {
		if handover, ok := l.handOverLocked(leaf, now); ok {
			handovers = append(handovers, handover)
			continue
		}
		l.tickLeafLocked(leaf, now, &due)
	}
	requests := append(due.requests(now, l), l.releases...)
	l.releases = nil
	return requests, handovers
}

// relevantLeavesLocked returns the leaves for which this node is first in rank or has a claim, and drops the claims to
// leaves that are no longer configured.
func (l *Leaser) relevantLeavesLocked(ownedLeaves []string, configured func(leaf string) bool) []string {
	relevant := make(map[string]bool, len(ownedLeaves)+len(l.claims))
	for _, leaf := range ownedLeaves {
		relevant[leaf] = true
	}
	for leaf := range l.claims {
		if configured(leaf) {
			relevant[leaf] = true
			continue
		}
		delete(l.claims, leaf)
	}
	return slices.Sorted(maps.Keys(relevant))
}

// HandleReply processes the reply to a request; nil means that there was no reply.
func (l *Leaser) HandleReply(request Request, reply *pb.TenureReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if request.Body.GetDuration() == nil {
		return // a release, which has no result
	}
	for _, leaf := range request.Body.GetLeaves() {
		if c := l.claims[leaf]; c != nil {
			c.requestPending = false
			if reply == nil {
				c.unansweredRequests++
			}
		}
	}
	now := l.config.Clock.Now()
	if request.epoch != l.epoch {
		return
	}
	for _, s := range reply.GetStates() {
		l.endPriorTenureLocked(s.GetLeaf())
	}
	for _, leaf := range reply.GetUnbroken() {
		l.endPriorTenureLocked(leaf)
	}
	for _, leaf := range reply.GetGranted() {
		l.handleGrantLocked(leaf, request, now)
	}
	for _, refused := range reply.GetRefused() {
		if c := l.claims[refused.GetLeaf()]; c != nil {
			c.holder = refused.GetHolder()
			c.unansweredRequests = 0
			if refused.GetStarting() {
				c.unansweredRequests = 1 // the asked node has just started; ask the next one in rank
			}
		}
	}
}

// HandleHandover records that the sender has stopped dispatching to the leaf and will not resume under its old tenure.
func (l *Leaser) HandleHandover(from, leaf string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.releaseLocked(from, []string{leaf})
	l.endPriorTenureLocked(leaf)
}

// Leave stops this node from claiming leaves; the next Tick hands over those that it holds.
func (l *Leaser) Leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = true
}

// Held returns the leaves that this node may dispatch to now.
func (l *Leaser) Held() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.config.Clock.Now()
	var held []string
	for leaf, c := range l.claims {
		if now.Before(c.expiresAt) {
			held = append(held, leaf)
		}
	}
	return held
}

// handOverLocked gives up a leaf that this node holds but that belongs to another node in the current view.
func (l *Leaser) handOverLocked(leaf string, now time.Time) (Handover, bool) {
	c := l.claims[leaf]
	if c == nil || !now.Before(c.expiresAt) {
		return Handover{}, false
	}
	for _, m := range l.config.Ranks.Ranked(leaf) {
		if m.GetName() != l.config.NodeName {
			delete(l.claims, leaf)
			return Handover{Leaf: leaf, To: m, Release: releaseRequest(leaf, c)}, true
		}
		if !l.leaving {
			return Handover{}, false
		}
	}
	return Handover{}, false
}

func releaseRequest(leaf string, c *claim) *Request {
	if c.granter == nil {
		return nil
	}
	return &Request{To: c.granter, Body: &pb.TenureRequest{Leaves: []string{leaf}}}
}

func (l *Leaser) tickLeafLocked(leaf string, now time.Time, due *requestBatches) {
	ranked := l.config.Ranks.Ranked(leaf)
	c := l.claims[leaf]
	if l.leaving && c != nil && now.Before(c.expiresAt) {
		l.extendAsOnlyNodeLocked(c, now) // no other node can take the leaf over
		return
	}
	if l.leaving || len(ranked) == 0 || ranked[0].GetName() != l.config.NodeName {
		if c != nil && now.Sub(c.priorEndReportedAt) > l.unknownTenureDuration() {
			delete(l.claims, leaf)
		}
		return
	}
	if c == nil {
		c = &claim{}
		l.claims[leaf] = c
	}
	l.updateWaitLocked(c, leaf, now)
	if l.promises[leaf].active(now) {
		return
	}
	if len(ranked) == 1 {
		l.extendAsOnlyNodeLocked(c, now)
		return
	}
	if c.requestPending || c.expiresAt.Sub(now) > time.Duration(renewalFactor*float64(l.config.Tenure)) {
		return
	}
	if now.Sub(c.requestedAt) < time.Duration(requestIntervalFactor*float64(l.config.Tenure)) {
		return // a refusal triggers a tick on both nodes, which would otherwise send each other requests without end
	}
	c.requestPending = true
	c.requestedAt = now
	due.add(ranked[1+c.unansweredRequests%(len(ranked)-1)], leaf, c, now)
}

// updateWaitLocked records when this node became first, and ends its wait once no other node can still hold a
// tenure that this node does not know of.
func (l *Leaser) updateWaitLocked(c *claim, leaf string, now time.Time) {
	if c.firstSince.IsZero() {
		c.firstSince = now
		c.priorTenureEnded = c.priorTenureEnded || l.recentlyPromisedLocked(leaf, now)
	}
	if now.Sub(c.firstSince) >= l.unknownTenureDuration() {
		c.priorTenureEnded = true
	}
}

// extendAsOnlyNodeLocked extends the tenure of the only node in the view without a promise, once the node has been
// first for long enough, without a pause, that no other node can still hold a tenure.
func (l *Leaser) extendAsOnlyNodeLocked(c *claim, now time.Time) {
	if c.priorTenureEnded {
		c.expiresAt = now.Add(l.config.Tenure)
		c.granter = nil
	}
}

// handleGrantLocked records a received promise and releases the previous one if another node gave it.
func (l *Leaser) handleGrantLocked(leaf string, request Request, now time.Time) {
	c := l.claims[leaf]
	if c == nil || c.firstSince.IsZero() || l.promises[leaf].active(now) {
		return
	}
	c.unansweredRequests = 0
	c.holder = ""
	if c.granter != nil && c.granter.GetName() != request.To.GetName() {
		l.releases = append(l.releases, *releaseRequest(leaf, c))
	}
	c.granter = request.To
	if !c.priorTenureEnded {
		return // the promise already keeps other nodes from dispatching while this node waits
	}
	c.expiresAt = request.sentAt.Add(l.config.Tenure)
}

// endPriorTenureLocked records a report that the former owner has stopped dispatching to the leaf.
func (l *Leaser) endPriorTenureLocked(leaf string) {
	c := l.claims[leaf]
	if c == nil {
		c = &claim{}
		l.claims[leaf] = c
	}
	c.priorTenureEnded = true
	c.priorEndReportedAt = l.config.Clock.Now()
}

// dropClaimsLocked drops all claims after a pause, during which other nodes may have taken the leaves over.
func (l *Leaser) dropClaimsLocked() {
	l.claims = map[string]*claim{}
	l.epoch++
}

// pausedLocked reports whether the process was paused since the last tick. It also compares wall clock times because
// the monotonic clock may stop while the VM is suspended.
func (l *Leaser) pausedLocked(now time.Time) bool {
	threshold := time.Duration(pauseFactor * float64(l.config.Tenure))
	wall := now.Round(0).Sub(l.lastTick.Round(0))
	return now.Sub(l.lastTick) > threshold || wall > threshold
}

// unknownTenureDuration is the time after which the tenure of a former owner that this node does not know of has
// ended: the tenure plus the time that the change of the view takes to reach the former owner.
func (l *Leaser) unknownTenureDuration() time.Duration {
	return time.Duration(unknownTenureFactor * float64(l.config.Tenure))
}
