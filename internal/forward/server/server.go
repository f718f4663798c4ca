// Package server takes requests of callers over HTTP, selects their route, has them run and writes the
// answers. A caller's request flows in and goes to the leaves unchanged; what the leaves answered, or a
// refusal of this node, flows out.
package server

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const (
	// inboundDelay is how long a request takes from its caller to this node.
	inboundDelay = 4 * time.Millisecond
	// connectDelay is what a caller spends on a new connection before its first request.
	connectDelay = 6 * time.Millisecond
	// outboundDelay is how long an answer takes to the caller, late timers and processing included.
	outboundDelay = 8 * time.Millisecond
	// patienceWindow is how long the longest wait that callers of a route stated is remembered.
	patienceWindow = 10 * time.Second
	// startingRetryAfter is when to come back to a node that knows no configuration yet.
	startingRetryAfter = 200 * time.Millisecond
)

type (
	// Gatherer runs requests.
	Gatherer interface {
		Run(ctx context.Context, r gatherer.Request) gatherer.Result
	}

	// Names are the names of header fields between callers and this node.
	Names struct {
		exchanger.Names
		// PartSignatures lists the signatures of the parts of an answer.
		PartSignatures string
		// MissingParts is the number of shards that an answer lacks.
		MissingParts string
	}

	// Config holds what a Server needs.
	Config struct {
		Gatherer Gatherer
		Names    Names
		// Matcher returns the configuration in force, or nil.
		Matcher func() *matcher.Matcher
		// Fresh tells whether the configuration in force is known to be the newest.
		Fresh func() bool
		// Draining tells whether this node is about to stop.
		Draining func() bool
		// Observe is told how each request ended and what it took on the way.
		Observe func(route, outcome string, took time.Duration, r gatherer.Result)
		Logger  *slog.Logger
		// Random returns numbers from 0 to 1. It is safe for concurrent use.
		Random func() float64
	}

	// Server answers callers. It is safe for concurrent use.
	Server struct {
		config Config
		// inProgress counts the requests that are not answered yet.
		inProgress atomic.Int64
		mutex      sync.Mutex
		// patience has the longest wait that callers of each route stated lately.
		patience map[string]stated
		// turns has the position of each route with several targets.
		turns map[string]*turns
	}

	stated struct {
		wait time.Duration
		at   time.Time
	}

	// connectionKey is the context key of a connection's state.
	connectionKey struct{}
)

// New returns a Server.
func New(c Config) *Server {
	return &Server{config: c, patience: map[string]stated{}, turns: map[string]*turns{}}
}

// ConnContext marks the context of a new connection, so that its first request can be told from others.
func ConnContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, connectionKey{}, &atomic.Bool{})
}

// InProgress returns the number of requests that are not answered yet.
func (s *Server) InProgress() int64 {
	return s.inProgress.Load()
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	x := &exchange{server: s, writer: w, request: r, id: r.Header.Get(s.config.Names.RequestID), arrivedAt: time.Now()}
	if s.config.Draining() {
		w.Header().Set("Connection", "close")
	}
	if x.id == "" {
		x.fail(http.StatusBadRequest, "no_request_id", gatherer.Result{})
		return
	}
	m := s.config.Matcher()
	if m == nil {
		x.refuse("no_configuration", startingRetryAfter, gatherer.Result{})
		return
	}
	route := m.Match(r.Host, r.RequestURI)
	if route == nil {
		x.noRoute(m.Version())
		return
	}
	x.route, x.version = route, m.Version()
	body, ok := x.readBody(m.Limits().MaxBodyBytes)
	if !ok {
		return
	}
	x.run(body)
}

// exchange is one request with its answer.
type exchange struct {
	server    *Server
	writer    http.ResponseWriter
	request   *http.Request
	id        string
	route     *matcher.Route
	version   int64
	arrivedAt time.Time
	left      time.Duration
	services  []string
}

// readBody reads the caller's body. It answers the caller and returns false when that is not possible.
func (x *exchange) readBody(limit int64) ([]byte, bool) {
	if x.request.Body == nil || x.request.ContentLength == 0 {
		return nil, true
	}
	reader := x.request.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.writer, reader, limit)
	}
	// A caller that stops in the middle of its body is not waited for longer than its route allows.
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.arrivedAt.Add(x.route.Timeout)); err != nil {
		x.server.config.Logger.Debug("body is read without a deadline", "request_id", x.id, "error", err)
	}
	body, err := io.ReadAll(reader)
	if err == nil {
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			x.server.config.Logger.Debug("deadline stays", "request_id", x.id, "error", err)
		}
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large", gatherer.Result{})
	} else {
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusBadRequest, "body_not_read", gatherer.Result{})
	}
	return nil, false
}

// run has the request run by leaves and writes the answer.
func (x *exchange) run(body []byte) {
	x.left = x.timeLeft()
	spent := x.spent()
	x.services = x.route.Shards
	if len(x.services) == 0 {
		x.services = []string{x.server.target(x.route)}
	}
	deadline := x.arrivedAt.Add(x.left)
	timeout := min(x.left, x.route.Timeout)
	result := x.server.config.Gatherer.Run(x.request.Context(), gatherer.Request{
		Route: x.route, Services: x.services, ArrivedAt: x.arrivedAt, Spent: spent,
		Message: exchanger.Request{
			Method: x.request.Method, Head: x.head(len(body)), Body: body, ID: x.id, Deadline: deadline,
		},
		Target:  x.route.TargetLatency - outboundDelay,
		Timeout: spent + timeout - outboundDelay,
	})
	x.write(result)
}

// timeLeft returns how long the caller waits from now on.
func (x *exchange) timeLeft() time.Duration {
	milliseconds, err := strconv.ParseInt(x.request.Header.Get(x.server.config.Names.TimeLeft), 10, 64)
	if err != nil || milliseconds <= 0 {
		return x.route.Timeout
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// spent returns how long the caller has waited so far: the way to this node, a new connection, and what it
// now waits less than callers of this route do at first.
func (x *exchange) spent() time.Duration {
	spent := inboundDelay
	if used, ok := x.request.Context().Value(connectionKey{}).(*atomic.Bool); ok && !used.Swap(true) {
		spent += connectDelay
	}
	s := x.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	longest := s.patience[x.route.Name]
	if x.left >= longest.wait || x.arrivedAt.Sub(longest.at) > patienceWindow {
		s.patience[x.route.Name] = stated{wait: x.left, at: x.arrivedAt}
		return spent
	}
	return spent + longest.wait - x.left
}

// target selects the service of a request by the weights of its route.
func (s *Server) target(r *matcher.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.turns[r.Name]
	if t == nil || !t.same(r.Targets) {
		t = newTurns(r.Targets, s.config.Random())
		s.turns[r.Name] = t
	}
	return t.next()
}
