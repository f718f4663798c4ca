package exchanger_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const rejection = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// withRetryAfter returns an answer with a Retry-After field.
func withRetryAfter(answer, value string) string {
	return strings.Replace(answer, "Id: ", "Retry-After: "+value+"\r\nId: ", 1)
}

// Guards against requests to a leaf that has asked for a pause, and against values that ban a leaf for good.
func TestLeafThatAsksForPauseGetsNoRequestUntilItsEnd(t *testing.T) {
	for _, c := range []struct {
		name, answer      string
		shortest, longest time.Duration
	}{
		{"seconds", withRetryAfter(rejection, "2"), 1900 * time.Millisecond, 2 * time.Second},
		{"fraction", withRetryAfter(rejection, "0.25"), 150 * time.Millisecond, 250 * time.Millisecond},
		{
			"without the promise not to have run", withRetryAfter(strings.Replace(rejection, "Not-Run: 1\r\n", "", 1), "2"),
			1900 * time.Millisecond, 2 * time.Second,
		},
		{"huge", withRetryAfter(rejection, "1e300"), 59 * time.Second, time.Minute},
		{"infinite", withRetryAfter(rejection, "Inf"), 59 * time.Second, time.Minute},
		{"more digits than a number has", withRetryAfter(rejection, strings.Repeat("9", 400)), 0, 0},
		{"negative", withRetryAfter(rejection, "-3"), 0, 0},
		{"not a number", withRetryAfter(rejection, "NaN"), 0, 0},
		{"a date", withRetryAfter(rejection, "Fri, 31 Dec 2032 23:59:59 GMT"), 0, 0},
		{"empty", withRetryAfter(rejection, ""), 0, 0},
		{"words", withRetryAfter(rejection, "soon"), 0, 0},
		{"on a success", withRetryAfter(okAnswer, "2"), 0, 0},
		{"on a failure", withRetryAfter(strings.Replace(okAnswer, "200 OK", "500 Broken", 1), "2"), 0, 0},
		{"of another leaf", withRetryAfter(strings.Replace(rejection, "503", "421", 1), "2"), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, e := newLeaf(t, c.answer, okAnswer)
			_, err := do(t, e, "r1")
			is.NoErr(err)
			left := time.Until(e.PausedUntil())
			is.True(left <= c.longest)
			is.True(c.shortest == 0 || left >= c.shortest)
			_, err = do(t, e, "r2")
			is.Equal(errors.Is(err, exchanger.ErrNotCallable), c.shortest > 0)
			if c.shortest > 0 {
				is.Equal(l.requests.Load(), int64(1))
			}
		})
	}
	is := is.New(t)
	l, e := newLeaf(t, withRetryAfter(rejection, "0.05"), okAnswer)
	_, err := do(t, e, "r1")
	is.NoErr(err)
	time.Sleep(60 * time.Millisecond)
	_, err = do(t, e, "r2") // the pause is over
	is.NoErr(err)
	is.Equal(l.requests.Load(), int64(2))
}

// Guards against a request that waits for a leaf and is sent to it after the leaf has asked for a pause.
func TestWaitEndsWhenLeafAsksForPause(t *testing.T) {
	is := is.New(t)
	l, e, gate := newGatedLeaf(t)
	l.scripts = []string{withRetryAfter(rejection, "5")}
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := do(t, e, "first")
		first <- err
	}()
	waitUntil(t, func() bool { return l.requests.Load() == 1 })
	go func() {
		_, err := do(t, e, "second")
		second <- err
	}()
	waitUntil(t, func() bool { return e.Waiting() == 1 })
	gate <- struct{}{}
	is.NoErr(<-first)
	is.True(errors.Is(<-second, exchanger.ErrNotCallable))
	is.Equal(l.requests.Load(), int64(1))
}
