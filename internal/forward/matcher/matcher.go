// Package matcher selects the route of a request: the route of its host with the longest matching path prefix. A
// Matcher holds one version of the configuration and is immutable. A request keeps the Matcher that it started with,
// so that its whole answer follows one version.
package matcher

import (
	"sort"
	"strings"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/account/authenticator"
)

type (
	// Config is one complete version of the configuration.
	Config struct {
		// Version increases with each change.
		Version  int64
		Routes   []Route
		Services []Service
		// Accounts has the client accounts. If there are any, a request needs the key of one unless its route is Public.
		Accounts []Account
		// KeysRequired is set if the configuration names accounts, even if it has none that can be used.
		KeysRequired bool
		// KeySecret is what an authenticator.Config has as its Secret.
		KeySecret []byte
		Limits    Limits
	}

	// Account is a client account.
	Account struct {
		// Name is unique among the accounts. Leaves are told it; it is no secret.
		Name string
		// Keys are the secrets by which callers prove that they belong to the account. They must not appear in logs.
		Keys []string
		// Rate is the quota of all nodes together in requests per second, and Burst the number of requests on top; a Rate
		// of 0 sets no limit.
		Rate, Burst float64
		// Priority is the rank of the account's requests if HasPriority is set; it goes before that of the route.
		Priority    int
		HasPriority bool
	}

	// Route says how requests for a host under a path prefix are served. Exactly one of Targets and Shards is
	// not empty.
	Route struct {
		Name string
		// Host is in lower case.
		Host string
		// PathPrefix begins and ends with a slash.
		PathPrefix string
		// Idempotent means that a request may run more than once.
		Idempotent bool
		// Timeout is the longest time that a caller may be kept waiting for an answer.
		Timeout time.Duration
		// TargetLatency is the latency up to which an answer has its full worth.
		TargetLatency time.Duration
		// Priority is the rank of the route; 0 is the highest.
		Priority int
		// Targets share the requests by weight.
		Targets []Target
		// Shards are the services that each answer a part of one request.
		Shards []string
		// Attempts is the maximum number of leaves that may run one request, for each shard.
		Attempts int
		// TopRecords is the maximum number of records, from all parts, in the answer of a sharded route.
		TopRecords int
		// MinCoverage is the minimum share of shards in a successful answer, 0 to 1.
		MinCoverage float64
		// Public routes need no key of a client account.
		Public bool
	}

	// Target is a service with its weight among the targets of a route.
	Target struct {
		Service string
		// Weight is at least 0.
		Weight float64
	}

	// Service is a set of leaves that answer the same requests.
	Service struct {
		Name       string
		HealthPath string
		// MaxConnections is the number of connections that each leaf accepts from all nodes together.
		MaxConnections int
		// WarmUp is how long a leaf is cold after its start.
		WarmUp time.Duration
		// WarmUpRate is the request rate per second that a cold leaf can take; 0 if none is declared.
		WarmUpRate float64
	}

	// Limits has the limits of callers' requests and connections. Zero means no limit.
	Limits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int64
		HeaderTimeout  time.Duration
		IdleTimeout    time.Duration
	}

	// Matcher finds routes in one version of the configuration.
	Matcher struct {
		config Config
		// routesByHost has the routes of each host, longest prefix first.
		routesByHost map[string][]*Route
		services     map[string]*Service
		// authenticator has the keys of the accounts, under their indexes.
		authenticator *authenticator.Authenticator
		// meanRate is the mean Rate of the accounts that have a quota; 1 if there is none.
		meanRate float64
	}
)

// New returns a Matcher. The configuration must not be changed afterwards.
func New(c Config) *Matcher {
	m := &Matcher{config: c, routesByHost: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		m.routesByHost[r.Host] = append(m.routesByHost[r.Host], r)
	}
	for _, routes := range m.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		m.services[c.Services[i].Name] = &c.Services[i]
	}
	keys := make([][]string, len(c.Accounts))
	rates, limited := 0.0, 0
	for i, a := range c.Accounts {
		keys[i] = a.Keys
		if a.Rate > 0 {
			rates += a.Rate
			limited++
		}
	}
	m.meanRate = 1
	if limited > 0 {
		m.meanRate = rates / float64(limited)
	}
	m.authenticator = authenticator.New(authenticator.Config{Secret: c.KeySecret, Keys: keys})
	return m
}

// Match returns the route of a request, or nil if none matches. The host may have a port and the path a query.
func (m *Matcher) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range m.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (m *Matcher) Service(name string) *Service {
	return m.services[name]
}

// RouteNames returns the names of all routes.
func (m *Matcher) RouteNames() []string {
	names := make([]string, 0, len(m.config.Routes))
	for _, r := range m.config.Routes {
		names = append(names, r.Name)
	}
	return names
}

// ServiceNames returns the names of all services.
func (m *Matcher) ServiceNames() []string {
	names := make([]string, 0, len(m.config.Services))
	for _, s := range m.config.Services {
		names = append(names, s.Name)
	}
	return names
}

// Accounts returns the client accounts. Callers must not change the slice.
func (m *Matcher) Accounts() []Account {
	return m.config.Accounts
}

// KeysRequired reports whether a request needs the key of an account unless its route is Public.
func (m *Matcher) KeysRequired() bool {
	return m.config.KeysRequired || len(m.config.Accounts) > 0
}

// Authenticate returns the account to which the key in the values of a header field belongs, and the digest of the key.
// The account is nil if there is none; the failure says why.
func (m *Matcher) Authenticate(
	scheme string, values []string,
) (*Account, authenticator.Digest, authenticator.Failure) {
	i, digest, failure := m.authenticator.Authenticate(scheme, values)
	if failure != "" {
		return nil, digest, failure
	}
	return &m.config.Accounts[i], digest, ""
}

// AccountOf returns the account to which the key with a digest belongs, or nil.
func (m *Matcher) AccountOf(d authenticator.Digest) *Account {
	i, ok := m.authenticator.Account(d)
	if !ok {
		return nil
	}
	return &m.config.Accounts[i]
}

// Share returns what an account is owed of room that is short, relative to other accounts: its quota, or the mean of
// those of the others if it has none. A nil account stands for all requests without one.
func (m *Matcher) Share(a *Account) float64 {
	if a == nil || !(a.Rate > 0) {
		return m.meanRate
	}
	return a.Rate
}

// Version returns the version of the configuration.
func (m *Matcher) Version() int64 {
	return m.config.Version
}

// Limits returns the limits of callers' requests and connections.
func (m *Matcher) Limits() Limits {
	return m.config.Limits
}
