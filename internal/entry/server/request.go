package server

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

const (
	bearerPrefix = "Bearer "
	// readTimeout is how long a caller may take to send the body once the server starts to read it.
	readTimeout = 10 * time.Second
	// defaultMaxWait is how long a request waits for its turn while no class is configured.
	defaultMaxWait = time.Second
)

type (
	// startedRequest is a request that holds a slot and may be read and answered now.
	startedRequest struct {
		// arrivedAt is when its HTTP header was received, before it waited for a slot.
		arrivedAt time.Time
	}
)

// start waits for a slot for the request. It waits up to the longest lateness of all classes, because after
// that the request's time is over whatever its class. Until then the body stays in the caller's connection.
func (s *Server) start(c iris.Context) (*startedRequest, error) {
	r := &startedRequest{arrivedAt: s.config.Clock.Now()}
	if !s.throttler.Acquire(c.Request().Context(), s.maxWait()) {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED,
			"waited longer than the lateness of every class; the request was not read and did not run")
	}
	n := s.inProgress.Add(1)
	s.config.Asserter.Check(int(n) <= s.config.MaxInProgress, "requests_in_progress_within_bound", "in_progress", n)
	return r, nil
}

func (s *Server) finish() {
	s.inProgress.Add(-1)
	s.throttler.Release()
}

func (s *Server) maxWait() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.config.Source.Index().Classes() {
		longest = max(longest, c.GetLateness().AsDuration())
	}
	if longest == 0 {
		return defaultMaxWait
	}
	return longest
}

// timeLeft returns the time until the answer is worth nothing. It may be zero or less for a request that
// waited at this node; a request without time left on arrival is rejected.
func (s *Server) timeLeft(r *startedRequest, class *pb.Class, requested *durationpb.Duration) (time.Duration, error) {
	left := class.GetLateness().AsDuration()
	if requested != nil {
		left = min(left, requested.AsDuration())
	}
	if left <= 0 {
		return 0, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED, "no time left on arrival")
	}
	return left - s.config.Clock.Since(r.arrivedAt), nil
}

// readRequest identifies the caller by its credential and decodes the body. It rejects unknown fields.
func (s *Server) readRequest(c iris.Context, request proto.Message) (*pb.Caller, error) {
	credential, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	caller := s.config.Source.Index().CallerByCredential(credential)
	if !ok || caller == nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_CALLER, "no caller has this credential")
	}
	if c.Request().ContentLength > s.config.MaxRequestBytes {
		return nil, s.tooLargeError()
	}
	connection := http.NewResponseController(c.ResponseWriter().Naive())
	_ = connection.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, s.config.MaxRequestBytes+1))
	if err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "read request: %v", err)
	}
	_ = connection.SetReadDeadline(time.Time{})
	if int64(len(body)) > s.config.MaxRequestBytes {
		return nil, s.tooLargeError()
	}
	if protojson.Unmarshal(body, request) == nil {
		return caller, nil
	}
	// The slower decoder reports every wrong field.
	proto.Reset(request)
	if err := decoder.Decode(body, request); err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "decode request: %v", err)
	}
	return caller, nil
}

func (s *Server) tooLargeError() error {
	return coder.New(pb.ResultCode_RESULT_CODE_REQUEST_TOO_LARGE,
		"request exceeds %d bytes", s.config.MaxRequestBytes)
}

// checkNotRefused checks that nothing after the admitter refuses a request, and returns err unchanged.
func (s *Server) checkNotRefused(err error) error {
	s.config.Asserter.Check(coder.CodeOf(err) != pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN,
		"refusal_only_under_grant", "error", err.Error())
	return err
}

func durationOf(d time.Duration) *durationpb.Duration {
	return durationpb.New(d)
}
