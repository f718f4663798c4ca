package exchanger_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// Guards against bytes that are no answer by the protocol and reach the caller as one, or count as a promise that the
// request has not run: a status outside of 200 to 599, a switch of protocols that nobody asked for, another major
// version. The connection must not be used again.
func TestWhatIsNoAnswerIsAFailedCall(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Zero", "HTTP/1.1 001 One", "HTTP/1.1 099 Low", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 0200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 High", "HTTP/1.1 700 High", "HTTP/1.1 999 High", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK",
		"HTTP/9.9 200 OK", "HTTP/2.0 503 Service Unavailable", "HTTP/9.9 100 Continue\r\n\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 High", "http/1.1 200 OK", "HTTP/11 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			l, e := newLeaf(t, line+"\r\nId: {id}\r\nSign: s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbody", okAnswer)
			reply, err := do(t, e, "r1")
			is.True(reply == nil)
			is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer)) // it may have run
			is.True(errors.Is(err, exchanger.ErrMalformed))
			is.True(!errors.Is(err, exchanger.ErrNotCallable))
			is.True(e.LastResort(time.Now()))
			_, err = do(t, e, "r2")
			is.NoErr(err)
			is.Equal(l.connections.Load(), int64(2))
		})
	}
}

// Guards against answers that are refused although the protocol allows them.
func TestUnusualAnswersAreAnswers(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.0 200 OK": 200, "HTTP/1.1 299 Odd": 299, "HTTP/1.1 599 Odd": 599, "HTTP/1.1 200": 200,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK": 200, "HTTP/1.2 200 OK": 200,
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			_, e := newLeaf(t, line+"\r\nId: {id}\r\nSign: s\r\nContent-Length: 4\r\n\r\nbody")
			reply, err := do(t, e, "r1")
			is.NoErr(err)
			is.Equal(reply.Status, status)
		})
	}
}
