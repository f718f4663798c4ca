// Package granter decides whether one node may grant a request of one client account whose quota all nodes share. It
// reads no clock and sends nothing.
//
// It answers a load in which callers of an account send more than its quota, at few or many nodes, while reports
// between nodes are late or lost. Every node estimates the level of one token bucket for the whole account from its own
// grants and those that the others report. Between two reports a node takes at most its share of the level, so that all
// nodes together take no more than the level although none knows what the others take meanwhile. Shares follow the
// demand that nodes report. Whatever a node does not use stays in the level, for all of them.
//
// A share of a low level is less than one request. So a node may also grant a few requests beyond its share: its part
// of the tolerance within which the quota must hold. These suffice for accounts with a low rate, without any report.
package granter

import (
	"math"
	"time"
)

const (
	// equalShare is the part of the level that nodes share equally, so that one without reported demand can begin.
	equalShare = 0.4
	// depthTolerance is the share of the tolerance by which the bucket is deeper than the burst.
	depthTolerance = 0.1
	// debtTolerance is the share of the tolerance that all nodes together may grant beyond their shares.
	debtTolerance = 0.4
	// spareTolerance is the share of the tolerance that nodes may grant beyond their shares while the level is high, and
	// highLevel the share of the bucket's depth from which it is.
	spareTolerance = 0.85
	highLevel      = 0.5
	// demandPeriod is the period over which the demand is averaged.
	demandPeriod = 3 * time.Second
	// minDemand is the demand per second below which a node reports none.
	minDemand = 0.01
	// urgentShare is the part of a node's share after whose use the others must be told.
	urgentShare = 0.35
	// seldom is the time that reports may take which are not urgent.
	seldom = 2 * time.Second
	// demandChange is the relative change of the demand that is worth a report.
	demandChange = 0.25
	// majorityShare is the share above which a node may take the last whole request of the level. Only one node can
	// have more.
	majorityShare = 0.5
	// singleExtraPace is how much faster than the rate a node that may grant one request beyond its share repeats that. It
	// makes up for the time until the next request; the common debt bounds it.
	singleExtraPace = 2
	// shareDelay is the time in which a node's larger demand reaches the others.
	shareDelay = 250 * time.Millisecond
	// windowMargin prolongs the window for grants beyond the share, because requests reach leaves later than they are
	// granted.
	windowMargin = 1.05
)

type (
	// Config is the quota of an account and the tolerance within which it must hold.
	Config struct {
		// Rate is in requests per second, more than 0; Burst is the number of requests on top, at least 0. Both are finite.
		Rate, Burst float64
		// In any Window the account may exceed its quota, Rate x Window + Burst, by the share Over of it and by Slack.
		Window      time.Duration
		Over, Slack float64
	}

	// Situation is what the node knows of the others at the time of a decision.
	Situation struct {
		Now time.Time
		// Nodes is the number of nodes that may grant requests, this one and silent ones included; at least 1.
		Nodes int
		// Silent is the number of other nodes whose reports are overdue. Their shares stay reserved.
		Silent int
		// OthersDemand is the demand that the other nodes have reported, and SilentDemand the part of it of silent nodes.
		OthersDemand, SilentDemand float64
		// Permitted is set if the node may take its share of the level.
		Permitted bool
		// Confirmed is the number of the latest of this node's reports that all others have received.
		Confirmed uint64
		// Extra is the number of requests that this node may grant beyond its share within a window, and ExtraNodes the
		// number of nodes with at least one.
		Extra, ExtraNodes int
		// Rank is the number of nodes that come before this one for a request beyond the share while the level is high.
		Rank int
		// LargeShare is the sum of the shares of other nodes whose share of the level is a request or more.
		LargeShare float64
	}

	// Granter holds one node's estimate for one account. It is not safe for concurrent use.
	Granter struct {
		config Config
		// level is the estimated number of requests that all nodes may still grant; it is at most the depth. It is
		// negative if nodes have granted more than the level.
		level     float64
		updatedAt time.Time
		// granted counts the grants since the start that were not returned, unreported those since the last report.
		granted, unreported int64
		// waiting is the number of grants that the others know once they confirm the report with the number waitingFor, and
		// later the number of those after it. Until then both count against this node's share.
		waiting, later float64
		waitingFor     uint64
		// isWaiting is set from the report until it is confirmed.
		isWaiting bool
		// extraAt has the times of the latest grants beyond the share.
		extraAt []time.Time
		// demand is the average number of requests per second, granted or not, at demandAt.
		demand   float64
		demandAt time.Time
		// announced is the demand that was reported last, with the number announcedIn, and waitingDemand that in the report
		// with the number waitingFor.
		announced, waitingDemand float64
		announcedIn              uint64
		// agreed is the demand on which this node's share is based: the others have confirmed at least that.
		agreed float64
		// refused is set if a request was refused since the last report.
		refused bool
		// toldUntil is the latest time at which a refused caller was told to come back.
		toldUntil time.Time
	}
)

