// Package server serves the HTTP interface for callers, with JSON bodies defined by the protobuf schema. It
// checks the size, the caller and the schema of each request and passes it on to the searcher or the submitter.
// Each answer carries a numbered result code, from which the HTTP status is derived.
package server

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/kataras/iris/v12"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/throttler"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Searcher answers searches.
	Searcher interface {
		Search(ctx context.Context, caller *pb.Caller, r *pb.SearchRequest) (*pb.SearchAnswer, error)
	}

	// Submitter answers non-idempotent requests.
	Submitter interface {
		Submit(ctx context.Context, caller *pb.Caller, r *pb.SubmitRequest) (*pb.SubmitAnswer, error)
	}

	// Tallier counts the requests of each class.
	Tallier interface {
		Begin(class *pb.Class) (end func(coverage float64), cancel func())
	}

	// Admitter may refuse a request before anything was sent.
	Admitter interface {
		Admit(class *pb.Class) error
	}

	// Directory lists the addresses for callers.
	Directory interface {
		Entries() *pb.EntriesAnswer
	}

	// Config holds what a Server needs.
	Config struct {
		Source          ConfigSource
		Searcher        Searcher
		Submitter       Submitter
		Directory       Directory
		Tallier         Tallier
		Admitter        Admitter
		Asserter        *asserter.Asserter
		Clock           quartz.Clock
		Metrics         *metrics.Set
		Logger          *slog.Logger
		MaxRequestBytes int64
		// MaxInProgress is the largest number of requests that are read and answered at a time.
		MaxInProgress int
	}

	// Server serves callers. It is safe for concurrent use.
	Server struct {
		config     Config
		throttler  *throttler.Throttler
		inProgress atomic.Int32
	}
)

// New returns a Server.
func New(c Config) *Server {
	return &Server{config: c, throttler: throttler.New(throttler.Config{Limit: c.MaxInProgress, Clock: c.Clock})}
}

// Handler returns the HTTP handler of all caller routes.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/entries", s.entries)
	app.Post("/v1/search", s.search)
	app.Post("/v1/submit", s.submit)
	app.Get("/healthz", s.health)
	app.Get("/metrics", s.metrics)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build caller routes")
	}
	return app, nil
}

// InProgress returns the number of requests that are being read and answered.
func (s *Server) InProgress() uint32 {
	return uint32(max(0, s.inProgress.Load()))
}

func (s *Server) entries(c iris.Context) {
	s.writeAnswer(c, s.config.Directory.Entries())
}

func (s *Server) health(c iris.Context) {
	if len(s.config.Source.Index().Services()) == 0 {
		s.writeError(c, coder.New(pb.ResultCode_RESULT_CODE_NO_CONFIG, "no configuration yet"))
		return
	}
	_, _ = c.WriteString("ok\n")
}

func (s *Server) metrics(c iris.Context) {
	c.ContentType("text/plain; version=0.0.4")
	s.config.Metrics.WritePrometheus(c.ResponseWriter())
}
