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

// Guards against a panic that closes a connection without a line that names the request.
func TestPanicOfRequestIsLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	panics := 0
	s := newServerWith(f, panickingGatherer{}, func() { panics++ })
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }() // net/http closes the connection
		s.ServeHTTP(httptest.NewRecorder(), newRequest("/one/x"))
	}()
	is.Equal(panics, 1)
	is.Equal(s.InProgress(), int64(0))
	is.Equal(len(s.RequestsInProgress(9)), 0)
	for _, text := range []string{"request_id=r1", "route=one", "stage=leaves", "panic=fault", "panic_test.go"} {
		is.True(strings.Contains(f.log.String(), text))
	}
}

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