// New returns a Granter with an empty bucket: what was granted before the start of the process is not known.
func New(c Config, now time.Time) *Granter {
	return &Granter{config: c, updatedAt: now, demandAt: now}
}

// Tolerance returns by how many requests an account may exceed its quota in a window.
func (c Config) Tolerance() float64 {
	return c.Over*(c.Rate*c.Window.Seconds()+c.Burst) + c.Slack
}

// ExtraOfAll returns how many requests all nodes together may grant beyond their shares within a window.
func (c Config) ExtraOfAll() float64 {
	return debtTolerance * c.Tolerance()
}

func (c Config) depth() float64 {
	return max(c.Burst, 1) + depthTolerance*c.Tolerance()
}

// Reconfigure puts a changed quota in force. A larger burst may be used at once.
func (g *Granter) Reconfigure(c Config, s Situation) {
	g.refill(s)
	g.level += max(0, c.Burst-g.config.Burst)
	g.config = c
	g.level = min(g.level, c.depth())
}

// Take grants or refuses one request. For a refused one it returns after what time a request would be granted, if the
// callers that were told a time before come back then.
func (g *Granter) Take(s Situation) (granted bool, retryIn time.Duration) {
	g.refill(s)
	g.decayDemand(s.Now)
	g.demand += 1 / demandPeriod.Seconds()
	if s.Permitted && g.unconfirmed(s)+1 <= g.room(s) || g.takeExtra(s) {
		g.level--
		g.later++
		g.unreported++
		g.granted++
		return true, 0
	}
	g.refused = true
	return false, g.retryIn(s)
}

// Return gives back a grant whose request no leaf has run.
func (g *Granter) Return(s Situation) {
	g.refill(s)
	g.granted--
	g.unreported--
	g.later--
	g.level = min(g.level+1, g.config.depth())
}

// Spend takes what other nodes have granted from the level, or gives back what they have returned.
func (g *Granter) Spend(s Situation, requests float64) {
	g.refill(s)
	lowest := -(g.config.Rate*g.config.Window.Seconds() + g.config.depth() + g.config.Tolerance())
	g.level = max(lowest, min(g.level-requests, g.config.depth()))
}

// Resume takes what another node has granted while its reports did not arrive. Since the refill of that time is not
// known as exactly, that leaves no debt, but no burst either.
func (g *Granter) Resume(s Situation, requests float64) {
	g.refill(s)
	g.level = min(g.level, max(0, g.level-max(0, requests)))
}

// Empty takes all that is left of the level: this node has not known what the others have granted.
func (g *Granter) Empty(s Situation) {
	g.refill(s)
	g.level = min(g.level, 0)
}

// Reserve takes the share of the level from it that a node of the given demand may have taken since its last report. It
// returns the number of requests.
func (g *Granter) Reserve(s Situation, demand float64) float64 {
	g.refill(s)
	reserved := max(0, g.level) * g.shareOf(s, demand)
	g.level -= reserved
	return reserved
}

// Urgent tells whether the other nodes should know this node's grants and demand soon.
func (g *Granter) Urgent(s Situation) bool {
	g.refill(s)
	unconfirmed, room := g.unconfirmed(s), g.room(s)
	expected := g.demand * seldom.Seconds()
	beyondShare := unconfirmed > 0 && len(g.extraAt) > 0 // a further request is refused until the others know
	return g.refused || beyondShare ||
		unconfirmed >= urgentShare*room && expected >= 1 && unconfirmed+expected > room
}

