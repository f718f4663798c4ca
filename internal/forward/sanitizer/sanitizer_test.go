package sanitizer_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/sanitizer"
)

// A route whose priority was forgotten must not go before all others, and one without a timeout must still be served.
func TestRouteWithUnusableValuesGetsLowestPriority(t *testing.T) {
	for _, c := range []struct {
		name     string
		route    matcher.Route
		want     matcher.Route
		problems int
	}{
		{
			"usable",
			matcher.Route{Priority: 2, Timeout: time.Second, TargetLatency: time.Millisecond},
			matcher.Route{Priority: 2, Timeout: time.Second, TargetLatency: time.Millisecond},
			0,
		},
		{
			"no priority",
			matcher.Route{Priority: -1, Timeout: time.Second, TargetLatency: time.Millisecond},
			matcher.Route{Priority: 1000, Timeout: time.Second, TargetLatency: time.Millisecond},
			1,
		},
		{
			"absurd priority",
			matcher.Route{Priority: math.MaxInt, Timeout: time.Second, TargetLatency: time.Millisecond},
			matcher.Route{Priority: 1000, Timeout: time.Second, TargetLatency: time.Millisecond},
			1,
		},
		{
			"no timeout",
			matcher.Route{Priority: 1, TargetLatency: time.Millisecond},
			matcher.Route{Priority: 1000, Timeout: 30 * time.Second, TargetLatency: time.Millisecond},
			1,
		},
		{
			"absurd timeout",
			matcher.Route{Priority: 1, Timeout: math.MaxInt64, TargetLatency: time.Millisecond},
			matcher.Route{Priority: 1000, Timeout: 30 * time.Second, TargetLatency: time.Millisecond},
			1,
		},
		{
			"no target latency",
			matcher.Route{Priority: 1, Timeout: time.Second},
			matcher.Route{Priority: 1, Timeout: time.Second, TargetLatency: time.Second},
			0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			config := matcher.Config{Routes: []matcher.Route{c.route}}
			is.Equal(len(sanitizer.Sanitize(&config)), c.problems)
			is.Equal(config.Routes[0], c.want)
		})
	}
}
