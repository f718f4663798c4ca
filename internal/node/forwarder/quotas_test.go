package forwarder

import (
	"bytes"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

// newQuotaNode returns a node that is the only one of its fleet, and its log.
func newQuotaNode(t *testing.T) (*Node, *quartz.Mock, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	clock := quartz.NewMock(t)
	n := New(Config{
		NodeName: "n1", AvailabilityZone: "z1", PeerAddress: "10.0.0.1:3", CallerAddress: "10.0.0.1:1", CPUShare: 1,
		ReloadableSettings: ReloadableSettings{QuotaBounds: limiter.Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}},
		Clock:              clock, Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(&log, nil)),
		ReadinessHandler: func(func() bool) http.Handler { return nil },
	})
	return n, clock, &log
}

// Guards against a quota of the configuration that is not in force, and one that is not usable which stops the others
// or goes unnoticed.
func TestQuotasOfConfigurationAreInForce(t *testing.T) {
	is := is.New(t)
	n, clock, log := newQuotaNode(t)
	n.setQuotas(matcher.Config{Version: 7, Accounts: []matcher.Account{
		{Name: "a", Keys: []string{"secret"}, Rate: 10, Burst: 5}, {Name: "b", Rate: math.NaN()}, {Name: "c"},
	}})
	clock.Advance(time.Minute)
	n.quotas.reporter.Step(t.Context())
	count := func(account string) (granted int) {
		for range 100 {
			if ok, _ := n.quotas.Take(account); ok {
				granted++
			}
		}
		return granted
	}
	granted := count("a")
	is.True(granted >= 5 && granted <= 30) // the burst, and at most the tolerance
	is.Equal(count("b"), 100)
	is.Equal(count("c"), 100)
	is.Equal(strings.Count(log.String(), "quota is not usable"), 1)
	is.Equal(strings.Count(log.String(), `msg="quota is used up"`), 1)
	is.True(!strings.Contains(log.String(), "secret"))
	is.Equal(n.config.Metrics.GetOrCreateCounter("stepfront_quotas_unusable_total").Get(), uint64(1))
}

// Guards against reports of other nodes that do not reach the limiter.
func TestQuotaReportOfOtherNodeCounts(t *testing.T) {
	is := is.New(t)
	n, clock, log := newQuotaNode(t)
	accounts := []limiter.Account{{Name: "a", Rate: 10, Burst: 50}}
	n.setQuotas(matcher.Config{Accounts: []matcher.Account{{Name: "a", Rate: 10, Burst: 50}}})
	clock.Advance(time.Minute)
	n.quotas.reporter.Step(t.Context())
	other := limiter.New(limiter.Config{NodeName: "n2", Process: 2})
	other.SetAccounts(accounts, clock.Now().Add(-time.Minute))
	other.SetView(limiter.View{Known: true, Serving: true, Peers: []string{"n1"}, Alive: 2}, clock.Now())
	for range 50 {
		other.Take("a", clock.Now())
	}
	for _, r := range other.Reports(clock.Now()) {
		n.HandleFrame(t.Context(), &pb.Frame{From: "n2", Body: &pb.Frame_QuotaReport{QuotaReport: r.Message}}, nil)
	}
	for range 100 {
		n.quotas.Take("a")
	}
	is.True(strings.Contains(log.String(), "largest_node=n2"))
	is.True(!strings.Contains(log.String(), "frame type is not known"))
}
