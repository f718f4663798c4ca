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

// Guards against a request that is passed on after its connection was closed as idle, because it was read before.
func TestDrainServesPipelinedRequestBehindAnswerThatIsBeingWritten(t *testing.T) {
	is := is.New(t)
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: quartz.NewMock(t)})
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	first, proceed := make(chan struct{}), make(chan struct{})
	s := &http.Server{ReadHeaderTimeout: time.Second, ConnState: r.Observe, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				_ = http.NewResponseController(w).Flush()
				close(first)
				<-proceed
			}
		})}
	go func() { _ = s.Serve(r.Listener(l)) }()
	defer func() { _ = s.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-first
	r.Drain()
	close(proceed)
	answers := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	}
	_, err = answers.ReadByte()
	is.Equal(err, io.EOF)
}
