// Package server handles callers' HTTP requests: it selects the route, has the request run by leaves and writes
// the answer. Requests are forwarded to leaves unchanged. The answer comes from the leaves, or is a refusal or
// failure of this node.
package server

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/deferrer"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/tracer"
	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const (
	// inboundDelay is the assumed transit time of a request from its caller to this node.
	inboundDelay = 4 * time.Millisecond
	// connectDelay is the assumed time that a caller spends on opening a connection before its first request.
	connectDelay = 6 * time.Millisecond
	// outboundDelay is the assumed transit time of an answer to its caller, including processing and timer delays.
	outboundDelay = 8 * time.Millisecond
	// longestWaitWindow is how long the longest stated wait of a route's callers is kept.
	longestWaitWindow = 10 * time.Second
	// defaultMaxBodyBytes bounds the body of a request if the configuration sets no bound.
	defaultMaxBodyBytes = 8 << 20
	// defaultTimeLeft is how long a caller is assumed to wait that states no time and whose route is not known.
	defaultTimeLeft = time.Second
	// maxTimeLeft is the longest wait for an answer that a caller may state; a longer one counts as this.
	maxTimeLeft = 24 * time.Hour
)

type (
	// Gatherer sends requests to leaves and collects their answers.
	Gatherer interface {
		Run(ctx context.Context, r gatherer.Request) gatherer.Result
	}

	// HeaderNames has the names of the header fields between callers and this node.
	HeaderNames struct {
		exchanger.HeaderNames
		// PartSignatures lists the signatures of the parts of an answer.
		PartSignatures string
		// MissingParts has the number of shards that are missing from an answer.
		MissingParts string
		// Key has the key of a client account, after the scheme KeyScheme. It is never passed on if the configuration has
		// accounts.
		Key, KeyScheme string
		// Account has the name of the account, for leaves only.
		Account string
	}

	// Config holds what a Server needs.
	Config struct {
		Gatherer    Gatherer
		HeaderNames HeaderNames
		// Use returns the use of the leaves by a client account, which is owed a share; nil if use is not weighed. The name
		// is "" for all requests without an account.
		Use func(account string, share float64) gatherer.Use
		// Matcher returns the matcher of the configuration in force, or nil if there is none yet.
		Matcher func() *matcher.Matcher
		// ConfigCurrent reports whether the configuration in force is known to be the newest.
		ConfigCurrent func() bool
		// ConfigOutdated reports whether a newer configuration has been known for so long that it must be in force.
		ConfigOutdated func() bool
		// Draining reports whether this node is about to stop.
		Draining func() bool
		// Observe is called at the end of each request with its outcome, duration and result.
		Observe func(route, outcome string, took time.Duration, r gatherer.Result)
		// ObserveAccount, if not nil, is called at the end of each request that has a client account.
		ObserveAccount func(account, outcome string, took time.Duration)
		// OnPanic, if not nil, is called when the handling of a request has panicked.
		OnPanic func()
		Logger  *slog.Logger
		// Random returns random numbers from 0 to 1. It is safe for concurrent use.
		Random func() float64
		// Quota limits the requests of client accounts; nil sets no limit.
		Quota Quota
		// Memory bounds the bytes of large bodies of requests that are held at once; nil sets no bound.
		Memory *reserver.Reserver
	}

	// Server handles callers' requests. It is safe for concurrent use.
	Server struct {
		config Config
		// inProgress counts the requests in progress.
		inProgress atomic.Int64
		progress   progress
		mutex      sync.Mutex
		// longestWaits has the longest wait that callers of each route have stated recently.
		longestWaits map[string]statedWait
		// targetSelectors has the selector of each route with several targets.
		targetSelectors map[string]*weightedRoundRobin
		bodyReads       bodyReads
	}

	// statedWait is the wait for an answer that a caller stated, and when.
	statedWait struct {
		wait time.Duration
		at   time.Time
	}

	// connectionKey is the context key of a connection's flag, which is set with its first request.
	connectionKey struct{}
)

// New returns a Server.
func New(c Config) *Server {
	return &Server{
		config: c, longestWaits: map[string]statedWait{}, targetSelectors: map[string]*weightedRoundRobin{},
		bodyReads: bodyReads{deadlines: map[*http.ResponseController]time.Time{}},
		progress:  progress{requests: map[*exchange]struct{}{}},
	}
}

// Stop refuses, after a time, the requests whose bodies have not arrived by then.
func (s *Server) Stop(after time.Duration) {
	s.bodyReads.stop(time.Now().Add(after))
}

