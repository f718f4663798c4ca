package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const (
	endlessDeadline = 2 * time.Second
	// endlessMaxAnswerBytes is the largest accepted body in the tests of endless answers.
	endlessMaxAnswerBytes = 64 << 10
	// endlessReadLimit is more than the exchanger and the sockets' buffers of both ends may take of an endless answer.
	endlessReadLimit = 16 << 20
	// endlessAllocationLimit bounds what one call may allocate for an endless answer.
	endlessAllocationLimit = 4 << 20
)

// endlessLeaf answers each request with a head and then repeats a text until the connection ends.
type endlessLeaf struct {
	address string
	// sent counts the bytes that the connections have taken.
	sent atomic.Int64
	// ended counts the connections that the caller has closed.
	ended atomic.Int64
}

func newEndlessLeaf(t *testing.T, head, repeated string) *endlessLeaf {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	l := &endlessLeaf{address: listener.Addr().String()}
	block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, head)
				for err == nil {
					_, err = c.Write(block)
					l.sent.Add(int64(len(block)))
				}
				l.ended.Add(1)
			}()
		}
	}()
	return l
}

// Guards against a leaf that sends bytes without end. Before reads were bounded, a header line without end grew the
// process by 533 MB in 0.8 s, and a chunked body without end held the call until its deadline although its limit had
// been passed at once, because the rest was read when the body was closed.
func TestAnswerWithoutEndFailsAtOnce(t *testing.T) {
	for _, c := range []struct{ name, head, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"informational answer with header lines", "HTTP/1.1 103 Early Hints\r\n", "X: y\r\n"},
		{
			"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"400\r\n" + strings.Repeat("x", 1024) + "\r\n",
		},
		{"chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: y\r\n"},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"body with an absurd length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
		{"no answer", "", "x"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newEndlessLeaf(t, c.head, c.repeated)
			var excessive atomic.Int64
			e := exchanger.New(exchanger.Config{
				Address: l.address, HeaderNames: names, MaxAnswerBytes: endlessMaxAnswerBytes,
				OnExcessBytes: func() { excessive.Add(1) },
			})
			t.Cleanup(e.Close)
			r := request("r1")
			startedAt := time.Now()
			r.Deadline = startedAt.Add(endlessDeadline)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := e.Do(t.Context(), t.Context(), r, func() bool { return true })
			took := time.Since(startedAt)
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer))
			is.True(took < endlessDeadline/2) // well before the deadline
			is.True(after.TotalAlloc-before.TotalAlloc < endlessAllocationLimit)
			waitUntil(t, func() bool { return l.ended.Load() == 1 }) // the connection is closed
			is.True(l.sent.Load() < endlessReadLimit)
			if errors.Is(err, exchanger.ErrTooLong) {
				is.Equal(excessive.Load(), int64(1)) // the leaf is named to operators
			}
		})
	}
}

// Many leaves that send large answers at once must not take more memory than the node has for them: the answers are
// received one after another, and all arrive.
func TestLargeAnswersShareBoundedMemory(t *testing.T) {
	is := is.New(t)
	const (
		answerBytes = 1 << 20
		calls       = 8
	)
	body := strings.Repeat("x", answerBytes)
	chunked := "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + body + "\r\n0\r\n\r\n"
	stated := "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 1048576\r\n\r\n" + body
	room := reserver.New(reserver.Config{Bytes: answerBytes})
	var leaves []*exchanger.Exchanger
	for i := range calls {
		l, _ := newLeaf(t, []string{chunked, stated}[i%2])
		e := exchanger.New(exchanger.Config{
			Address: l.listener.Addr().String(), HeaderNames: names, MaxAnswerBytes: answerBytes, Memory: room,
		})
		t.Cleanup(e.Close)
		leaves = append(leaves, e)
	}
	var running sync.WaitGroup
	var received atomic.Int64
	for _, e := range leaves {
		running.Go(func() {
			r := request("r")
			r.Deadline = time.Now().Add(20 * time.Second)
			if reply, err := e.Do(t.Context(), t.Context(), r, func() bool { return true }); err == nil {
				received.Add(int64(len(reply.Body)))
				reply.Release()
			}
		})
	}
	running.Wait()
	is.Equal(received.Load(), int64(calls*answerBytes))
	is.True(room.TryReserve(answerBytes) != nil) // all room was given back
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := leaves[0].Do(ctx, ctx, request("r"), func() bool { return true })
	is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer)) // no room until the call is cancelled
}
