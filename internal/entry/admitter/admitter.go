// Package admitter is the only place that may refuse a request. A request's class flows in before
// anything was sent; an admission or a coded refusal flows out. It refuses only under a director's grant
// in force for the class, only while the class or its service misses its floor here, at most the granted
// share of the class's requests, and classes of lower worth first.
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
	// clockSkew is how far this node's wall clock may be behind the one that set expires_at.
	clockSkew = 30 * time.Second
	// A class counts as asked for until askedFor after its last request.
	askedFor = 5 * time.Second
	// A service counts as overloaded until overloadedFor after one of its classes missed its floor, so
	// that the relief which refusals bring does not end them at once.
	overloadedFor = 15 * time.Second
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Demand tells whether a class misses its floor at this node.
	Demand interface {
		Short(service, class string) bool
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
		// held has the newest version of each grant by its class's name in keys.
		held map[string]*heldGrant
		// shortAt has when a class of the service was last seen to miss its floor.
		shortAt map[string]time.Time
	}

	// heldGrant is a grant as this node counts it.
	heldGrant struct {
		grant   *pb.Grant
		version int64
		// seenAt is when this node first saw the version, on the monotonic clock.
		seenAt time.Time
		// credit grows by the granted share with each request, and each refusal takes 1 of it; it stays
		// within 0 and 1 between requests, so that refusals never exceed the share of the requests seen and
		// do not come in bursts.
		credit float64
		// spared is set when the last request that the share would have let be refused was admitted.
		spared bool
		// askedAt is when the class was asked for last.
		askedAt time.Time
		// seen and refused count the requests since seenAt; refused <= share * seen.
		seen    uint64
		refused uint64
	}
)

// New returns an Admitter without grants.
func New(c Config) *Admitter {
	a := &Admitter{config: c, held: map[string]*heldGrant{}, shortAt: map[string]time.Time{}}
	if c.Metrics != nil {
		a.refused = c.Metrics.GetOrCreateCounter("magnoliastep_refusals_total")
	} else {
		a.refused = &metrics.Counter{}
	}
	return a
}

// Observe takes changed configuration objects. The lifetime of a grant counts from here, whether or not
// a request comes.
func (a *Admitter) Observe(changed []*pb.ConfigObject) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, o := range changed {
		g := o.GetGrant()
		if g == nil {
			continue
		}
		name := keyer.ClassName(g.GetService(), g.GetClass())
		switch before := a.held[name]; {
		case before != nil && before.version >= o.GetVersion():
		case o.GetDeleted():
			delete(a.held, name)
		default:
			a.held[name] = &heldGrant{grant: g, version: o.GetVersion(), seenAt: a.config.Clock.Now()}
		}
	}
}

// Admit returns nil, or the coded refusal of a request that was not sent anywhere.
func (a *Admitter) Admit(class *pb.Class) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	h := a.inForceLocked(class.GetService(), class.GetName())
	if h == nil {
		return nil
	}
	h.seen++
	h.askedAt = a.config.Clock.Now()
	h.credit += h.grant.GetShare()
	if h.credit < 1 {
		return nil
	}
	if !a.overloadedLocked(class) || a.lowerFirstLocked(class) {
		h.credit = 1
		h.spared = true
		return nil
	}
	return a.refuseLocked(class, h)
}

// GrantInForce returns the grant under which requests of the class may be refused now, or nil.
func (a *Admitter) GrantInForce(service, class string) *pb.Grant {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if h := a.inForceLocked(service, class); h != nil {
		return h.grant
	}
	return nil
}

func (a *Admitter) refuseLocked(class *pb.Class, h *heldGrant) error {
	h.credit--
	h.spared = false
	h.refused++
	a.refused.Inc()
	a.config.Asserter.Check(a.inForceLocked(class.GetService(), class.GetName()) == h,
		"refusal_only_under_grant", "service", class.GetService(), "class", class.GetName())
	a.config.Asserter.Check(float64(h.refused) <= h.grant.GetShare()*float64(h.seen)+1e-6*float64(h.seen),
		"refusals_within_granted_share", "grant", h.grant.GetName(), "refused", h.refused, "seen", h.seen)
	return coder.New(pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN,
		"refused under grant %s of director %s; the request did not run", h.grant.GetName(), h.grant.GetDirector())
}

// inForceLocked returns the grant of the class unless its lifetime is over on this node's own clock or
// its expiry has passed.
func (a *Admitter) inForceLocked(service, class string) *heldGrant {
	h := a.held[keyer.ClassName(service, class)]
	if h == nil || h.grant.GetShare() <= 0 {
		return nil
	}
	now := a.config.Clock.Now()
	if now.Sub(h.seenAt) >= h.grant.GetLifetime().AsDuration() {
		return nil
	}
	if now.After(h.grant.GetExpiresAt().AsTime().Add(clockSkew)) {
		return nil
	}
	return h
}

// overloadedLocked tells whether a class of the service missed its floor here a short time ago.
func (a *Admitter) overloadedLocked(class *pb.Class) bool {
	now := a.config.Clock.Now()
	for _, c := range a.config.Source.Index().Classes() {
		if c.GetService() == class.GetService() && a.config.Demand.Short(c.GetService(), c.GetName()) {
			a.shortAt[class.GetService()] = now
			return true
		}
	}
	at, ok := a.shortAt[class.GetService()]
	return ok && now.Sub(at) < overloadedFor
}

// lowerFirstLocked tells whether a class of the same service with a lower worth is asked for and has a
// grant whose share its refusals do not use up yet.
func (a *Admitter) lowerFirstLocked(class *pb.Class) bool {
	for _, c := range a.config.Source.Index().Classes() {
		if c.GetService() != class.GetService() || c.GetWorth() >= class.GetWorth() {
			continue
		}
		if h := a.inForceLocked(c.GetService(), c.GetName()); h != nil && h.spared &&
			a.config.Clock.Since(h.askedAt) < askedFor {
			return true
		}
	}
	return false
}