// Changed tells whether the other nodes don't know this node's grants or demand.
func (g *Granter) Changed(now time.Time) bool {
	g.decayDemand(now)
	return g.unreported != 0 || math.Abs(g.statedDemand()-g.announced) > demandChange*max(g.announced, minDemand)
}

// Idle tells whether the other nodes know that this node has no demand.
func (g *Granter) Idle(now time.Time) bool {
	return !g.Changed(now) && g.announced == 0
}

// Report returns what the other nodes are to be told: the grants since the start, those since the last report, and the
// demand. It must be sent to all of them, in the report with the given number.
func (g *Granter) Report(s Situation, number uint64) (granted, recent int64, demand float64) {
	g.decayDemand(s.Now)
	recent = g.unreported
	g.unreported, g.refused, g.announced = 0, false, g.statedDemand()
	g.agreed, g.announcedIn = min(g.agreed, g.announced), number
	if g.unconfirmed(s); !g.isWaiting {
		g.waiting, g.later, g.waitingFor, g.isWaiting = g.later, 0, number, true
		g.waitingDemand = g.announced
	}
	return g.granted, recent, g.announced
}

// Known returns what Report has returned last, for a node that may have missed it.
func (g *Granter) Known() (granted int64, demand float64) {
	return g.granted - g.unreported, g.announced
}

// Demand returns the number of requests per second that callers ask of this node, granted or not.
func (g *Granter) Demand(now time.Time) float64 {
	g.decayDemand(now)
	return g.statedDemand()
}

// Level returns the estimated number of requests that all nodes may still grant.
func (g *Granter) Level() float64 {
	return g.level
}

// Share returns this node's share of the level, 0 to 1.
func (g *Granter) Share(s Situation) float64 {
	return g.shareOf(s, g.agreed)
}

// LargeShareOf returns the share of a node that has reported the given demand if its share of the level is a request or
// more, else 0.
func (g *Granter) LargeShareOf(s Situation, demand float64) float64 {
	if share := g.shareOf(s, demand); share*g.level >= 1 {
		return share
	}
	return 0
}

