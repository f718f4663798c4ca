package sender_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/fake/leaffaker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const serviceTime = 20 * time.Second

// newLeafAndSender returns a leaf with a mean service time of 20 s, and a sender that calls it.
func newLeafAndSender(t *testing.T, wrap func(http.Handler) http.Handler) (*leaffaker.FakeLeaf, *sender.Sender) {
	leaf := leaffaker.New(leaffaker.Config{
		Leaf:           &pb.Leaf{Name: "leaf-0", Slots: 6, ColdSlots: 6, Partitions: []uint32{0}},
		PartitionCount: 1, Behaviour: &pb.LeafBehaviour{ServiceTime: durationpb.New(serviceTime)},
		Clock: quartz.NewReal(), Seed: 1,
	})
	server := httptest.NewServer(wrap(leaf.Handler()))
	t.Cleanup(server.Close)
	s := sender.New(sender.Config{Address: strings.TrimPrefix(server.URL, "http://"), Connections: 10})
	t.Cleanup(s.Close)
	return leaf, s
}

// sendAndCancel makes count calls and cancels each one while it runs at the leaf.
func sendAndCancel(t *testing.T, leaf *leaffaker.FakeLeaf, s *sender.Sender, count int) {
	is := is.New(t)
	for i := range count {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := s.Send(ctx, sender.Call{
				Path: sender.PathSearch, RequestID: fmt.Sprint(i), Snapshot: 1, Attempt: 1, TimeLeft: serviceTime,
			})
			done <- err
		}()
		for leaf.Counters().GetInFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		is.Equal(coder.CodeOf(<-done), pb.ResultCode_RESULT_CODE_CANCELLED)
		for leaf.Counters().GetInFlight() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(leaf.Counters().GetCancelled(), uint64(count))
}

// TestCancelKeepsConnection guards against a cancelled call that closes its connection: the leaf then pays for a
// new connection with every cancelled call.
func TestCancelKeepsConnection(t *testing.T) {
	is := is.New(t)
	leaf, s := newLeafAndSender(t, func(h http.Handler) http.Handler { return h })
	sendAndCancel(t, leaf, s, 20)
	t.Logf("calls=20 connections_opened=%d", s.ConnectionsOpened())
	is.True(s.ConnectionsOpened() <= 10) // without the cancel request each call would need a new connection
}

// TestCancelClosesConnectionWithoutCancelPath guards against a call that keeps running at a leaf which does not
// support the cancel request.
func TestCancelClosesConnectionWithoutCancelPath(t *testing.T) {
	is := is.New(t)
	leaf, s := newLeafAndSender(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == sender.PathCancel {
				http.NotFound(w, r)
				return
			}
			h.ServeHTTP(w, r)
		})
	})
	sendAndCancel(t, leaf, s, 20)
	is.True(s.ConnectionsOpened() >= 20)
}

// TestSendReturnsAtDeadlineWhenLeafHangs guards against a call that stays in flight when the leaf does not end it
// at its deadline.
func TestSendReturnsAtDeadlineWhenLeafHangs(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	s := sender.New(sender.Config{Address: strings.TrimPrefix(server.URL, "http://"), Connections: 2})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Send(ctx, sender.Call{Path: sender.PathSearch, RequestID: "r", TimeLeft: time.Second})
	is.Equal(coder.CodeOf(err), pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT)
}

func TestWarmOpensConnections(t *testing.T) {
	is := is.New(t)
	_, s := newLeafAndSender(t, func(h http.Handler) http.Handler { return h })
	s.OpenConnections(t.Context(), 4, time.Millisecond)
	is.True(s.ConnectionsOpened() >= 3) // an early answer may free a connection for another request of the same round
	is.True(s.ConnectionsOpened() <= 10)
}
