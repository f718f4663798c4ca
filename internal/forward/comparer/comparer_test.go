package comparer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/comparer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

func version() matcher.Config {
	return matcher.Config{
		Version: 7,
		Routes: []matcher.Route{{
			Name: "search", Host: "a.example", PathPrefix: "/s/", Shards: []string{"p2", "p1"}, Timeout: time.Second,
		}},
		Services: []matcher.Service{{Name: "p1", MaxConnections: 5}, {Name: "p2"}},
		Accounts: []matcher.Account{{Name: "club", Keys: []string{"secret-1", "secret-2"}, Rate: 5}},
	}
}

func TestEqualVersionsDoNotDiffer(t *testing.T) {
	is.New(t).Equal(len(comparer.Compare(version(), version())), 0)
}

// An operator must see each difference before a version is sent, whom it touches, and never a key.
func TestEachDifferenceIsNamedWithoutKeys(t *testing.T) {
	is := is.New(t)
	next := version()
	next.Version = 9
	next.Routes = append([]matcher.Route{{
		Name: "fetch", Host: "b.example", PathPrefix: "/", Targets: []matcher.Target{{Service: "p1", Weight: 1}},
	}}, next.Routes...)
	next.Routes[1].Timeout = 2 * time.Second
	next.Services = next.Services[:1]
	next.Accounts = []matcher.Account{{Name: "club", Keys: []string{"secret-2", "secret-3"}, Rate: 5, HasPriority: true}}
	next.Limits.MaxBodyBytes = 10
	var got []string
	for _, c := range comparer.Compare(version(), next) {
		got = append(got, fmt.Sprintf("%d %s %s %s %s (%s)", c.Kind, c.Entry, c.Field, c.Before, c.After, c.Touches))
	}
	is.Equal(got, []string{
		"2 version  7 9 ()",
		"0 route fetch    (callers of b.example/, leaves of p1)",
		"2 route search timeout 1s 2s (callers of a.example/s/, leaves of p1, p2)",
		"1 service p2    (leaves of p2)",
		"2 account club priority that of the route 0 (callers of account club)",
		"2 account club keys 2 keys 2 keys, 1 added, 1 removed (callers of account club)",
		"2 limits max_body_bytes 0 10 (all callers)",
	})
	is.True(!strings.Contains(strings.Join(got, ""), "secret"))
}
