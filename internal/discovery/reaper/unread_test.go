package reaper_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/reaper"
)

// Guards against an answer that is cut off because its connection is closed while the next request is unread.
func TestAnswerIsWholeIfNextRequestIsUnreadWhenConnectionIsClosed(t *testing.T) {
	const answerBytes = 1 << 20
	is := is.New(t)
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: quartz.NewMock(t)})
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	first, proceed := make(chan struct{}), make(chan struct{})
	s := &http.Server{ReadHeaderTimeout: time.Second, ConnState: r.Observe, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) {
			close(first)
			<-proceed
			w.Header().Set("Connection", "close")
			_, _ = w.Write(make([]byte, answerBytes))
		})}
	go func() { _ = s.Serve(r.Listener(l)) }()
	defer func() { _ = s.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-first
	_, err = io.WriteString(caller, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the bytes have arrived
	close(proceed)
	time.Sleep(50 * time.Millisecond) // the caller reads slowly
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(n, int64(answerBytes))
}
