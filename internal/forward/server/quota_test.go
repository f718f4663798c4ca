package server

import (
	"bytes"
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

type (
	// fakeQuota grants a number of requests.
	fakeQuota struct {
		left            int
		taken, returned []string
	}

	// fixedGatherer returns the same result for all requests and counts them.
	fixedGatherer struct {
		result gatherer.Result
		runs   int
	}
)

func (q *fakeQuota) Take(account string) (bool, time.Duration) {
	q.taken = append(q.taken, account)
	q.left--
	return q.left >= 0, 1250 * time.Millisecond
}

func (q *fakeQuota) Return(account string) {
	q.returned = append(q.returned, account)
}

func (g *fixedGatherer) Run(context.Context, gatherer.Request) gatherer.Result {
	g.runs++
	return g.result
}

// serveWithQuota serves one request of an account, which may be nil, and returns the answer and the log.
func serveWithQuota(
	q Quota, g *fixedGatherer, account *matcher.Account, body string,
) (answer *httptest.ResponseRecorder, log string) {
	var lines bytes.Buffer
	s := New(Config{
		Gatherer: g, Quota: q, Draining: func() bool { return false },
		Observe: func(string, string, time.Duration, gatherer.Result) {},
		Logger:  slog.New(slog.NewTextHandler(&lines, nil)), Random: func() float64 { return 0 },
		HeaderNames: HeaderNames{HeaderNames: exchanger.HeaderNames{RequestID: "Id"}},
	})
	w := httptest.NewRecorder()
	x := &exchange{
		server: s, writer: w, request: httptest.NewRequest("POST", "/r/", strings.NewReader(body)), id: "r1",
		arrivedAt: time.Now(), identity: identity{account: account},
		route: &matcher.Route{
			Name: "r", Timeout: time.Second, TargetLatency: time.Second, Targets: []matcher.Target{{Service: "s", Weight: 1}},
		},
	}
	x.serve(matcher.New(matcher.Config{Limits: matcher.Limits{MaxBodyBytes: 4}}))
	return w, lines.String()
}

// Guards against requests beyond the quota that reach a leaf, or that are refused without the time to come back.
func TestRequestBeyondQuotaIsRefusedWithTimeToComeBack(t *testing.T) {
	is := is.New(t)
	q, g := &fakeQuota{}, &fixedGatherer{}
	w, log := serveWithQuota(q, g, &matcher.Account{Name: "a"}, "1234")
	is.Equal(w.Code, 429)
	is.Equal(w.Header().Get("Retry-After"), "1.250")
	is.Equal(g.runs, 0)
	is.Equal(q.taken, []string{"a"})
	is.Equal(len(q.returned), 0)
	is.True(strings.Contains(log, "outcome=over_quota status=429"))
}

// Guards against requests that cost their account credit although no leaf has run them, and against credit for those
// that a leaf may have run.
func TestQuotaIsReturnedOnlyIfNoLeafRanRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  gatherer.Outcome
		body     string
		status   int
		runs     int
		returned int
	}{
		{"not run", gatherer.OutcomeNotRun, "", 503, 1, 1},
		{"timeout", gatherer.OutcomeTimeout, "", 504, 1, 0},
		{"failed", gatherer.OutcomeFailed, "", 502, 1, 0},
		{"body too large", gatherer.OutcomeFailed, "12345", 413, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, g := &fakeQuota{left: 1}, &fixedGatherer{result: gatherer.Result{Outcome: c.outcome}}
			w, _ := serveWithQuota(q, g, &matcher.Account{Name: "a"}, c.body)
			is.Equal(w.Code, c.status)
			is.Equal(g.runs, c.runs)
			is.Equal(len(q.returned), c.returned)
		})
	}
}

// Guards against quotas that act on requests without an account.
func TestRequestWithoutAccountHasNoQuota(t *testing.T) {
	is := is.New(t)
	q, g := &fakeQuota{}, &fixedGatherer{result: gatherer.Result{Outcome: gatherer.OutcomeNotRun}}
	w, _ := serveWithQuota(q, g, nil, "")
	is.Equal(w.Code, 503)
	is.Equal(g.runs, 1)
	is.Equal(len(q.taken)+len(q.returned), 0)
}
