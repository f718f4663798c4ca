package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/server"
	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

type (
	// fixture is a Server over test doubles of its dependencies.
	fixture struct {
		address string
		log     *bytes.Buffer
		metrics *metrics.Set
		// search and submit answer requests that passed all checks.
		search    func(r *pb.SearchRequest) (*pb.SearchAnswer, error)
		submit    func(r *pb.SubmitRequest) (*pb.SubmitAnswer, error)
		refusal   error
		tallier   *tallier.Tallier
		forwarded atomic.Int32
	}
)

const (
	maxRequestBytes = 1000
	maxInProgress   = 4
)

func (f *fixture) Index() *indexer.Index {
	class := func(name string, kind pb.RequestKind) *pb.ConfigObject {
		return &pb.ConfigObject{Spec: &pb.ConfigObject_Class{Class: &pb.Class{
			Name: name, Service: "desk", Kind: kind, Worth: 1, Lateness: durationpb.New(time.Second),
		}}}
	}
	return indexer.New([]*pb.ConfigObject{
		{Spec: &pb.ConfigObject_Service{Service: &pb.Service{Name: "desk", PartitionCount: 2}}},
		class("search", pb.RequestKind_REQUEST_KIND_IDEMPOTENT),
		class("book", pb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT),
		class("other", pb.RequestKind_REQUEST_KIND_IDEMPOTENT),
		{Spec: &pb.ConfigObject_Caller{Caller: &pb.Caller{
			Name: "carl", CredentialHash: indexer.HashCredential("carl-token"), Classes: []string{"desk/search", "desk/book"},
		}}},
	})
}

func (f *fixture) Search(_ context.Context, _ *pb.Caller, r *pb.SearchRequest) (*pb.SearchAnswer, error) {
	f.forwarded.Add(1)
	return f.search(r)
}

func (f *fixture) Submit(_ context.Context, _ *pb.Caller, r *pb.SubmitRequest) (*pb.SubmitAnswer, error) {
	f.forwarded.Add(1)
	return f.submit(r)
}

func (f *fixture) Admit(*pb.Class) error { return f.refusal }

func (f *fixture) Entries() *pb.EntriesAnswer { return &pb.EntriesAnswer{} }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := quartz.NewReal()
	f := &fixture{
		log: &bytes.Buffer{}, metrics: metrics.NewSet(), tallier: tallier.New(tallier.Config{Clock: clock}),
		search: func(*pb.SearchRequest) (*pb.SearchAnswer, error) {
			return &pb.SearchAnswer{Code: pb.ResultCode_RESULT_CODE_OK, Coverage: &pb.Coverage{}}, nil
		},
		submit: func(*pb.SubmitRequest) (*pb.SubmitAnswer, error) {
			return &pb.SubmitAnswer{Code: pb.ResultCode_RESULT_CODE_OK}, nil
		},
	}
	handler, err := server.New(server.Config{
		Source: f, Searcher: f, Submitter: f, Directory: f, Tallier: f.tallier, Admitter: f,
		Asserter: asserter.New(asserter.Config{Fatal: true}), Clock: clock, Metrics: f.metrics,
		Logger: slog.New(slog.NewTextHandler(f.log, nil)), MaxRequestBytes: maxRequestBytes, MaxInProgress: maxInProgress,
	}).Handler()
	is.New(t).NoErr(err)
	h := httptest.NewServer(handler)
	t.Cleanup(h.Close)
	f.address = h.Listener.Addr().String()
	return f
}

// post sends a body with the credential and returns the HTTP status and the result code of the answer.
func (f *fixture) post(t *testing.T, path, credential, body string) (int, pb.ResultCode) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address+path, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+credential)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	answer := &pb.ErrorAnswer{}
	is.NoErr((protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, answer))
	return response.StatusCode, answer.GetCode()
}

func TestServerRejectsInvalidRequest(t *testing.T) {
	const search, submit = "/v1/search", "/v1/submit"
	cases := map[string]struct {
		path, credential, body string
		status                 int
		code                   pb.ResultCode
	}{
		"unknown caller": {search, "eve", `{}`, 401, pb.ResultCode_RESULT_CODE_UNKNOWN_CALLER},
		"oversized": {
			search, "carl-token", `{"query":"` + strings.Repeat("x", maxRequestBytes) + `"}`,
			413, pb.ResultCode_RESULT_CODE_REQUEST_TOO_LARGE,
		},
		"malformed":  {search, "carl-token", `{"service"`, 400, pb.ResultCode_RESULT_CODE_MALFORMED},
		"empty":      {search, "carl-token", ``, 400, pb.ResultCode_RESULT_CODE_MALFORMED},
		"wrong type": {search, "carl-token", `{"service":7}`, 400, pb.ResultCode_RESULT_CODE_MALFORMED},
		"unknown field": {
			search, "carl-token", `{"service":"desk","class":"search","speed":1}`, 400, pb.ResultCode_RESULT_CODE_MALFORMED,
		},
		"not UTF-8": {search, "carl-token", "{\"query\":\"\xff\"}", 400, pb.ResultCode_RESULT_CODE_MALFORMED},
		"unknown service": {
			search, "carl-token", `{"service":"x","class":"search"}`, 404, pb.ResultCode_RESULT_CODE_UNKNOWN_SERVICE,
		},
		"unknown class": {
			search, "carl-token", `{"service":"desk","class":"x"}`, 404, pb.ResultCode_RESULT_CODE_UNKNOWN_CLASS,
		},
		"class not allowed": {
			search, "carl-token", `{"service":"desk","class":"other"}`, 403, pb.ResultCode_RESULT_CODE_CLASS_NOT_ALLOWED,
		},
		"wrong kind of search": {
			search, "carl-token", `{"service":"desk","class":"book"}`, 400, pb.ResultCode_RESULT_CODE_WRONG_KIND,
		},
		"wrong kind of submit": {
			submit, "carl-token", `{"service":"desk","class":"search"}`, 400, pb.ResultCode_RESULT_CODE_WRONG_KIND,
		},
		"expired deadline": {
			search, "carl-token", `{"service":"desk","class":"search","time_left":"0s"}`,
			400, pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED,
		},
		"expired deadline of submit": {
			submit, "carl-token", `{"service":"desk","class":"book","time_left":"-1s"}`,
			400, pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			status, code := f.post(t, c.path, c.credential, c.body)
			is.Equal(code, c.code)
			is.Equal(status, c.status)
			f.checkRecorded(t, c.code)
			is.Equal(f.forwarded.Load(), int32(0)) // nothing was sent
		})
	}
}

