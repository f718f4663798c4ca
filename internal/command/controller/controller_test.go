package controller_test

import (
	"bytes"
	"context"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/command/controller"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1/magnoliastepv1connect"
)

type (
	// fakeNode accepts every change and counts them by change id.
	fakeNode struct {
		magnoliastepv1connect.UnimplementedOperatorServiceHandler

		mutex   sync.Mutex
		changes map[string]int
	}
)

func (f *fakeNode) DeleteObject(
	_ context.Context, r *connect.Request[pb.DeleteObjectRequest],
) (*connect.Response[pb.DeleteObjectResponse], error) {
	f.mutex.Lock()
	f.changes[r.Msg.GetChangeId()]++
	f.mutex.Unlock()
	outcome := &pb.ChangeOutcome{Code: pb.ResultCode_RESULT_CODE_OK, ChangeId: r.Msg.GetChangeId(), Version: 7}
	return connect.NewResponse(&pb.DeleteObjectResponse{Outcome: outcome}), nil
}

func (f *fakeNode) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(magnoliastepv1connect.NewOperatorServiceHandler(f))
	return mux
}

// run runs stepctl and returns its exit code, standard output and standard error.
func run(input string, arguments ...string) (code int, output, failures string) {
	var out, failed bytes.Buffer
	c := controller.New(controller.Config{
		Arguments: arguments, Input: strings.NewReader(input), Output: &out, Errors: &failed,
	})
	return c.Run(), out.String(), failed.String()
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.44.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

func addressOf(s *httptest.Server) string {
	return s.Listener.Addr().String()
}

// TestChangeGoesToNextNodeWhenFirstRefusesConnection fails when one stopped node keeps operators from making
// changes although another node is running.
func TestChangeGoesToNextNodeWhenFirstRefusesConnection(t *testing.T) {
	is := is.New(t)
	node := &fakeNode{changes: map[string]int{}}
	s := httptest.NewServer(node.handler())
	defer s.Close()
	code, output, failures := run("", "--node", unusedAddress(t), "--node", addressOf(s),
		"delete", "availability_zone/a", "--reason", "test")
	is.Equal(failures, "")
	is.Equal(code, 0)
	is.True(strings.Contains(output, "version 7"))
	is.Equal(len(node.changes), 1)
}

// TestChangeIsUnavailableWhenNoNodeListens fails when stepctl reports an unknown outcome although no node can
// have received the change.
func TestChangeIsUnavailableWhenNoNodeListens(t *testing.T) {
	is := is.New(t)
	code, _, failures := run("", "--node", unusedAddress(t), "delete", "availability_zone/a", "--reason", "test")
	is.Equal(code, 5) // exitUnavailable: nothing was sent, so nothing was changed
	is.True(strings.HasPrefix(failures, "stepctl: "))
}

// TestChangeOutcomeIsUnknownWhenAnswerIsLost fails when stepctl reports a change as not made after a node closed
// the connection without an answer; the node may have made it.
func TestChangeOutcomeIsUnknownWhenAnswerIsLost(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer s.Close()
	code, _, failures := run("", "--node", addressOf(s), "delete", "availability_zone/a", "--reason", "test")
	is.Equal(code, 4) // exitOutcomeUnknown
	is.True(strings.Contains(failures, "stepctl change availability_zone/a "))
}

// TestChangeIDIsReusedAtNextNode fails when a change whose answer was lost goes to the next node under a new
// change id; the two nodes would then make it twice.
func TestChangeIDIsReusedAtNextNode(t *testing.T) {
	is := is.New(t)
	node := &fakeNode{changes: map[string]int{}}
	s := httptest.NewServer(node.handler())
	defer s.Close()
	// The first node makes the change and loses its answer.
	lossy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		node.handler().ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	code, _, _ := run("", "--node", addressOf(lossy), "--node", addressOf(s),
		"delete", "availability_zone/a", "--reason", "test")
	is.Equal(code, 0)
	is.Equal(len(node.changes), 1) // both nodes received the same change id
}

func TestTLSWithCAFile(t *testing.T) {
	is := is.New(t)
	node := &fakeNode{changes: map[string]int{}}
	s := httptest.NewTLSServer(node.handler())
	defer s.Close()
	file := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
	is.NoErr(os.WriteFile(file, text, 0o600))
	code, _, failures := run("", "--node", addressOf(s), "--ca-file", file,
		"delete", "availability_zone/a", "--reason", "test")
	is.Equal(failures, "")
	is.Equal(code, 0)
	code, _, _ = run("", "--node", addressOf(s), "delete", "availability_zone/a", "--reason", "test")
	is.True(code != 0) // a TLS node does not accept plain text
}
