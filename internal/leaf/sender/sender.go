// Package sender calls one leaf over HTTP/1.1. It returns the leaf's answer or a coded error, and says whether
// the leaf can have run the call. It opens no more connections than the leaf accepts, opens them in advance and
// one by one, and keeps them open, because a new connection costs the leaf processor time. For the same reason a
// call is cancelled by a separate request: the leaf answers the cancelled call and the connection stays open.
// If the leaf does not support that request or does not answer the call soon after it, the sender closes the
// connection of the call.
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
	// HeaderRequestID carries the request id in requests and answers.
	HeaderRequestID = "Step-Request-Id"
	// HeaderSnapshot carries the snapshot in requests and answers.
	HeaderSnapshot = "Step-Snapshot"
	// HeaderPartition carries the partition in requests and answers.
	HeaderPartition = "Step-Partition"
	// HeaderAttempt carries the number of the attempt, starting at 1.
	HeaderAttempt = "Step-Attempt"
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "Step-Deadline-Ms"
	// HeaderNotRun is "true" on an answer to a call that did not run.
	HeaderNotRun = "Step-Not-Run"
	// HeaderDraining is "true" on each answer of a draining leaf.
	HeaderDraining = "Step-Draining"
	// HeaderIncarnation carries a value that changes with every start of the leaf's process.
	HeaderIncarnation = "Step-Incarnation"
	// HeaderLoad carries the number of calls in progress at the leaf.
	HeaderLoad = "Step-Load"

	// PathSearch is the path for idempotent calls.
	PathSearch = "/v1/search"
	// PathSubmit is the path for non-idempotent calls.
	PathSubmit = "/v1/submit"
	// PathStatus is the path that answers with a LeafSelf.
	PathStatus = "/v1/status"
	// PathCancel is the path that cancels the call with the request id, partition and attempt in the headers.
	PathCancel = "/v1/cancel"

	cancelGracePeriod     = 100 * time.Millisecond
	dialTimeout           = 500 * time.Millisecond
	idleTimeout           = 5 * time.Minute
	maxStatusBytes        = 1 << 20 // 1 MiB
	defaultMaxAnswerBytes = 1 << 20 // 1 MiB
)

type (
	// Config holds what a Sender needs.
	Config struct {
		// Address is the leaf's IP and port.
		Address string
		// Connections is the largest number of open connections.
		Connections int
		// MaxAnswerBytes is the largest size of an answer's body; zero means 1 MiB.
		MaxAnswerBytes int
	}

	// Sender calls one leaf. It is safe for concurrent use.
	Sender struct {
		baseURL        string
		client         *http.Client
		maxAnswerBytes int
		// connectionsOpened counts the connections that the sender tried to open.
		connectionsOpened atomic.Uint64
		// cancelUnsupported is set when the leaf has answered PathCancel with an error status.
		cancelUnsupported atomic.Bool
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

	// Answer is the leaf's answer; Send returns it along with an error too.
	Answer struct {
		Payload     string
		Snapshot    uint64
		Incarnation string
		Draining    bool
		Load        int
		// NotRun is set when it is certain that the call did not run at the leaf.
		NotRun bool
	}
)

// New returns a Sender; it opens no connections.
func New(c Config) *Sender {
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	s := &Sender{baseURL: "http://" + c.Address, maxAnswerBytes: c.MaxAnswerBytes}
	dialer := &net.Dialer{Timeout: dialTimeout}
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			s.connectionsOpened.Add(1)
			return dialer.DialContext(ctx, network, address)
		},
		MaxConnsPerHost:     c.Connections,
		MaxIdleConnsPerHost: c.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	return s
}

// ConnectionsOpened returns the number of connections that the sender tried to open.
func (s *Sender) ConnectionsOpened() uint64 {
	return s.connectionsOpened.Load()
}

