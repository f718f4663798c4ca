// Package admitter decides, before anything is sent, whether a request is admitted. It is the only place
// that may refuse a request. It refuses only while a director's grant for the class is in force and a class
// of the service misses its floor at this node, at most the granted share of the class's requests, and
// classes of lower worth first.
package admitter

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	// clockSkew is how far this node's wall clock may run ahead of the clock that set expires_at.
	clockSkew = 30 * time.Second
	// A class counts as in use for recentUse after its last request.
	recentUse = 5 * time.Second
	// A service counts as overloaded for overloadHold after one of its classes missed its floor.
	// Without the hold, refusals would stop as soon as they relieve the overload.
	overloadHold = 15 * time.Second
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Demand reports whether a class misses its floor at this node.
	Demand interface {
		MissesFloor(service, class string) bool
	}

	// Config holds what an Admitter needs.
	Config struct {
		Source   ConfigSource
		Demand   Demand
		Clock    quartz.Clock
		Asserter *asserter.Asserter
		Metrics  *metrics.Set
	}

	// Admitter admits requests. It is safe for concurrent use.
	Admitter struct {
		config  Config
		refused *metrics.Counter
		mutex   sync.Mutex
		// grants holds the newest version of each grant, keyed by class name (see keyer.ClassName).
		grants map[string]*grantState
		// floorMissedAt is when a class of each service was last seen to miss its floor.
		floorMissedAt map[string]time.Time
	}

	// grantState is a grant with this node's request counts.
	grantState struct {
		grant   *pb.Grant
		version int64
		// receivedAt is when this node first received the version, on the monotonic clock.
		receivedAt time.Time
		// credit grows by the granted share with each request and drops by 1 with each refusal. It stays
		// between 0 and 1 between requests, so that refusals never exceed the granted share of the requests
		// and do not come in bursts.
		credit float64
		// shareUnused is set when the last request that the share allowed to refuse was admitted.
		shareUnused bool
		// lastRequestAt is when the last request of the class arrived.
		lastRequestAt time.Time
		// requests and refusals count since receivedAt; refusals <= share * requests.
		requests uint64
		refusals uint64
	}
)

// New returns an Admitter without grants.
func New(c Config) *Admitter {
	a := &Admitter{config: c, grants: map[string]*grantState{}, floorMissedAt: map[string]time.Time{}}
	if c.Metrics != nil {
		a.refused = c.Metrics.GetOrCreateCounter("magnoliastep_refusals_total")
	} else {
		a.refused = &metrics.Counter{}
	}
	return a
}

// Observe applies changed configuration objects. The lifetime of a grant starts here, whether or not a
// request arrives.
func (a *Admitter) Observe(changed []*pb.ConfigObject) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, o := range changed {
		g := o.GetGrant()
		if g == nil {
			continue
		}
		name := keyer.ClassName(g.GetService(), g.GetClass())
		switch previous := a.grants[name]; {
		case previous != nil && previous.version >= o.GetVersion():
		case o.GetDeleted():
			delete(a.grants, name)
		default:
			a.grants[name] = &grantState{grant: g, version: o.GetVersion(), receivedAt: a.config.Clock.Now()}
		}
	}
}

// Admit returns nil when the request is admitted, or a coded refusal; a refused request was not sent anywhere.
func (a *Admitter) Admit(class *pb.Class) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	g := a.inForceLocked(class.GetService(), class.GetName())
	if g == nil {
		return nil
	}
	g.requests++
	g.lastRequestAt = a.config.Clock.Now()
	g.credit += g.grant.GetShare()
	if g.credit < 1 {
		return nil
	}
	if !a.overloadedLocked(class) || a.lowerWorthRefusableLocked(class) {
		g.credit = 1
		g.shareUnused = true
		return nil
	}
	return a.refuseLocked(class, g)
}

// GrantInForce returns the grant under which requests of the class may be refused now, or nil.
func (a *Admitter) GrantInForce(service, class string) *pb.Grant {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if g := a.inForceLocked(service, class); g != nil {
		return g.grant
	}
	return nil
}

func (a *Admitter) refuseLocked(class *pb.Class, g *grantState) error {
	g.credit--
	g.shareUnused = false
	g.refusals++
	a.refused.Inc()
	a.config.Asserter.Check(a.inForceLocked(class.GetService(), class.GetName()) == g,
		"refusal_only_under_grant", "service", class.GetService(), "class", class.GetName())
	a.config.Asserter.Check(float64(g.refusals) <= g.grant.GetShare()*float64(g.requests)+1e-6*float64(g.requests),
		"refusals_within_granted_share", "grant", g.grant.GetName(), "refused", g.refusals, "seen", g.requests)
	return coder.New(pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN,
		"refused under grant %s of director %s; the request did not run", g.grant.GetName(), g.grant.GetDirector())
}

// inForceLocked returns the grant of the class, or nil when its lifetime is over on this node's own clock
// or its expiry time has passed.
func (a *Admitter) inForceLocked(service, class string) *grantState {
	g := a.grants[keyer.ClassName(service, class)]
	if g == nil || g.grant.GetShare() <= 0 {
		return nil
	}
	now := a.config.Clock.Now()
	if now.Sub(g.receivedAt) >= g.grant.GetLifetime().AsDuration() {
		return nil
	}
	if now.After(g.grant.GetExpiresAt().AsTime().Add(clockSkew)) {
		return nil
	}
	return g
}

// overloadedLocked reports whether a class of the service misses its floor at this node or did within overloadHold.
func (a *Admitter) overloadedLocked(class *pb.Class) bool {
	now := a.config.Clock.Now()
	for _, c := range a.config.Source.Index().Classes() {
		if c.GetService() == class.GetService() && a.config.Demand.MissesFloor(c.GetService(), c.GetName()) {
			a.floorMissedAt[class.GetService()] = now
			return true
		}
	}
	missedAt, known := a.floorMissedAt[class.GetService()]
	return known && now.Sub(missedAt) < overloadHold
}

// lowerWorthRefusableLocked reports whether a class of the same service with a lower worth is in use and has
// a grant whose share is not yet used up by refusals.
func (a *Admitter) lowerWorthRefusableLocked(class *pb.Class) bool {
	for _, c := range a.config.Source.Index().Classes() {
		if c.GetService() != class.GetService() || c.GetWorth() >= class.GetWorth() {
			continue
		}
		if g := a.inForceLocked(c.GetService(), c.GetName()); g != nil && g.shareUnused &&
			a.config.Clock.Since(g.lastRequestAt) < recentUse {
			return true
		}
	}
	return false
}
