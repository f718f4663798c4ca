// Package inspector finds what is wrong with a configuration before it is sent: values that a node would replace,
// entries that can never have an effect, and limits that contradict each other. What a node does with a value that it
// can't use is decided by package sanitizer alone, which the inspector asks, so that the two can't disagree.
package inspector

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/sanitizer"
)

const (
	// Error is a finding because of which callers are not served as the configuration seems to say.
	Error Severity = iota
	// Warning is a finding that has no effect on callers, or perhaps an intended one.
	Warning
)

const (
	// SectionNone is the configuration as a whole.
	SectionNone Section = iota
	// SectionRoutes is the list of routes.
	SectionRoutes
	// SectionServices is the list of services.
	SectionServices
	// SectionAccounts is the list of client accounts.
	SectionAccounts
	// SectionLimits is the limits of callers' requests and connections.
	SectionLimits
)

// Fields of the configuration.
const (
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPathPrefix    Field = "path_prefix"
	FieldTargetLatency Field = "target_latency"
	FieldTargets       Field = "targets"
	FieldShards        Field = "shards"
	FieldAttempts      Field = "attempts"
	FieldTopRecords    Field = "top_records"
	FieldMinCoverage   Field = "min_coverage"
	FieldPublic        Field = "public"
	FieldConnections   Field = "max_connections"
	FieldWarmUp        Field = "warm_up"
	FieldWarmUpRate    Field = "warm_up_rate"
	FieldKeys          Field = "keys"
	FieldRate          Field = "rate"
	FieldBurst         Field = "burst"
	FieldHeaderTimeout Field = "header_timeout"
	FieldIdleTimeout   Field = "idle_timeout"
)

type (
	// Severity says how bad a finding is.
	Severity int

	// Section is a part of the configuration.
	Section int

	// Field is a field of an entry, or of the configuration.
	Field string

	// Finding is one thing that is wrong.
	Finding struct {
		Severity Severity
		Section  Section
		// Index is the position in the section, from 0; it has no meaning for a section without entries.
		Index int
		// Field is the field that is wrong, or "" for the whole entry.
		Field Field
		Text  string
	}

	// inspection is the state of inspecting one configuration.
	inspection struct {
		config   matcher.Config
		findings []Finding
		// services has the positions of the services by name.
		services map[string]int
		// routed has the names of services to which a route sends.
		routed map[string]bool
	}
)

// Inspect returns what is wrong with a configuration, by section and in order of the entries.
func Inspect(c matcher.Config) []Finding {
	n := &inspection{config: c, services: map[string]int{}, routed: map[string]bool{}}
	for i, s := range c.Services {
		n.services[s.Name] = i
	}
	if c.Version <= 0 {
		n.add(Error, SectionNone, 0, FieldVersion, "%d is not above 0", c.Version)
	}
	n.askSanitizer()
	n.inspectRoutes()
	n.inspectServices()
	n.inspectAccounts()
	n.inspectLimits()
	return n.findings
}

func (n *inspection) add(s Severity, section Section, index int, field Field, format string, arguments ...any) {
	n.findings = append(n.findings, Finding{
		Severity: s, Section: section, Index: index, Field: field, Text: fmt.Sprintf(format, arguments...),
	})
}

// askSanitizer adds the values that a node would replace.
func (n *inspection) askSanitizer() {
	c := n.config
	c.Routes, c.Accounts = slices.Clone(c.Routes), slices.Clone(c.Accounts)
	for _, p := range sanitizer.Sanitize(&c) {
		switch {
		case p.Route >= 0:
			n.add(Error, SectionRoutes, p.Route, "", "%s", p.Text)
		case p.Account >= 0:
			n.add(Error, SectionAccounts, p.Account, "", "%s", p.Text)
		default:
			n.add(Error, SectionNone, 0, "", "%s", p.Text)
		}
	}
}

func (n *inspection) inspectRoutes() {
	names, prefixes := map[string]int{}, map[string]int{}
	for i := range n.config.Routes {
		r := &n.config.Routes[i]
		if first, repeated := names[r.Name]; repeated {
			n.add(Error, SectionRoutes, i, FieldName, "entry %d has the same name", first)
		} else {
			names[r.Name] = i
		}
		if first, repeated := prefixes[r.Host+r.PathPrefix]; repeated {
			n.add(Error, SectionRoutes, i, FieldPathPrefix, "never matches: entry %d has the same host and prefix", first)
		} else {
			prefixes[r.Host+r.PathPrefix] = i
		}
		n.inspectPlace(i, r)
		n.inspectTimes(i, r)
		if len(r.Shards) > 0 {
			n.inspectShards(i, r)
		} else {
			n.inspectTargets(i, r)
		}
	}
}