// OpenConnections opens about count connections. It sends rounds of concurrent status requests, each round with one
// request, and so one connection, more than the round before; interval is the time between two rounds.
func (s *Sender) OpenConnections(ctx context.Context, count int, interval time.Duration) {
	for round := 1; round <= count; round++ {
		var requests sync.WaitGroup
		for range round {
			requests.Go(func() { _, _ = s.Status(ctx) })
		}
		requests.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
}

// Send makes one call. When the context ends, it cancels the call at the leaf. It returns when the leaf has answered
// or the connection is closed, so that the call is no longer in flight.
func (s *Sender) Send(ctx context.Context, c Call) (Answer, error) {
	callContext, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	stop := context.AfterFunc(ctx, func() { s.cancelCall(callContext, abort, ctx.Err(), c) })
	defer stop()
	request, err := s.newRequest(callContext, c)
	if err != nil {
		return Answer{NotRun: true}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{NotRun: neverSent(err)}, transportError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := s.readAnswer(c, response)
	if err != nil && ctx.Err() != nil {
		return answer, transportError(ctx, err)
	}
	return answer, err
}

// cancelCall asks the leaf to end the call and closes the call's connection if the leaf does not end it within
// cancelGracePeriod. It sends no request after the deadline, because the leaf then ends the call by itself.
func (s *Sender) cancelCall(ctx context.Context, abort context.CancelFunc, cause error, c Call) {
	graceContext, cancel := context.WithTimeout(ctx, cancelGracePeriod)
	defer cancel()
	// The call may be answered before the cancel request. Its context must not end that request, which would
	// close the request's connection.
	if !errors.Is(cause, context.DeadlineExceeded) && !s.requestCancel(context.WithoutCancel(ctx), c) {
		abort()
		return
	}
	<-graceContext.Done()
	abort()
}

// requestCancel reports whether the leaf accepted the cancel request.
func (s *Sender) requestCancel(ctx context.Context, c Call) bool {
	if s.cancelUnsupported.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, cancelGracePeriod)
	defer cancel()
	c.Path = PathCancel
	c.Body = ""
	request, err := s.newRequest(ctx, c)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxStatusBytes))
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		s.cancelUnsupported.Store(true)
		return false
	}
	return true
}

// Status reads the leaf's status.
func (s *Sender) Status(ctx context.Context) (*pb.LeafSelf, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+PathStatus, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create status request")
	}
	response, err := s.client.Do(request)
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

func (s *Sender) newRequest(ctx context.Context, c Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make leaf request")
	}
	request.GetBody = nil // prevents the transport from retrying the call by itself
	h := request.Header
	h.Set(HeaderRequestID, c.RequestID)
	h.Set(HeaderSnapshot, strconv.FormatUint(c.Snapshot, 10))
	h.Set(HeaderPartition, strconv.FormatUint(uint64(c.Partition), 10))
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(c.Attempt), 10))
	h.Set(HeaderDeadline, strconv.FormatInt(c.TimeLeft.Milliseconds(), 10))
	return request, nil
}

func (s *Sender) readAnswer(c Call, response *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(s.maxAnswerBytes)+1))
	a := answerFromHeader(response.Header)
	if err != nil {
		return a, coder.New(pb.ResultCode_RESULT_CODE_LEAF_ERROR, "read leaf answer: %v", err)
	}
	if len(body) > s.maxAnswerBytes {
		return a, coder.New(pb.ResultCode_RESULT_CODE_LEAF_TOO_LARGE, "leaf answer exceeds %d bytes", s.maxAnswerBytes)
	}
	if err := s.validateAnswer(c, response, a); err != nil {
		return a, err
	}
	a.Payload = string(body)
	return a, nil
}

// validateAnswer returns a coded error unless the answer is a successful answer to this call.
func (s *Sender) validateAnswer(c Call, response *http.Response, a Answer) error {
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

func answerFromHeader(h http.Header) Answer {
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

// neverSent reports whether the call failed before any byte of it can have reached the leaf.
func neverSent(err error) bool {
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
