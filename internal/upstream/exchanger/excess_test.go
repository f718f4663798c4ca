package exchanger_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const tooLongAnswer = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 99999999\r\n\r\n"

// Guards against a leaf that is asked again and again although each of its answers is too long.
func TestLeafWhoseAnswersAreTooLongIsLeftAloneLongerEachTime(t *testing.T) {
	is := is.New(t)
	l, e := newLeaf(t, tooLongAnswer)
	_, err := do(t, e, "r1")
	is.True(errors.Is(err, exchanger.ErrTooLong))
	is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer))
	is.True(e.LastResort(time.Now()))
	is.True(!e.LeftAlone(time.Now()))
	for _, pause := range []time.Duration{time.Second, 2 * time.Second} {
		_, err := do(t, e, "r1")
		is.True(errors.Is(err, exchanger.ErrTooLong))
		is.True(e.LeftAlone(time.Now()))
		_, err = do(t, e, "r2")
		is.True(errors.Is(err, exchanger.ErrNotCallable))
		left := time.Until(e.PausedUntil())
		is.True(left > pause-time.Second/2 && left <= pause)
		if pause == time.Second {
			time.Sleep(left)
		}
	}
	is.Equal(l.requests.Load(), int64(3))
}

// Guards against one request with an answer that is too long that keeps a leaf from other callers.
func TestGoodAnswerClearsLeafWhoseAnswerWasTooLong(t *testing.T) {
	is := is.New(t)
	_, e := newLeaf(t, tooLongAnswer, okAnswer)
	for range 20 {
		_, err := do(t, e, "long")
		is.True(errors.Is(err, exchanger.ErrTooLong))
		_, err = do(t, e, "short")
		is.NoErr(err)
		is.True(!e.LastResort(time.Now()))
	}
	_, e = newLeaf(t, tooLongAnswer)
	for range 20 { // further leaves that are asked by one such request
		r := request("long")
		r.AfterExcess = true
		_, err := e.Do(t.Context(), t.Context(), r, func() bool { return true })
		is.True(errors.Is(err, exchanger.ErrTooLong))
	}
	is.True(e.Callable())
	is.True(!e.LastResort(time.Now()))
}

// Guards against many requests at once to a leaf that may send without end.
func TestOneRequestAtATimeAfterAnswerThatIsTooLong(t *testing.T) {
	is := is.New(t)
	l, e, gate := newGatedLeaf(t)
	e.SetConnectionLimit(4)
	l.scripts = []string{tooLongAnswer, okAnswer, okAnswer, okAnswer}
	results := make(chan error, 4)
	send := func() {
		_, err := do(t, e, "r")
		results <- err
	}
	go send()
	waitUntil(t, func() bool { return l.requests.Load() == 1 })
	gate <- struct{}{}
	is.True(errors.Is(<-results, exchanger.ErrTooLong))
	for range 3 {
		go send()
	}
	waitUntil(t, func() bool { return l.requests.Load() == 2 && e.Waiting() == 2 })
	is.True(!e.HasCapacity())
	gate <- struct{}{}
	is.NoErr(<-results)
	waitUntil(t, func() bool { return l.requests.Load() == 4 }) // both at once after a good answer
	gate <- struct{}{}
	gate <- struct{}{}
	is.NoErr(<-results)
	is.NoErr(<-results)
}

// Guards against answers that are held, by requests that wait for other parts or by slow callers, without an account of
// their memory.
func TestAnswerHoldsItsMemoryUntilItIsReleased(t *testing.T) {
	const bodyBytes = 100 << 10
	body := strings.Repeat("x", bodyBytes)
	for _, c := range []struct {
		name, answer string
		held         int64
	}{
		{"stated length", "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 102400\r\n\r\n" + body, bodyBytes},
		{
			"chunks", "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + body +
				"\r\n0\r\n\r\n", 256 << 10,
		},
		{"until close", "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n" + body + "FIN", 256 << 10},
		{"small", "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 4\r\n\r\nbody", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, _ := newLeaf(t, c.answer)
			memory := reserver.New(reserver.Config{Bytes: 2 << 20})
			e := exchanger.New(exchanger.Config{
				Address: l.listener.Addr().String(), HeaderNames: names, MaxAnswerBytes: 1 << 20, Memory: memory,
			})
			t.Cleanup(e.Close)
			reply, err := do(t, e, "r1")
			is.NoErr(err)
			is.True(memory.Reserved() <= c.held)
			is.True(memory.Reserved() >= min(c.held, bodyBytes))
			reply.Replace(reply.Body[:4])
			is.Equal(memory.Reserved(), int64(0))
			reply, err = do(t, e, "r2")
			is.NoErr(err)
			reply.Release()
			reply.Release()
			is.Equal(memory.Reserved(), int64(0))
		})
	}
}

// Guards against memory that stays reserved for answers that are not given to anybody.
func TestMemoryOfAnswerThatFailsIsReleased(t *testing.T) {
	chunk := "19000\r\n" + strings.Repeat("x", 100<<10) + "\r\n"
	head := "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n"
	for name, answer := range map[string]string{
		"breaks off":         head + "\r\n" + chunk + "FIN",
		"too long":           head + "\r\n" + strings.Repeat(chunk, 20),
		"of another request": strings.Replace(head, "{id}", "other", 1) + "\r\n" + chunk + "0\r\n\r\nFIN",
		"encoded":            head + "Content-Encoding: gzip\r\n\r\n" + chunk + "0\r\n\r\n",
		"stated, breaks off": "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 102400\r\n\r\nhalfFIN",
		"malformed":          head + "\r\n" + chunk + "no chunk",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, _ := newLeaf(t, answer)
			memory := reserver.New(reserver.Config{Bytes: 2 << 20})
			e := exchanger.New(exchanger.Config{
				Address: l.listener.Addr().String(), HeaderNames: names, MaxAnswerBytes: 1 << 20, Memory: memory,
			})
			t.Cleanup(e.Close)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := e.Do(ctx, ctx, request("r1"), func() bool { return true })
			is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer))
			is.Equal(memory.Reserved(), int64(0))
		})
	}
}

// Guards against an answer to HEAD that counts as broken off because it has no body of the length that it states.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	l, e := newLeaf(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s\r\nContent-Length: 99999999\r\n\r\n")
	for i := range 2 {
		r := request("r1")
		r.Method, r.Head = http.MethodHead, []byte("HEAD / HTTP/1.1\r\nHost: h\r\nId: r1\r\n")
		reply, err := e.Do(t.Context(), t.Context(), r, func() bool { return true })
		is.NoErr(err)
		is.Equal(len(reply.Body), 0)
		is.Equal(l.requests.Load(), int64(i+1))
	}
	is.Equal(l.connections.Load(), int64(1)) // the connection is used again
}
