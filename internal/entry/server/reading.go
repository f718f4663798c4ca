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
	// readTimeout bounds how long a caller may take to send a body once it is read.
	readTimeout = 10 * time.Second
	// defaultLongestWait is how long a request waits to be read while no class is configured.
	defaultLongestWait = time.Second
)

type (
	// entered is a request that may be read and answered now.
	entered struct {
		// arrivedAt is when its head had come, before it waited for its turn.
		arrivedAt time.Time
	}
)

// enter waits until the request may be read. It waits as long as any class lets an answer come late;
// after that the request's time is over whichever class it is of. Until then its body stays in the
// caller's connection.
func (s *Server) enter(c iris.Context) (*entered, error) {
	e := &entered{arrivedAt: s.config.Clock.Now()}
	if !s.throttler.Acquire(c.Request().Context(), s.longestWait()) {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED,
			"waited longer than the lateness of every class; the request was not read and did not run")
	}
	n := s.inProgress.Add(1)
	s.config.Asserter.Check(int(n) <= s.config.MaxInProgress, "requests_in_progress_within_bound", "in_progress", n)
	return e, nil
}

func (s *Server) leave() {
	s.inProgress.Add(-1)
	s.throttler.Release()
}

func (s *Server) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.config.Source.Index().Classes() {
		longest = max(longest, c.GetLateness().AsDuration())
	}
	if longest == 0 {
		return defaultLongestWait
	}
	return longest
}

// timeLeft returns the time until the answer is worth nothing. It may be over for a request that waited
// here; a request that had none on arrival is rejected.
func (s *Server) timeLeft(e *entered, class *pb.Class, given *durationpb.Duration) (time.Duration, error) {
	left := class.GetLateness().AsDuration()
	if given != nil {
		left = min(left, given.AsDuration())
	}
	if left <= 0 {
		return 0, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED, "no time left on arrival")
	}
	return left - s.config.Clock.Since(e.arrivedAt), nil
}

// read finds the caller and decodes the body strictly.
func (s *Server) read(c iris.Context, request proto.Message) (*pb.Caller, error) {
	credential, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	caller := s.config.Source.Index().CallerByCredential(credential)
	if !ok || caller == nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_CALLER, "no caller has this credential")
	}
	if c.Request().ContentLength > s.config.MaxRequestBytes {
		return nil, s.tooLarge()
	}
	connection := http.NewResponseController(c.ResponseWriter().Naive())
	_ = connection.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, s.config.MaxRequestBytes+1))
	if err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "read request: %v", err)
	}
	_ = connection.SetReadDeadline(time.Time{})
	if int64(len(body)) > s.config.MaxRequestBytes {
		return nil, s.tooLarge()
	}
	if protojson.Unmarshal(body, request) == nil {
		return caller, nil
	}
	// The slower decoder names every wrong field.
	proto.Reset(request)
	if err := decoder.Decode(body, request); err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "decode request: %v", err)
	}
	return caller, nil
}

func (s *Server) tooLarge() error {
	return coder.New(pb.ResultCode_RESULT_CODE_REQUEST_TOO_LARGE,
		"request exceeds %d bytes", s.config.MaxRequestBytes)
}

// notRefused checks that nothing behind the admitter refuses.
func (s *Server) notRefused(err error) error {
	s.config.Asserter.Check(coder.Of(err) != pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN,
		"refusal_only_under_grant", "error", err.Error())
	return err
}

func durationOf(d time.Duration) *durationpb.Duration {
	return durationpb.New(d)
}
