// Package sender calls one leaf over HTTP/1.1. A call flows in, the leaf's answer or a coded error
// flows out; the error says whether the leaf can have run the call. Connections are bounded by what the
// leaf accepts, opened ahead one by one and kept open, because a new one costs the leaf processor time.
// That is also why a call is cancelled by a request of its own: the leaf answers the cancelled call and the
// connection stays open. A leaf that does not know the request, or does not answer the call soon after,
// loses the connection of the call instead.
package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	// HeaderRequestID carries the request's id, both ways.
	HeaderRequestID = "Step-Request-Id"
	// HeaderSnapshot carries the snapshot, both ways.
	HeaderSnapshot = "Step-Snapshot"
	// HeaderPartition carries the partition, both ways.
	HeaderPartition = "Step-Partition"
	// HeaderAttempt carries the attempt, from 1.
	HeaderAttempt = "Step-Attempt"
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "Step-Deadline-Ms"
	// HeaderNotRun is "true" on an answer to a call that did not run.
	HeaderNotRun = "Step-Not-Run"
	// HeaderDraining is "true" on each answer of a draining leaf.
	HeaderDraining = "Step-Draining"
	// HeaderIncarnation changes with every start of the leaf's process.
	HeaderIncarnation = "Step-Incarnation"
	// HeaderLoad carries the leaf's calls in progress.
	HeaderLoad = "Step-Load"

	// PathSearch takes idempotent calls.
	PathSearch = "/v1/search"
	// PathSubmit takes non-idempotent calls.
	PathSubmit = "/v1/submit"
	// PathStatus answers with a LeafSelf.
	PathStatus = "/v1/status"
	// PathCancel ends the call with the request id, partition and attempt of its headers.
	PathCancel = "/v1/cancel"

	cancelGrace     = 100 * time.Millisecond
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 5 * time.Minute
	maxStatusBytes  = 1 << 20 // 1 MiB
	defaultMaxBytes = 1 << 20 // 1 MiB
)

type (
	// Config holds what a Sender needs.
	Config struct {
		// Address is the leaf's IP and port.
		Address string
		// Connections is the largest number of open connections.
		Connections int
		// MaxAnswerBytes bounds an answer; zero means 1 MiB.
		MaxAnswerBytes int
	}

	// Sender calls one leaf. It is safe for concurrent use.
	Sender struct {
		base     string
		http     *http.Client
		maxBytes int
		// opened counts the connections that were opened.
		opened atomic.Uint64
		// noCancel is set once the leaf has shown that it does not know PathCancel.
		noCancel atomic.Bool
	}

	// Call is one call to the leaf.
	Call struct {
		// Path is PathSearch or PathSubmit.
		Path      string
		RequestID string
		Snapshot  uint64
		Partition uint32
		Attempt   uint32
		TimeLeft  time.Duration
		Body      string
	}

	// Answer is what the leaf said, also along with an error.
	Answer struct {
		Payload     string
		Snapshot    uint64
		Incarnation string
		Draining    bool
		Load        int
		// NotRun is set when the call cannot have run at the leaf.
		NotRun bool
	}
)

// New returns a Sender without open connections.
func New(c Config) *Sender {
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = defaultMaxBytes
	}
	s := &Sender{base: "http://" + c.Address, maxBytes: c.MaxAnswerBytes}
	dialer := &net.Dialer{Timeout: dialTimeout}
	s.http = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			s.opened.Add(1)
			return dialer.DialContext(ctx, network, address)
		},
		MaxConnsPerHost:     c.Connections,
		MaxIdleConnsPerHost: c.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	return s
}

// Opened returns how many connections were opened.
func (s *Sender) Opened() uint64 {
	return s.opened.Load()
}

// Warm opens connections until about count are open. Each round of status requests needs one connection
// more than the round before; pace is the time between two rounds.
func (s *Sender) Warm(ctx context.Context, count int, pace time.Duration) {
	for round := 1; round <= count; round++ {
		var readers sync.WaitGroup
		for range round {
			readers.Go(func() { _, _ = s.Status(ctx) })
		}
		readers.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pace):
		}
	}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.http.CloseIdleConnections()
}

