// Package tenant decides whether this node may dispatch to a leaf. The ranks of the live view and the
// promises of other nodes flow in; for each leaf flows out until when this node may dispatch.
//
// The first node in a leaf's rank asks the next one to promise not to dispatch, and not to promise to
// anyone else, for a tenure. It counts the tenure from the moment of asking, the other counts a longer
// time from the moment of receipt, so that the right to dispatch always ends before the promise does.
// A node that was paused, has just started or has just become first by its own view does not trust what
// it knows: it waits until every promise that it may have missed is over.
package tenant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	promiseMargin = 1.1 // a promise lasts longer than the tenure by clock drift and delivery
	strangerShare = 1.5 // of the tenure until a right that this node never heard of is over
	renewalShare  = 2.0 / 3
	pauseShare    = 0.5 // of the tenure without a tick is a pause
	askShare      = 0.1 // of the tenure between two requests for the same leaf
)

type (
	// Ranks tells in which order nodes would own a leaf.
	Ranks interface {
		Ranked(leaf string) []*pb.Member
	}

	// Config holds what a Tenant needs.
	Config struct {
		NodeName string
		Ranks    Ranks
		Clock    quartz.Clock
		// Tenure is how long one promise lets this node dispatch.
		Tenure   time.Duration
		Asserter *asserter.Asserter
	}

	// Tenant holds the promises given and received. It is safe for concurrent use.
	Tenant struct {
		config    Config
		startedAt time.Time
		mutex     sync.Mutex
		// ticked is the time of the last tick.
		ticked time.Time
		// epoch grows with each pause; replies to requests of an older epoch give no right.
		epoch uint64
		// releases are due to nodes whose promises are not needed any more.
		releases []Request
		// leaving is set for good once this node gives up its leaves.
		leaving bool
		// claims has what this node holds or wants, promises what it has given.
		claims   map[string]*claim
		promises map[string]promise
	}

	// Request is a message to another node that asks for promises or gives them back.
	Request struct {
		To     *pb.Member
		Body   *pb.TenureRequest
		sentAt time.Time
		// epoch is that of the Tenant when the request was made.
		epoch uint64
	}

	// Move is a leaf that this node has given up because another node is first in its rank now.
	Move struct {
		Leaf string
		To   *pb.Member
		// Release gives the promise back to the node that gave it; nil when there is none.
		Release *Request
	}

	claim struct {
		// firstSince is since when this node is first in its own view; zero while it is not.
		firstSince time.Time
		// until is when the right to dispatch ends; zero means none.
		until time.Time
		// granter promised the right; empty when there is none or this node is alone.
		granter *pb.Member
		// cleared is set when no other node can still hold a promise that this node does not know of.
		cleared bool
		// clearedAt is when the former owner said that it had stopped.
		clearedAt time.Time
		// asked is set while a request is under way.
		asked bool
		// askedAt is when the last request was made; the next one follows after a pause.
		askedAt time.Time
		// unanswered counts requests in a row that got no answer.
		unanswered int
		// holder is the node that holds the leaf as the last refusal named it.
		holder string
	}
)

// New returns a Tenant that holds nothing.
func New(c Config) *Tenant {
	now := c.Clock.Now()
	return &Tenant{
		config: c, startedAt: now, ticked: now, claims: map[string]*claim{}, promises: map[string]promise{},
	}
}

// Until returns when this node's right to dispatch to the leaf ends, or false when it has none now.
func (t *Tenant) Until(leaf string) (time.Time, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.claims[leaf]
	now := t.config.Clock.Now()
	if c == nil || t.pausedLocked(now) || !now.Before(c.until) {
		return time.Time{}, false
	}
	p := t.promises[leaf]
	t.config.Asserter.Check(!p.active(now), "no_tenure_while_promised", "leaf", leaf, "holder", p.holder)
	return c.until, true
}