// checkRecorded checks the log line and the counter of a rejection.
func (f *fixture) checkRecorded(t *testing.T, code pb.ResultCode) {
	t.Helper()
	is := is.New(t)
	is.True(strings.Contains(f.log.String(), fmt.Sprintf(`msg="request rejected" code=%d `, code)))
	var text bytes.Buffer
	f.metrics.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), fmt.Sprintf(`answers_total{call="reject",code="%s"} 1`, code)))
}

func TestServerLogsEveryWrongField(t *testing.T) {
	f := newFixture(t)
	f.post(t, "/v1/search", "carl-token", `{"service":7,"speed":1}`)
	is.New(t).True(strings.Contains(f.log.String(), "service: must be a text"))
	is.New(t).True(strings.Contains(f.log.String(), "speed: unknown field"))
}

// TestServerReturnsCodeOfSubmitterError checks that the result code of an error of the submitter reaches the caller
// with the HTTP status that belongs to it.
func TestServerReturnsCodeOfSubmitterError(t *testing.T) {
	cases := map[pb.ResultCode]int{
		pb.ResultCode_RESULT_CODE_UNKNOWN_PARTITION:    400,
		pb.ResultCode_RESULT_CODE_DUPLICATE_REQUEST_ID: 409,
		pb.ResultCode_RESULT_CODE_INTERNAL:             500,
	}
	for code, want := range cases {
		t.Run(code.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.submit = func(*pb.SubmitRequest) (*pb.SubmitAnswer, error) { return nil, coder.New(code, "no") }
			status, got := f.post(t, "/v1/submit", "carl-token", `{"service":"desk","class":"book"}`)
			is.Equal(got, code)
			is.Equal(status, want)
			f.checkRecorded(t, code)
		})
	}
}

func TestServerRejectsTruncatedBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer carl-token\r\n"+
		"Content-Length: 500\r\n\r\n{\"service\":")
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	text, _ := io.ReadAll(c)
	is.True(strings.Contains(string(text), "RESULT_CODE_MALFORMED"))
	is.Equal(f.forwarded.Load(), int32(0))
}

// TestServerSendsNothingOfRefusedRequest guards against a request that is answered as refused although it was
// passed on, and against refusals that count as misses.
func TestServerSendsNothingOfRefusedRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.refusal = coder.New(pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN, "refused")
	for path, class := range map[string]string{"/v1/search": "search", "/v1/submit": "book"} {
		status, code := f.post(t, path, "carl-token", `{"service":"desk","class":"`+class+`"}`)
		is.Equal(code, pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN)
		is.Equal(status, 429)
	}
	is.Equal(f.forwarded.Load(), int32(0))
	is.Equal(f.tallier.Demand("desk", "search").Requests, uint32(0)) // a refusal does not count as a miss
}

// TestServerReportsExpiryOfWaitingRequest guards against a request that waits for a slot until its time is over
// and then runs anyway, or is refused at once instead of waiting. All slots are held by other requests.
func TestServerReportsExpiryOfWaitingRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	hold := make(chan struct{})
	f.search = func(*pb.SearchRequest) (*pb.SearchAnswer, error) {
		<-hold
		return &pb.SearchAnswer{Code: pb.ResultCode_RESULT_CODE_OK}, nil
	}
	done := make(chan pb.ResultCode, maxInProgress)
	for range maxInProgress {
		go func() {
			_, code := f.post(t, "/v1/search", "carl-token", `{"service":"desk","class":"search"}`)
			done <- code
		}()
	}
	for f.tallier.Demand("desk", "search").InProgress < maxInProgress {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	_, code := f.post(t, "/v1/submit", "carl-token", `{"service":"desk","class":"book"}`)
	is.Equal(code, pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED) // and did not run
	is.True(time.Since(start) >= time.Second)                  // answered only when its time was over, not refused at once
	close(hold)
	for range maxInProgress {
		is.Equal(<-done, pb.ResultCode_RESULT_CODE_OK)
	}
	is.Equal(f.forwarded.Load(), int32(maxInProgress))
}