// refill adds what the rate has granted since the last call, without the share of silent nodes.
func (g *Granter) refill(s Situation) {
	elapsed := s.Now.Sub(g.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	g.updatedAt = s.Now
	rate := g.config.Rate * (1 - g.silentShare(s))
	g.level = min(g.level+rate*elapsed, g.config.depth())
}

// unconfirmed returns the number of grants that the others may not know.
func (g *Granter) unconfirmed(s Situation) float64 {
	agreed := g.agreed
	switch {
	case s.Confirmed >= g.announcedIn:
		g.waiting, g.isWaiting, g.later, g.agreed = 0, false, float64(g.unreported), g.announced
	case g.isWaiting && s.Confirmed >= g.waitingFor:
		g.waiting, g.isWaiting = 0, false
		g.agreed = min(g.waitingDemand, g.announced)
	}
	if s.Silent > 0 {
		g.agreed = min(g.agreed, agreed) // silent nodes can't lower their shares
	}
	return g.waiting + g.later
}

// room returns how many requests this node may grant that the others don't know. It is at least a whole one as long as
// one at each node does not exceed the debt that all nodes together may have.
func (g *Granter) room(s Situation) float64 {
	share, pool := g.Share(s), g.level+g.unconfirmed(s)
	if share > majorityShare || pool >= float64(s.Nodes)-g.config.ExtraOfAll() {
		return max(share*pool, min(1, pool))
	}
	return share * pool
}

// shareOf returns the share of a node that has reported the given demand.
func (g *Granter) shareOf(s Situation, demand float64) float64 {
	nodes := float64(max(1, s.Nodes))
	total := g.agreed + s.OthersDemand
	if total < minDemand || s.Nodes <= 1 {
		return 1 / nodes
	}
	return equalShare/nodes + (1-equalShare)*min(1, demand/total)
}

func (g *Granter) silentShare(s Situation) float64 {
	if s.Silent == 0 {
		return 0
	}
	nodes := float64(max(1, s.Nodes))
	total := g.agreed + s.OthersDemand
	if total < minDemand {
		return min(1, float64(s.Silent)/nodes)
	}
	return min(1, equalShare*float64(s.Silent)/nodes+(1-equalShare)*s.SilentDemand/total)
}

// takeExtra takes a grant beyond the share. While the node is in touch with the others, all of them stop at the same
// debt, and a grant may be repeated as soon as the node's share of the rate has covered it.
func (g *Granter) takeExtra(s Situation) bool {
	if s.Permitted && g.level-1 < -g.maxDebt(s) {
		return false
	}
	kept := g.extraAt[:0]
	for _, at := range g.extraAt {
		if s.Now.Sub(at) < g.extraPeriod(s) {
			kept = append(kept, at)
		}
	}
	g.extraAt = kept
	if g.highLevel(s) && g.unconfirmed(s) == 0 {
		g.extraAt = g.extraAt[:0] // the others know all grants, and much is left
	}
	if len(g.extraAt) >= max(s.Extra, g.spare(s)) {
		return false
	}
	g.extraAt = append(g.extraAt, s.Now)
	return true
}

// spare returns 1 if this node may grant a request beyond a share that is less than one, because little of the quota
// is in use. If all nodes that may do so do at once, they exceed the level by the tolerance at most: only the shares of
// the large nodes are taken besides.
func (g *Granter) spare(s Situation) int {
	allowed := spareTolerance*g.config.Tolerance() + g.level*(1-s.LargeShare)
	if g.Share(s)*g.level < 1 && g.highLevel(s) && float64(s.Rank+1) <= allowed {
		return 1
	}
	return 0
}

// highLevel tells whether this node knows that little of the quota is in use.
func (g *Granter) highLevel(s Situation) bool {
	return s.Permitted && g.level >= highLevel*g.config.depth()
}

// maxDebt returns how many requests the nodes that are not silent may grant beyond their shares.
func (g *Granter) maxDebt(s Situation) float64 {
	return g.config.ExtraOfAll() * (1 - g.silentShare(s))
}

// extraPeriod returns after what time a grant beyond the share may be repeated, so that all of them keep to the share
// of the rate.
func (g *Granter) extraPeriod(s Situation) time.Duration {
	period := time.Duration(windowMargin * float64(g.config.Window))
	if !s.Permitted || s.Extra == 0 {
		return period
	}
	// If only some nodes have such grants, these use the whole rate.
	part := float64(s.Extra*s.ExtraNodes) / float64(max(1, s.Nodes))
	if s.Extra <= 1 {
		part /= singleExtraPace
	}
	return min(period, secondsOf(part/(g.Share(s)*g.config.Rate), period))
}

// retryIn returns when the next request can be granted. Each caller is told a later time than the one before, at the
// pace of this node's share of the rate.
func (g *Granter) retryIn(s Situation) time.Duration {
	longest := g.config.Window
	rate := g.config.Rate * g.Share(s)
	wait := g.extraWait(s, longest)
	if s.Permitted {
		missing := g.unconfirmed(s) + 1 - g.room(s)
		wait = min(wait, max(shareDelay, secondsOf(missing/rate, longest)))
	}
	next := s.Now.Add(wait)
	if queued := g.toldUntil.Add(secondsOf(1/rate, longest)); s.Permitted && g.level < 1 && queued.After(next) {
		next = queued
	}
	next = earlier(next, s.Now.Add(longest))
	g.toldUntil = next
	return next.Sub(s.Now)
}

// extraWait returns when a grant beyond the share is possible again, at most the longest time.
func (g *Granter) extraWait(s Situation, longest time.Duration) time.Duration {
	if max(s.Extra, g.spare(s)) == 0 || len(g.extraAt) == 0 || s.Permitted && g.level-1 < -g.maxDebt(s) {
		return longest
	}
	return min(longest, max(0, g.extraPeriod(s)-s.Now.Sub(g.extraAt[0])))
}

func (g *Granter) decayDemand(now time.Time) {
	elapsed := now.Sub(g.demandAt)
	if elapsed <= 0 {
		return
	}
	g.demandAt = now
	g.demand *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
}

// statedDemand is the demand as it is reported.
func (g *Granter) statedDemand() float64 {
	if g.demand < minDemand {
		return 0
	}
	return g.demand
}

// secondsOf returns a number of seconds as a time between 0 and the longest.
func secondsOf(seconds float64, longest time.Duration) time.Duration {
	if !(seconds < longest.Seconds()) {
		return longest
	}
	return time.Duration(max(0, seconds) * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