// Holder returns the node that holds the leaf by the last refusal, or an empty string.
func (t *Tenant) Holder(leaf string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.claims[leaf]; c != nil {
		return c.holder
	}
	return ""
}

// Tick brings the claims up to date with the view. first has the leaves that this node is first for; all
// other leaves without a claim cost nothing. It returns the requests that are due, each of which
// must be followed by one HandleReply, and the leaves that have moved to another node; the caller hands
// their states over.
func (t *Tenant) Tick(first []string, configured func(leaf string) bool) ([]Request, []Move) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.config.Clock.Now()
	if t.pausedLocked(now) {
		t.forgetLocked()
	}
	t.ticked = now
	var due batches
	var moves []Move
	for _, leaf := range t.concernedLocked(first, configured) {
		if move, ok := t.moveLocked(leaf, now); ok {
			moves = append(moves, move)
			continue
		}
		t.tickLeafLocked(leaf, now, &due)
	}
	requests := append(due.requests(now, t), t.releases...)
	t.releases = nil
	return requests, moves
}

// concernedLocked returns the leaves that this node is first for or has a claim to, and drops the claims to
// leaves that are not configured any more.
func (t *Tenant) concernedLocked(first []string, configured func(leaf string) bool) []string {
	concerned := make(map[string]bool, len(first)+len(t.claims))
	for _, leaf := range first {
		concerned[leaf] = true
	}
	for leaf := range t.claims {
		if configured(leaf) {
			concerned[leaf] = true
			continue
		}
		delete(t.claims, leaf)
	}
	return slices.Sorted(maps.Keys(concerned))
}

// HandleReply takes the answer to a request; nil means that there was none.
func (t *Tenant) HandleReply(q Request, r *pb.TenureReply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if q.Body.GetDuration() == nil {
		return // nothing was asked for
	}
	for _, leaf := range q.Body.GetLeaves() {
		if c := t.claims[leaf]; c != nil {
			c.asked = false
			if r == nil {
				c.unanswered++
			}
		}
	}
	now := t.config.Clock.Now()
	if q.epoch != t.epoch {
		return
	}
	for _, s := range r.GetStates() {
		t.clearLocked(s.GetLeaf())
	}
	for _, leaf := range r.GetUnbroken() {
		t.clearLocked(leaf)
	}
	for _, leaf := range r.GetGranted() {
		t.grantedLocked(leaf, q, now)
	}
	for _, refused := range r.GetRefused() {
		if c := t.claims[refused.GetLeaf()]; c != nil {
			c.holder = refused.GetHolder()
			c.unanswered = 0
			if refused.GetStarting() {
				c.unanswered = 1 // the next in rank may answer for it
			}
		}
	}
}

// HandleHandover takes the word of a node that it has stopped dispatching to the leaf for good.
func (t *Tenant) HandleHandover(from, leaf string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.releaseLocked(from, []string{leaf})
	t.clearLocked(leaf)
}

// Leave stops this node from claiming leaves; the next Tick moves what it holds.
func (t *Tenant) Leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaving = true
}

// Held returns the leaves that this node may dispatch to now.
func (t *Tenant) Held() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.config.Clock.Now()
	var held []string
	for leaf, c := range t.claims {
		if now.Before(c.until) {
			held = append(held, leaf)
		}
	}
	return held
}

// moveLocked gives up a leaf that is held and belongs to another node by the present view.
func (t *Tenant) moveLocked(leaf string, now time.Time) (Move, bool) {
	c := t.claims[leaf]
	if c == nil || !now.Before(c.until) {
		return Move{}, false
	}
	for _, m := range t.config.Ranks.Ranked(leaf) {
		if m.GetName() != t.config.NodeName {
			delete(t.claims, leaf)
			return Move{Leaf: leaf, To: m, Release: releaseOf(leaf, c)}, true
		}
		if !t.leaving {
			return Move{}, false
		}
	}
	return Move{}, false
}