// inspectPlace checks where requests match a route.
func (n *inspection) inspectPlace(i int, r *matcher.Route) {
	switch {
	case r.Host == "":
		n.add(Error, SectionRoutes, i, FieldHost, "never matches: no host")
	case strings.ContainsAny(r.Host, ":/ \t"):
		n.add(Error, SectionRoutes, i, FieldHost, "never matches: %q is not the name of a host without a port", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		n.add(Error, SectionRoutes, i, FieldPathPrefix, "%q does not begin and end with a slash", r.PathPrefix)
	case strings.ContainsAny(r.PathPrefix, "? #"):
		n.add(Error, SectionRoutes, i, FieldPathPrefix, "never matches: %q is not a path", r.PathPrefix)
	}
	if r.Public && len(n.config.Accounts) == 0 {
		n.add(Warning, SectionRoutes, i, FieldPublic, "has no effect: there are no client accounts")
	}
}

func (n *inspection) inspectTimes(i int, r *matcher.Route) {
	if r.TargetLatency > r.Timeout && r.Timeout > 0 {
		n.add(Error, SectionRoutes, i, FieldTargetLatency, "%v is above the timeout of %v", r.TargetLatency, r.Timeout)
	}
	if r.Attempts > 1 && !r.Idempotent {
		n.add(Warning, SectionRoutes, i, FieldAttempts,
			"%d attempts: requests that may not be repeated are sent again only if they have not run", r.Attempts)
	}
}

func (n *inspection) inspectShards(i int, r *matcher.Route) {
	seen := map[string]bool{}
	for _, s := range r.Shards {
		if seen[s] {
			n.add(Error, SectionRoutes, i, FieldShards, "service %q is named twice", s)
		}
		seen[s] = true
		n.use(i, FieldShards, s)
	}
	if len(r.Targets) > 0 {
		n.add(Warning, SectionRoutes, i, FieldTargets, "has no effect beside shards")
	}
	switch {
	case math.IsNaN(r.MinCoverage) || r.MinCoverage > 1:
		n.add(Error, SectionRoutes, i, FieldMinCoverage, "%v can't be reached: at most 1 is", r.MinCoverage)
	case r.MinCoverage < 0:
		n.add(Error, SectionRoutes, i, FieldMinCoverage, "%v is below 0", r.MinCoverage)
	case r.MinCoverage == 1 && len(r.Shards) > 1:
		n.add(Warning, SectionRoutes, i, FieldMinCoverage, "one missing shard of %d fails the answer", len(r.Shards))
	}
	if r.TopRecords <= 0 {
		n.add(Error, SectionRoutes, i, FieldTopRecords, "%d: answers have no records", r.TopRecords)
	}
}

func (n *inspection) inspectTargets(i int, r *matcher.Route) {
	total, seen := 0.0, map[string]bool{}
	for _, t := range r.Targets {
		if t.Service == "" {
			n.add(Error, SectionRoutes, i, FieldTargets, "no service")
			continue
		}
		if math.IsNaN(t.Weight) || t.Weight < 0 {
			n.add(Error, SectionRoutes, i, FieldTargets, "service %q has the weight %v", t.Service, t.Weight)
			continue
		}
		if seen[t.Service] {
			n.add(Warning, SectionRoutes, i, FieldTargets, "service %q is named twice", t.Service)
		}
		if t.Weight == 0 && len(r.Targets) > 1 {
			n.add(Warning, SectionRoutes, i, FieldTargets, "service %q has the weight 0 and gets no requests", t.Service)
		}
		seen[t.Service] = true
		total += t.Weight
		n.use(i, FieldTargets, t.Service)
	}
	if total == 0 {
		n.add(Error, SectionRoutes, i, FieldTargets, "no service has a weight above 0")
	}
}

// use records that a route sends to a service.
func (n *inspection) use(i int, field Field, service string) {
	n.routed[service] = true
	if _, exists := n.services[service]; !exists {
		n.add(Error, SectionRoutes, i, field, "service %q has no entry", service)
	}
}

func (n *inspection) inspectServices() {
	for i, s := range n.config.Services {
		switch {
		case s.Name == "":
			n.add(Error, SectionServices, i, FieldName, "no name")
		case n.services[s.Name] != i:
			n.add(Error, SectionServices, i, FieldName, "entry %d has the same name and goes first", n.services[s.Name])
		case !n.routed[s.Name]:
			n.add(Warning, SectionServices, i, "", "no route sends to %q", s.Name)
		}
		if s.MaxConnections <= 0 {
			n.add(Warning, SectionServices, i, FieldConnections, "%d: nodes assume a number", s.MaxConnections)
		}
		if s.WarmUp < 0 || s.WarmUpRate < 0 || math.IsNaN(s.WarmUpRate) {
			n.add(Error, SectionServices, i, FieldWarmUp, "%v at %v requests per second", s.WarmUp, s.WarmUpRate)
		} else if s.WarmUpRate > 0 && s.WarmUp == 0 {
			n.add(Warning, SectionServices, i, FieldWarmUpRate, "has no effect: leaves are never cold")
		}
	}
}

func (n *inspection) inspectAccounts() {
	for i, a := range n.config.Accounts {
		if len(a.Keys) == 0 {
			n.add(Warning, SectionAccounts, i, FieldKeys, "never matches: the account has no key")
		}
		switch {
		case a.Rate > 0 && a.Burst < 1:
			n.add(Error, SectionAccounts, i, FieldBurst,
				"%v: with a quota of %v requests per second, a burst below 1 lets no request through", a.Burst, a.Rate)
		case a.Rate == 0 && a.Burst > 0:
			n.add(Warning, SectionAccounts, i, FieldBurst, "has no effect: the account has no quota")
		}
	}
}

func (n *inspection) inspectLimits() {
	l := n.config.Limits
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 || l.MaxBodyBytes < 0 || l.MaxHeaderBytes < 0 {
		n.add(Error, SectionLimits, 0, "", "a limit is below 0")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		n.add(Warning, SectionLimits, 0, FieldIdleTimeout,
			"%v is below the time of %v in which a request's head may arrive", l.IdleTimeout, l.HeaderTimeout)
	}
}
