package inspector_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/inspector"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

// sound returns a configuration in which nothing is wrong.
func sound() matcher.Config {
	return matcher.Config{
		Version: 1,
		Routes: []matcher.Route{
			{
				Name: "sharded", Host: "a.example", PathPrefix: "/s/", Shards: []string{"p1", "p2"}, Idempotent: true,
				Timeout: time.Second, TargetLatency: time.Millisecond, Attempts: 2, TopRecords: 5, MinCoverage: 0.5,
			},
			{
				Name: "split", Host: "a.example", PathPrefix: "/", Timeout: time.Second, TargetLatency: time.Millisecond,
				Attempts: 1, Targets: []matcher.Target{{Service: "p1", Weight: 1}, {Service: "p2", Weight: 2}},
			},
		},
		Services: []matcher.Service{{Name: "p1", MaxConnections: 9}, {Name: "p2", MaxConnections: 9}},
		Accounts: []matcher.Account{{Name: "club", Keys: []string{"k"}, Rate: 2, Burst: 2}},
		Limits:   matcher.Limits{HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
	}
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	is.New(t).Equal(len(inspector.Inspect(sound())), 0)
}

// Each of these once took effect differently from what its author meant, without a word.
func TestEachFaultIsFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		spoil    func(c *matcher.Config)
		severity inspector.Severity
		section  inspector.Section
		index    int
		field    inspector.Field
	}{
		{"no version", func(c *matcher.Config) { c.Version = 0 }, inspector.Error, inspector.SectionNone, 0, "version"},
		{
			"route named twice", func(c *matcher.Config) { c.Routes[1].Name = "sharded" },
			inspector.Error, inspector.SectionRoutes, 1, "name",
		},
		{
			"shadowed prefix", func(c *matcher.Config) { c.Routes[1].PathPrefix = "/s/" },
			inspector.Error, inspector.SectionRoutes, 1, "path_prefix",
		},
		{
			"prefix without a slash", func(c *matcher.Config) { c.Routes[0].PathPrefix = "/s" },
			inspector.Error, inspector.SectionRoutes, 0, "path_prefix",
		},
		{
			"prefix with a query", func(c *matcher.Config) { c.Routes[0].PathPrefix = "/s?x/" },
			inspector.Error, inspector.SectionRoutes, 0, "path_prefix",
		},
		{
			"host with a port", func(c *matcher.Config) { c.Routes[0].Host = "a.example:80" },
			inspector.Error, inspector.SectionRoutes, 0, "host",
		},
		{
			"no host", func(c *matcher.Config) { c.Routes[0].Host = "" },
			inspector.Error, inspector.SectionRoutes, 0, "host",
		},
		{
			"target latency above the timeout", func(c *matcher.Config) { c.Routes[0].TargetLatency = time.Hour },
			inspector.Error, inspector.SectionRoutes, 0, "target_latency",
		},
		{
			"attempts of what may not be repeated", func(c *matcher.Config) { c.Routes[1].Attempts = 3 },
			inspector.Warning, inspector.SectionRoutes, 1, "attempts",
		},
		{
			"shard named twice", func(c *matcher.Config) { c.Routes[0].Shards = []string{"p1", "p1", "p2"} },
			inspector.Error, inspector.SectionRoutes, 0, "shards",
		},
		{
			"shard without an entry", func(c *matcher.Config) { c.Routes[0].Shards = []string{"p1", "p3"} },
			inspector.Error, inspector.SectionRoutes, 0, "shards",
		},
		{
			"coverage out of reach", func(c *matcher.Config) { c.Routes[0].MinCoverage = 1.01 },
			inspector.Error, inspector.SectionRoutes, 0, "min_coverage",
		},
		{
			"coverage that is no number", func(c *matcher.Config) { c.Routes[0].MinCoverage = math.NaN() },
			inspector.Error, inspector.SectionRoutes, 0, "min_coverage",
		},
		{
			"answers without records", func(c *matcher.Config) { c.Routes[0].TopRecords = 0 },
			inspector.Error, inspector.SectionRoutes, 0, "top_records",
		},
		{
			"weights of 0", func(c *matcher.Config) { c.Routes[1].Targets = []matcher.Target{{Service: "p1"}} },
			inspector.Error, inspector.SectionRoutes, 1, "targets",
		},
		{
			"weight below 0", func(c *matcher.Config) { c.Routes[1].Targets[0].Weight = -1 },
			inspector.Error, inspector.SectionRoutes, 1, "targets",
		},
		{
			"no service", func(c *matcher.Config) { c.Routes[1].Targets[0].Service = "" },
			inspector.Error, inspector.SectionRoutes, 1, "targets",
		},
		{
			"service named twice", func(c *matcher.Config) { c.Services[1].Name = "p1" },
			inspector.Error, inspector.SectionServices, 0, "name",
		},
		{
			"service without a route", func(c *matcher.Config) {
				c.Services = append(c.Services, matcher.Service{Name: "p3", MaxConnections: 1})
			}, inspector.Warning, inspector.SectionServices, 2, "",
		},
		{
			"warm-up rate without warm-up", func(c *matcher.Config) { c.Services[0].WarmUpRate = 1 },
			inspector.Warning, inspector.SectionServices, 0, "warm_up_rate",
		},
		{
			"account without keys", func(c *matcher.Config) { c.Accounts[0].Keys = nil },
			inspector.Warning, inspector.SectionAccounts, 0, "keys",
		},
		{
			"two accounts with one key", func(c *matcher.Config) {
				c.Accounts = append(c.Accounts, matcher.Account{Name: "other", Keys: []string{"k"}})
			}, inspector.Error, inspector.SectionAccounts, 1, "",
		},
		{
			"account with a name for a header of its own", func(c *matcher.Config) { c.Accounts[0].Name = "club\r\nId: 1" },
			inspector.Error, inspector.SectionAccounts, 0, "",
		},
		{
			"priority that a node replaces", func(c *matcher.Config) { c.Routes[1].Priority = -1 },
			inspector.Error, inspector.SectionRoutes, 1, "",
		},
		{
			"quota without a burst", func(c *matcher.Config) { c.Accounts[0].Burst = 0 },
			inspector.Error, inspector.SectionAccounts, 0, "burst",
		},
		{
			"idle time below that of a head", func(c *matcher.Config) { c.Limits.IdleTimeout = time.Millisecond },
			inspector.Warning, inspector.SectionLimits, 0, "idle_timeout",
		},
		{
			"public without accounts", func(c *matcher.Config) { c.Accounts, c.Routes[0].Public = nil, true },
			inspector.Warning, inspector.SectionRoutes, 0, "public",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			config := sound()
			c.spoil(&config)
			found := false
			for _, f := range inspector.Inspect(config) {
				found = found || f.Severity == c.severity && f.Section == c.section && f.Index == c.index && f.Field == c.field
			}
			is.True(found)
		})
	}
}

func TestLargeConfigurationIsInspectedQuickly(t *testing.T) {
	is := is.New(t)
	c := sound()
	for i := range 10_000 {
		r := c.Routes[1]
		r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/r%d/", i)
		c.Routes = append(c.Routes, r)
	}
	startedAt := time.Now()
	is.Equal(len(inspector.Inspect(c)), 0)
	is.True(time.Since(startedAt) < time.Second)
}
