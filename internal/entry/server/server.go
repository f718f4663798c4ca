// Package server is the callers' side: HTTP with JSON bodies from the schema. Requests flow in, are
// checked against size, caller and schema, and flow on to the searcher or the submitter; each answer
// carries a numbered result code, and the HTTP status follows it.
package server

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	contentTypeJSON = "application/json"
	bearerPrefix    = "Bearer "
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
		Metrics         *metrics.Set
		Logger          *slog.Logger
		MaxRequestBytes int64
	}

	// Server serves callers. It is safe for concurrent use.
	Server struct {
		config     Config
		inProgress atomic.Int32
	}
)

// New returns a Server.
func New(c Config) *Server {
	return &Server{config: c}
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

// InProgress returns the requests that are being answered.
func (s *Server) InProgress() uint32 {
	return uint32(max(0, s.inProgress.Load()))
}

func (s *Server) entries(c iris.Context) {
	s.write(c, s.config.Directory.Entries())
}

func (s *Server) search(c iris.Context) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	request := &pb.SearchRequest{}
	caller, err := s.read(c, request)
	if err != nil {
		s.reject(c, err)
		return
	}
	answer, err := s.config.Searcher.Search(c.Request().Context(), caller, request)
	if err != nil {
		s.reject(c, err)
		return
	}
	s.count("search", answer.GetCode())
	s.write(c, answer)
}

func (s *Server) submit(c iris.Context) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	request := &pb.SubmitRequest{}
	caller, err := s.read(c, request)
	if err != nil {
		s.reject(c, err)
		return
	}
	answer, err := s.config.Submitter.Submit(c.Request().Context(), caller, request)
	if err != nil {
		s.reject(c, err)
		return
	}
	s.count("submit", answer.GetCode())
	c.StatusCode(statusOf(answer.GetCode()))
	s.write(c, answer)
}

func (s *Server) health(c iris.Context) {
	if len(s.config.Source.Index().Services()) == 0 {
		s.reject(c, coder.New(pb.ResultCode_RESULT_CODE_NO_CONFIG, "no configuration yet"))
		return
	}
	_, _ = c.WriteString("ok\n")
}

func (s *Server) metrics(c iris.Context) {
	c.ContentType("text/plain; version=0.0.4")
	s.config.Metrics.WritePrometheus(c.ResponseWriter())
}

// read finds the caller and decodes the body strictly.
func (s *Server) read(c iris.Context, request proto.Message) (*pb.Caller, error) {
	credential, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	caller := s.config.Source.Index().CallerByCredential(credential)
	if !ok || caller == nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_CALLER, "no caller has this credential")
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, s.config.MaxRequestBytes+1))
	if err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "read request: %v", err)
	}
	if int64(len(body)) > s.config.MaxRequestBytes {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_REQUEST_TOO_LARGE,
			"request exceeds %d bytes", s.config.MaxRequestBytes)
	}
	if err := protojson.Unmarshal(body, request); err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "decode request: %v", err)
	}
	return caller, nil
}

func (s *Server) reject(c iris.Context, err error) {
	code := coder.Of(err)
	s.count("reject", code)
	s.config.Logger.Info("request rejected", "code", int(code), "path", c.Path(), "error", err.Error())
	c.StatusCode(statusOf(code))
	s.write(c, &pb.ErrorAnswer{Code: code, Message: err.Error()})
}

func (s *Server) write(c iris.Context, answer proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: false}.Marshal(answer)
	if err != nil {
		s.config.Logger.Error("answer not encoded", "error", err.Error())
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.ContentType(contentTypeJSON)
	_, _ = c.Write(body)
}

func (s *Server) count(call string, code pb.ResultCode) {
	name := `magnoliastep_answers_total{call="` + call + `",code="` + code.String() + `"}`
	s.config.Metrics.GetOrCreateCounter(name).Inc()
}
