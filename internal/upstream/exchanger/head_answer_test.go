package exchanger_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against waiting for the body whose length an answer to HEAD states, and which never comes.
func TestAnswerToHeadHasNoBodyWhateverLengthItStates(t *testing.T) {
	is := is.New(t)
	l, e := newLeaf(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s\r\nContent-Length: 99999999\r\n\r\n")
	for range 2 {
		r := request("r1")
		r.Method, r.Head = http.MethodHead, []byte("HEAD /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n")
		reply, err := e.Do(t.Context(), t.Context(), r, func() bool { return true })
		is.NoErr(err)
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(len(reply.Body), 0)
	}
	is.Equal(l.connections.Load(), int64(1)) // the connection is used again
}
