package gatherer_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// countedUse counts the calls that are charged.
type countedUse struct {
	calls atomic.Int64
	work  atomic.Int64
}

func (*countedUse) Use(time.Time) float64 { return 0 }

func (u *countedUse) Charge(work time.Duration, _ time.Time) {
	u.calls.Add(1)
	u.work.Add(int64(work))
}

// An account must pay for each call that a leaf gets for it, and not for a call that is never sent.
func TestEachCallSentIsChargedToTheAccount(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"a/near": answerAfter(ms), "b/near": answerAfter(ms)})
	run := func(services ...string) *countedUse {
		u := &countedUse{}
		f.gatherer.Run(t.Context(), gatherer.Request{
			Route: &matcher.Route{
				Name: "r", Shards: services, TargetLatency: target, Attempts: 1, TopRecords: 1, MinCoverage: 1,
			},
			Services: services, ArrivedAt: time.Now(), Target: target, Timeout: timeout, Use: u,
			Message: exchanger.Request{
				Method: http.MethodGet, ID: "r1", Deadline: time.Now().Add(time.Second),
				Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"),
			},
		})
		return u
	}
	both := run("a", "b")
	is.Equal(both.calls.Load(), int64(2))
	is.True(both.work.Load() > 0)
	is.Equal(run("a", "missing").calls.Load(), int64(0)) // refused before anything is sent
}
