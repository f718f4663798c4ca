package exchanger_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const fuzzMaxAnswerBytes = 1 << 10

// FuzzAnswer sends arbitrary bytes as the answer to a request and compares the result with that of the standard
// library's parser on the same bytes: an answer is taken only if it is whole, belongs to the request, and is within the
// limit.
func FuzzAnswer(f *testing.F) {
	whole := strings.ReplaceAll(okAnswer, "{id}", "r1")
	for _, seed := range []string{
		whole, whole + "x", whole + whole, strings.Replace(whole, "Id: r1", "Id: r2", 1) + whole,
		strings.Replace(whole, "4", "5", 1), strings.Replace(whole, "4", "-1", 1), strings.Replace(whole, "4", "99999", 1),
		strings.Replace(whole, "200", "204", 1), strings.Replace(whole, "HTTP/1.1", "HTTP/1.0", 1),
		"HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "HTTP/1.1 200 OK\r\n\r\nbody", "\r\n\r\n", "",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = listener.Close() }()
		go serveBytes(listener, sent)
		e := exchanger.New(exchanger.Config{
			Address: listener.Addr().String(), HeaderNames: names, MaxAnswerBytes: fuzzMaxAnswerBytes,
		})
		defer e.Close()
		r := request("r1")
		r.Deadline = time.Now().Add(time.Second)
		reply, err := e.Do(t.Context(), t.Context(), r, func() bool { return true })
		if err != nil {
			return // also if a long run has used up the ports of the machine
		}
		is.True(len(reply.Body) <= fuzzMaxAnswerBytes)
		want, wantBody := referenceAnswer(sent)
		is.True(want != nil) // the bytes hold an answer to this request
		is.Equal(reply.Status, want.StatusCode)
		is.True(bytes.Equal(reply.Body, wantBody))
	})
}

// serveBytes answers the first request of each connection with the bytes and closes the connection.
func serveBytes(listener net.Listener, sent []byte) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write(sent)
		}
		_ = c.Close()
	}
}

// referenceAnswer returns the first final answer in the bytes that does not belong to another request, and its whole
// body, or nil.
func referenceAnswer(sent []byte) (*http.Response, []byte) {
	reader := bufio.NewReader(bytes.NewReader(sent))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil, nil
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return nil, nil
		}
		informational := response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
		if echoed := response.Header.Get("Id"); !informational && (echoed == "" || echoed == "r1") {
			return response, body
		}
	}
}