// ConnContext adds a flag to the context of a new connection, by which its first request is recognized.
func ConnContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, connectionKey{}, &atomic.Bool{})
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int64 {
	return s.inProgress.Load()
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	x := &exchange{
		server: s, writer: w, request: r, id: r.Header.Get(s.config.HeaderNames.RequestID), arrivedAt: time.Now(),
	}
	defer x.handlePanic()
	tracer.SetRequestID(r.Context(), x.id)
	if x.id == "" {
		x.fail(http.StatusBadRequest, "no_request_id", gatherer.Result{})
		return
	}
	m := s.config.Matcher()
	if m == nil {
		x.refuse("no_configuration", deferrer.NoConfiguration, gatherer.Result{})
		return
	}
	if s.config.ConfigOutdated() {
		x.version = m.Version()
		x.refuse("configuration_outdated", deferrer.NoConfiguration, gatherer.Result{})
		return
	}
	route := m.Match(r.Host, r.RequestURI)
	if route == nil {
		x.noRoute(m.Version())
		return
	}
	x.route, x.version = route, m.Version()
	if !x.authenticate(m) {
		return
	}
	s.progress.add(x)
	defer s.progress.remove(x)
	x.serve(m)
}

// serve handles a request whose route and account are known.
func (x *exchange) serve(m *matcher.Matcher) {
	if !x.takeQuota() {
		return
	}
	defer x.returnQuota()
	body, ok := x.readBody(m.Limits().MaxBodyBytes)
	defer x.memory.Release()
	if ok {
		x.run(body)
	}
}

// exchange is the state of one request and its answer.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	id      string
	route   *matcher.Route
	// quotaTaken is set if the request was taken from the account's quota, mayHaveRun once a leaf may have run it.
	quotaTaken, mayHaveRun bool
	version                int64
	arrivedAt              time.Time
	stage                  atomic.Int32
	answer                 answerState
	// remaining is how long the caller waits for the answer after arrivedAt.
	remaining time.Duration
	// retryAfter is the delay that a refused caller is told; 0 for a request that is not refused.
	retryAfter time.Duration
	services   []string
	// memory is reserved for the body of the request; nil for a small one.
	memory   *reserver.Reservation
	identity identity
}

// run has leaves run the request and writes the answer.
func (x *exchange) run(body []byte) {
	x.stage.Store(stageLeaves)
	x.remaining = x.timeLeft()
	timeSpent := x.timeSpent()
	x.services = x.route.Shards
	if len(x.services) == 0 {
		x.services = []string{x.server.selectTarget(x.route)}
	}
	deadline := x.arrivedAt.Add(x.remaining)
	timeout := min(x.remaining, x.route.Timeout)
	x.mayHaveRun = true
	result := x.server.config.Gatherer.Run(x.request.Context(), gatherer.Request{
		Route: x.route, Services: x.services, ArrivedAt: x.arrivedAt, TimeSpent: timeSpent,
		Account: x.identity.accountName(), Priority: x.priority(), Use: x.use(), MaySend: x.maySend(),
		Message: exchanger.Request{
			Method: x.request.Method, Head: x.head(len(body)), Body: body, ID: x.id, Deadline: deadline,
		},
		Target:  x.route.TargetLatency - outboundDelay,
		Timeout: timeSpent + timeout - outboundDelay,
	})
	defer result.Release()
	x.mayHaveRun = result.Outcome != gatherer.OutcomeNotRun
	x.stage.Store(stageAnswer)
	x.write(result)
}

// timeLeft returns how long the caller still waits, as its header field states, or else the timeout of the route. It is
// defaultTimeLeft without either.
func (x *exchange) timeLeft() time.Duration {
	milliseconds, err := strconv.ParseInt(x.request.Header.Get(x.server.config.HeaderNames.TimeLeft), 10, 64)
	if (err != nil || milliseconds <= 0) && x.route == nil {
		return defaultTimeLeft
	}
	if err != nil || milliseconds <= 0 {
		return x.route.Timeout
	}
	return time.Duration(min(milliseconds, maxTimeLeft.Milliseconds())) * time.Millisecond
}

// timeSpent returns an estimate of how long the caller has waited so far: the transit time, the time to connect if the
// connection is new, and the difference between the longest wait stated recently for this route and the caller's
// remaining wait, which is shorter in a second attempt.
func (x *exchange) timeSpent() time.Duration {
	spent := inboundDelay
	if used, ok := x.request.Context().Value(connectionKey{}).(*atomic.Bool); ok && !used.Swap(true) {
		spent += connectDelay
	}
	s := x.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	longest := s.longestWaits[x.route.Name]
	if x.remaining >= longest.wait || x.arrivedAt.Sub(longest.at) > longestWaitWindow {
		s.longestWaits[x.route.Name] = statedWait{wait: x.remaining, at: x.arrivedAt}
		return spent
	}
	return spent + longest.wait - x.remaining
}

// selectTarget selects the service of a request by the weights of its route's targets.
func (s *Server) selectTarget(r *matcher.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	selector := s.targetSelectors[r.Name]
	if selector == nil || !selector.hasTargets(r.Targets) {
		selector = newWeightedRoundRobin(r.Targets, s.config.Random())
		s.targetSelectors[r.Name] = selector
	}
	return selector.next()
}
