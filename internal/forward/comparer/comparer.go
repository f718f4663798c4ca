// Package comparer tells what a new version of the configuration changes against the one in force: which routes,
// services, client accounts and limits, and which callers and leaves that touches. It never shows the keys of accounts.
package comparer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

const (
	// Added is an entry that only the new version has.
	Added Kind = iota
	// Removed is an entry that only the version in force has.
	Removed
	// Changed is a field of an entry, or of the configuration, whose value differs.
	Changed
)

type (
	// Kind says how an entry differs.
	Kind int

	// Change is one difference.
	Change struct {
		Kind Kind
		// Entry is what differs: "version", "limits", or the kind and name of an entry.
		Entry string
		// Field is the field that differs, with its values before and after; empty for an entry that was added or removed.
		Field, Before, After string
		// Touches says which callers and leaves notice the change.
		Touches string
	}

	// field is a field of an entry, with its value as text.
	field struct {
		name, value string
	}

	// entry is an entry of one version.
	entry struct {
		fields  []field
		touches string
	}
)

// Compare returns the differences between the version in force and a new one, in a fixed order.
func Compare(inForce, next matcher.Config) []Change {
	var changes []Change
	if inForce.Version != next.Version {
		changes = append(changes, Change{
			Kind: Changed, Entry: "version", Before: fmt.Sprint(inForce.Version), After: fmt.Sprint(next.Version),
		})
	}
	changes = append(changes, compareEntries("route", routes(inForce), routes(next))...)
	changes = append(changes, compareEntries("service", services(inForce), services(next))...)
	changes = append(changes, compareEntries("account", accounts(inForce), accounts(next))...)
	changes = append(changes, compareKeys(inForce.Accounts, next.Accounts)...)
	return append(changes, compareFields("limits", limits(inForce), limits(next), "all callers")...)
}

// compareEntries compares the entries of one kind by name.
func compareEntries(kind string, inForce, next map[string]entry) []Change {
	names := make([]string, 0, len(inForce)+len(next))
	for name := range inForce {
		names = append(names, name)
	}
	for name := range next {
		if _, both := inForce[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		title := kind + " " + name
		before, had := inForce[name]
		after, has := next[name]
		switch {
		case !had:
			changes = append(changes, Change{Kind: Added, Entry: title, Touches: after.touches})
		case !has:
			changes = append(changes, Change{Kind: Removed, Entry: title, Touches: before.touches})
		default:
			changes = append(changes, compareFields(title, before.fields, after.fields, after.touches)...)
		}
	}
	return changes
}

// compareFields compares the fields of one entry, which are the same in both versions.
func compareFields(title string, before, after []field, touches string) []Change {
	var changes []Change
	for i := range before {
		if before[i].value != after[i].value {
			changes = append(changes, Change{
				Kind: Changed, Entry: title, Field: before[i].name, Before: orNone(before[i].value),
				After: orNone(after[i].value), Touches: touches,
			})
		}
	}
	return changes
}

func routes(c matcher.Config) map[string]entry {
	entries := make(map[string]entry, len(c.Routes))
	for _, r := range c.Routes {
		entries[r.Name] = entry{
			touches: fmt.Sprintf("callers of %s%s, leaves of %s", r.Host, r.PathPrefix, strings.Join(routeServices(r), ", ")),
			fields: []field{
				{"host", r.Host},
				{"path_prefix", r.PathPrefix},
				{"idempotent", fmt.Sprint(r.Idempotent)},
				{"timeout", r.Timeout.String()},
				{"target_latency", r.TargetLatency.String()},
				{"priority", fmt.Sprint(r.Priority)},
				{"targets", targets(r.Targets)},
				{"shards", strings.Join(r.Shards, ", ")},
				{"attempts", fmt.Sprint(r.Attempts)},
				{"top_records", fmt.Sprint(r.TopRecords)},
				{"min_coverage", fmt.Sprint(r.MinCoverage)},
				{"public", fmt.Sprint(r.Public)},
			},
		}
	}
	return entries
}

func services(c matcher.Config) map[string]entry {
	entries := make(map[string]entry, len(c.Services))
	for _, s := range c.Services {
		entries[s.Name] = entry{touches: "leaves of " + s.Name, fields: []field{
			{"health_path", s.HealthPath},
			{"max_connections", fmt.Sprint(s.MaxConnections)},
			{"warm_up", s.WarmUp.String()},
			{"warm_up_rate", fmt.Sprint(s.WarmUpRate)},
		}}
	}
	return entries
}

func accounts(c matcher.Config) map[string]entry {
	entries := make(map[string]entry, len(c.Accounts))
	for _, a := range c.Accounts {
		priority := "that of the route"
		if a.HasPriority {
			priority = fmt.Sprint(a.Priority)
		}
		entries[a.Name] = entry{touches: "callers of account " + a.Name, fields: []field{
			{"rate", fmt.Sprint(a.Rate)},
			{"burst", fmt.Sprint(a.Burst)},
			{"priority", priority},
		}}
	}
	return entries
}

func limits(c matcher.Config) []field {
	l := c.Limits
	return []field{
		{"max_header_bytes", fmt.Sprint(l.MaxHeaderBytes)},
		{"max_body_bytes", fmt.Sprint(l.MaxBodyBytes)},
		{"header_timeout", l.HeaderTimeout.String()},
		{"idle_timeout", l.IdleTimeout.String()},
	}
}

// routeServices returns the services to which a route sends, in order.
func routeServices(r matcher.Route) []string {
	names := slices.Clone(r.Shards)
	for _, t := range r.Targets {
		names = append(names, t.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func targets(targets []matcher.Target) string {
	shares := make([]string, 0, len(targets))
	for _, t := range targets {
		shares = append(shares, fmt.Sprintf("%s: %v", t.Service, t.Weight))
	}
	return strings.Join(shares, ", ")
}

// compareKeys says which accounts that both versions have got other keys, without showing a key.
func compareKeys(inForce, next []matcher.Account) []Change {
	before := make(map[string][]string, len(inForce))
	for _, a := range inForce {
		before[a.Name] = a.Keys
	}
	var changes []Change
	for _, a := range next {
		old, both := before[a.Name]
		added, removed := missing(a.Keys, old), missing(old, a.Keys)
		if both && added+removed > 0 {
			changes = append(changes, Change{
				Kind: Changed, Entry: "account " + a.Name, Field: "keys", Before: fmt.Sprintf("%d keys", len(old)),
				After:   fmt.Sprintf("%d keys, %d added, %d removed", len(a.Keys), added, removed),
				Touches: "callers of account " + a.Name,
			})
		}
	}
	return changes
}

// missing returns how many of the keys are not among the others.
func missing(keys, others []string) int {
	count := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			count++
		}
	}
	return count
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
