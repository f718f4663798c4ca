package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// panickingGatherer panics with each request.
type panickingGatherer struct{}

func (panickingGatherer) Run(context.Context, gatherer.Request) gatherer.Result { panic("fault") }

// blockedGatherer holds each request until it is released.
type blockedGatherer struct{ started, release chan struct{} }

func (b blockedGatherer) Run(context.Context, gatherer.Request) gatherer.Result {
	b.started <- struct{}{}
	<-b.release
	return gatherer.Result{Outcome: gatherer.OutcomeTimeout}
}

// newServerWith returns the server of a fixture with another gatherer.
func newServerWith(f *fixture, g server.Gatherer, onPanic func()) *server.Server {
	c := f.serverConfig()
	c.Gatherer, c.OnPanic = g, onPanic
	return server.New(c)
}

func newRequest(path string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	return r
}

// Guards against a panic that closes the connection of a request without an answer.
func TestRequestWhoseHandlingPanicsIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	panics := 0
	s := newServerWith(f, panickingGatherer{}, func() { panics++ })
	w := httptest.NewRecorder()
	s.ServeHTTP(w, newRequest("/one/x"))
	is.Equal(w.Code, http.StatusBadGateway) // it may have run
	is.Equal(w.Header().Get("Id"), "r1")
	is.Equal(panics, 1)
	is.Equal(s.InProgress(), int64(0))
	is.Equal(len(s.RequestsInProgress(9)), 0)
	for _, text := range []string{"request_id=r1", "route=one", "stage=leaves", "panic=fault", "panic_test.go"} {
		is.True(strings.Contains(f.log.String(), text))
	}
}

// Guards against an answer that is lost because its outcome can't be recorded.
func TestAnswerSurvivesPanicAfterIt(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "hello", "s1")}}
	c := f.serverConfig()
	c.Observe = func(string, string, time.Duration, gatherer.Result) { panic("fault") }
	callers := httptest.NewServer(server.New(c))
	defer callers.Close()
	for path, status := range map[string]int{"/one/x": 200, "/none/x": 404} {
		r, err := http.NewRequest(http.MethodGet, callers.URL+path, nil)
		is.NoErr(err)
		r.Host = "h"
		r.Header.Set("Id", "r1")
		w, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.Equal(w.StatusCode, status)
		is.NoErr(w.Body.Close())
	}
}

// Guards against an answer that broke off and looks complete.
func TestPanicDuringAnswerAbortsIt(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "hello", "s1")}}
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	f.server.ServeHTTP(panickingWriter{httptest.NewRecorder()}, newRequest("/one/x"))
}

// panickingWriter panics when the body is written.
type panickingWriter struct{ *httptest.ResponseRecorder }

func (panickingWriter) Write([]byte) (int, error) { panic("fault") }

// Guards against the end of a process of which nobody can tell which requests it held.
func TestRequestsInProgressAreNamedOldestFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	b := blockedGatherer{started: make(chan struct{}), release: make(chan struct{})}
	s := newServerWith(f, b, nil)
	for _, path := range []string{"/many/x", "/one/x"} {
		go s.ServeHTTP(httptest.NewRecorder(), newRequest(path))
		<-b.started
		time.Sleep(time.Millisecond)
	}
	r := s.RequestsInProgress(9)
	is.Equal(len(r), 2)
	is.Equal([]string{r[0].Route, r[1].Route}, []string{"many", "one"})
	is.Equal([]string{r[0].ID, r[0].Stage}, []string{"r1", "leaves"})
	is.Equal(len(s.RequestsInProgress(1)), 1)
	close(b.release)
	for s.InProgress() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(s.RequestsInProgress(9)), 0)
}
