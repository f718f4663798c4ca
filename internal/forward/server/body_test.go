package server_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const largeBodyBytes = 40 << 10

// newLargeBodyFixture returns a fixture that takes large bodies, and the memory for them.
func newLargeBodyFixture(t *testing.T, memoryBytes int64) (*fixture, *reserver.Reserver, string) {
	f := newFixture()
	memory := reserver.New(reserver.Config{Bytes: memoryBytes})
	f.matcher = matcher.New(matcher.Config{
		Version: 1, Limits: matcher.Limits{MaxBodyBytes: largeBodyBytes},
		Routes: []matcher.Route{{
			Name: "one", Host: "h", PathPrefix: "/one/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
			Targets: []matcher.Target{{Service: "a", Weight: 1}},
		}},
	})
	c := f.serverConfig()
	c.Memory = memory
	f.server = server.New(c)
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "ok", "s1")}}
	s := httptest.NewServer(f.server)
	t.Cleanup(s.Close)
	return f, memory, s.Listener.Addr().String()
}

// Guards against callers whose bodies together take more memory than the node has.
func TestBodyWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f, memory, address := newLargeBodyFixture(t, largeBodyBytes)
	slow, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = io.WriteString(slow, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 40960\r\n\r\nhalf")
	is.NoErr(err)
	for deadline := time.Now().Add(time.Second); memory.Reserved() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(memory.Reserved(), int64(largeBodyBytes))
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	startedAt := time.Now()
	_, err = io.WriteString(c, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r2\r\nContent-Length: 40000\r\n\r\nhalf")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 503)
	is.True(response.Header.Get("Retry-After") != "")
	is.True(response.Close)
	is.True(time.Since(startedAt) < 500*time.Millisecond)
	is.Equal(len(f.requests), 0) // not run
	_, err = slow.Write(bytes.Repeat([]byte("x"), largeBodyBytes-4))
	is.NoErr(err)
	response, err = http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(len(f.requests[0].Message.Body), largeBodyBytes)
	for deadline := time.Now().Add(time.Second); memory.Reserved() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(memory.Reserved(), int64(0))
}

// Guards against small bodies without a stated length that are refused although there is memory for them.
func TestSmallBodiesWithoutLengthNeedNoMemory(t *testing.T) {
	is := is.New(t)
	_, memory, address := newLargeBodyFixture(t, largeBodyBytes)
	const head = "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	slow, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = slow.Close() }()
	_, err = io.WriteString(slow, head)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the bytes have been read
	is.Equal(memory.Reserved(), int64(0))
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, head+"0\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

func TestBodiesOfAllLengthsAreReadWholeOrRefused(t *testing.T) {
	for _, length := range []int{0, 1, 16 << 10, 16<<10 + 1, largeBodyBytes - 1, largeBodyBytes, largeBodyBytes + 1} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, chunked %v", length, chunked), func(t *testing.T) {
				is := is.New(t)
				f, memory, address := newLargeBodyFixture(t, 1<<20)
				body := strings.Repeat("b", length)
				var source io.Reader = strings.NewReader(body)
				if chunked {
					source = io.MultiReader(source) // hides the length
				}
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/one/x", source)
				is.NoErr(err)
				r.Host = "h"
				r.Header.Set("Id", "r1")
				response, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				if length > largeBodyBytes {
					is.Equal(response.StatusCode, 413)
					is.Equal(len(f.requests), 0)
				} else {
					is.Equal(response.StatusCode, 200)
					is.Equal(string(f.requests[0].Message.Body), body)
				}
				time.Sleep(20 * time.Millisecond)
				is.Equal(memory.Reserved(), int64(0))
			})
		}
	}
}

// Guards against callers that do not read their answers and hold the memory of these for good.
func TestCallerThatDoesNotReadLosesAnswer(t *testing.T) {
	const answerBytes = 64 << 20 // more than the buffers of the connection take
	t.Parallel()
	is := is.New(t)
	f, _, address := newLargeBodyFixture(t, 1<<20)
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, strings.Repeat("x", answerBytes), "s1")}}
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 100\r\n\r\n")
	is.NoErr(err)
	startedAt := time.Now()
	for f.server.InProgress() == 0 && time.Since(startedAt) < time.Second {
		time.Sleep(time.Millisecond)
	}
	for f.server.InProgress() > 0 && time.Since(startedAt) < 20*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.server.InProgress(), int64(0))
	took := time.Since(startedAt)
	is.True(took > 1500*time.Millisecond && took < 5*time.Second) // the answer is still delivered late
}

// Guards against the deadline of a large answer that ends a later answer on the same connection.
func TestConnectionIsUsableAfterLargeAnswer(t *testing.T) {
	for method, bodyBytes := range map[string]int{http.MethodHead: 0, http.MethodGet: 1 << 20} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, _, address := newLargeBodyFixture(t, 1<<20)
			f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, strings.Repeat("x", 1<<20), "s1")}}
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			_, err = io.WriteString(c, method+" /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 1\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(reader, &http.Request{Method: method})
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), bodyBytes)
			time.Sleep(2500 * time.Millisecond)
			_, err = io.WriteString(c, "GET /one/x HTTP/1.1\r\nHost: h\r\n\r\n") // without an ID
			is.NoErr(err)
			response, err = http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, 400)
		})
	}
}