// Send makes one call. Ending the context cancels the call at the leaf; Send returns when the leaf has
// answered or the connection is closed, so that the call is not in flight any more.
func (s *Sender) Send(ctx context.Context, c Call) (Answer, error) {
	callContext, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	stop := context.AfterFunc(ctx, func() { s.cancel(callContext, abort, ctx.Err(), c) })
	defer stop()
	request, err := s.request(callContext, c)
	if err != nil {
		return Answer{NotRun: true}, err
	}
	response, err := s.http.Do(request)
	if err != nil {
		return Answer{NotRun: neverLeft(err)}, transportError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := s.read(c, response)
	if err != nil && ctx.Err() != nil {
		return answer, transportError(ctx, err)
	}
	return answer, err
}

// cancel asks the leaf to end the call and closes the call's connection if it does not. A leaf ends a call
// whose deadline has passed by itself.
func (s *Sender) cancel(ctx context.Context, abort context.CancelFunc, cause error, c Call) {
	grace, cancel := context.WithTimeout(ctx, cancelGrace)
	defer cancel()
	// The request outlives the call, whose answer may come first; else its connection would be closed.
	if !errors.Is(cause, context.DeadlineExceeded) && !s.askCancel(context.WithoutCancel(ctx), c) {
		abort()
		return
	}
	<-grace.Done()
	abort()
}

func (s *Sender) askCancel(ctx context.Context, c Call) bool {
	if s.noCancel.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, cancelGrace)
	defer cancel()
	c.Path = PathCancel
	c.Body = ""
	request, err := s.request(ctx, c)
	if err != nil {
		return false
	}
	response, err := s.http.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxStatusBytes))
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		s.noCancel.Store(true)
		return false
	}
	return true
}

// Status reads what the leaf says of itself.
func (s *Sender) Status(ctx context.Context) (*pb.LeafSelf, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+PathStatus, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make status request")
	}
	response, err := s.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read leaf status")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read leaf status")
	}
	self := &pb.LeafSelf{}
	if err := protojson.Unmarshal(body, self); err != nil {
		return nil, errors.Wrap(err, "decode leaf status")
	}
	return self, nil
}

func (s *Sender) request(ctx context.Context, c Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make leaf request")
	}
	request.GetBody = nil // the transport must not repeat a call on its own
	h := request.Header
	h.Set(HeaderRequestID, c.RequestID)
	h.Set(HeaderSnapshot, strconv.FormatUint(c.Snapshot, 10))
	h.Set(HeaderPartition, strconv.FormatUint(uint64(c.Partition), 10))
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(c.Attempt), 10))
	h.Set(HeaderDeadline, strconv.FormatInt(c.TimeLeft.Milliseconds(), 10))
	return request, nil
}

func (s *Sender) read(c Call, response *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(s.maxBytes)+1))
	a := answerOf(response.Header)
	if err != nil {
		return a, coder.New(pb.ResultCode_RESULT_CODE_LEAF_ERROR, "read leaf answer: %v", err)
	}
	if len(body) > s.maxBytes {
		return a, coder.New(pb.ResultCode_RESULT_CODE_LEAF_TOO_LARGE, "leaf answer exceeds %d bytes", s.maxBytes)
	}
	if err := s.check(c, response, a); err != nil {
		return a, err
	}
	a.Payload = string(body)
	return a, nil
}

// check tells whether the answer is a good answer to this very call.
func (s *Sender) check(c Call, response *http.Response, a Answer) error {
	h := response.Header
	switch {
	case a.NotRun && a.Draining:
		return coder.New(pb.ResultCode_RESULT_CODE_LEAF_DRAINING, "leaf is draining")
	case a.NotRun && response.StatusCode == http.StatusConflict:
		return coder.New(pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, "leaf does not hold snapshot %d", c.Snapshot)
	case a.NotRun:
		return coder.New(pb.ResultCode_RESULT_CODE_LEAF_SHED, "leaf shed the call")
	case response.StatusCode != http.StatusOK:
		return coder.New(pb.ResultCode_RESULT_CODE_LEAF_ERROR, "leaf answered status %d", response.StatusCode)
	case h.Get(HeaderSnapshot) == "" || h.Get(HeaderRequestID) == "":
		return coder.New(pb.ResultCode_RESULT_CODE_LEAF_MALFORMED, "leaf answer lacks its headers")
	case h.Get(HeaderRequestID) != c.RequestID:
		return coder.New(pb.ResultCode_RESULT_CODE_WRONG_REQUEST, "leaf answered another request")
	case h.Get(HeaderPartition) != strconv.FormatUint(uint64(c.Partition), 10):
		return coder.New(pb.ResultCode_RESULT_CODE_WRONG_REQUEST, "leaf answered another partition")
	case c.Path == PathSearch && a.Snapshot != c.Snapshot:
		return coder.New(pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, "leaf answered from snapshot %d", a.Snapshot)
	}
	return nil
}

func answerOf(h http.Header) Answer {
	snapshot, _ := strconv.ParseUint(h.Get(HeaderSnapshot), 10, 64)
	load, _ := strconv.Atoi(h.Get(HeaderLoad))
	return Answer{
		Snapshot:    snapshot,
		Incarnation: h.Get(HeaderIncarnation),
		Draining:    h.Get(HeaderDraining) == "true",
		Load:        load,
		NotRun:      h.Get(HeaderNotRun) == "true",
	}
}

// neverLeft tells whether the call failed before any byte of it can have reached the leaf.
func neverLeft(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func transportError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return coder.New(pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT, "leaf did not answer in time")
	case ctx.Err() != nil:
		return coder.New(pb.ResultCode_RESULT_CODE_CANCELLED, "call was cancelled")
	default:
		return coder.New(pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE, "call leaf: %v", err)
	}
}