func releaseOf(leaf string, c *claim) *Request {
	if c.granter == nil {
		return nil
	}
	return &Request{To: c.granter, Body: &pb.TenureRequest{Leaves: []string{leaf}}}
}

func (t *Tenant) tickLeafLocked(leaf string, now time.Time, due *batches) {
	ranked := t.config.Ranks.Ranked(leaf)
	c := t.claims[leaf]
	if t.leaving && c != nil && now.Before(c.until) {
		t.holdAloneLocked(c, now) // nobody is left to take the leaf over
		return
	}
	if t.leaving || len(ranked) == 0 || ranked[0].GetName() != t.config.NodeName {
		if c != nil && now.Sub(c.clearedAt) > t.strangerTime() {
			delete(t.claims, leaf)
		}
		return
	}
	if c == nil {
		c = &claim{}
		t.claims[leaf] = c
	}
	t.waitLocked(c, leaf, now)
	if t.promises[leaf].active(now) {
		return
	}
	if len(ranked) == 1 {
		t.holdAloneLocked(c, now)
		return
	}
	if c.asked || c.until.Sub(now) > time.Duration(renewalShare*float64(t.config.Tenure)) {
		return
	}
	if now.Sub(c.askedAt) < time.Duration(askShare*float64(t.config.Tenure)) {
		return // a refusal wakes both sides, which would ask each other without end
	}
	c.asked = true
	c.askedAt = now
	due.add(ranked[1+c.unanswered%(len(ranked)-1)], leaf, c, now)
}

// waitLocked notes since when this node is first, and ends its wait once no right that it does not know of
// can be left.
func (t *Tenant) waitLocked(c *claim, leaf string, now time.Time) {
	if c.firstSince.IsZero() {
		c.firstSince = now
		c.cleared = c.cleared || t.promisedLatelyLocked(leaf, now)
	}
	if now.Sub(c.firstSince) >= t.strangerTime() {
		c.cleared = true
	}
}

// holdAloneLocked lets the only node of the view dispatch once it has been alone, and awake, for as long
// as a promise lasts.
func (t *Tenant) holdAloneLocked(c *claim, now time.Time) {
	if c.cleared {
		c.until = now.Add(t.config.Tenure)
		c.granter = nil
	}
}

func (t *Tenant) grantedLocked(leaf string, q Request, now time.Time) {
	c := t.claims[leaf]
	if c == nil || c.firstSince.IsZero() || t.promises[leaf].active(now) {
		return
	}
	c.unanswered = 0
	c.holder = ""
	if c.granter != nil && c.granter.GetName() != q.To.GetName() {
		t.releases = append(t.releases, *releaseOf(leaf, c))
	}
	c.granter = q.To
	if !c.cleared {
		return // the promise keeps others out while this node waits
	}
	c.until = q.sentAt.Add(t.config.Tenure)
}

// clearLocked notes that the former owner has stopped.
func (t *Tenant) clearLocked(leaf string) {
	c := t.claims[leaf]
	if c == nil {
		c = &claim{}
		t.claims[leaf] = c
	}
	c.cleared = true
	c.clearedAt = t.config.Clock.Now()
}

// forgetLocked drops every right after a pause: other nodes may have taken over meanwhile.
func (t *Tenant) forgetLocked() {
	t.claims = map[string]*claim{}
	t.epoch++
}

// pausedLocked tells whether the process did not run for a while, by the monotonic clock or, where that
// stops with the VM, by the wall clock.
func (t *Tenant) pausedLocked(now time.Time) bool {
	longest := time.Duration(pauseShare * float64(t.config.Tenure))
	wall := now.Round(0).Sub(t.ticked.Round(0))
	return now.Sub(t.ticked) > longest || wall > longest
}

// strangerTime is how long the view takes to reach the former owner, plus its tenure.
func (t *Tenant) strangerTime() time.Duration {
	return time.Duration(strangerShare * float64(t.config.Tenure))
}
