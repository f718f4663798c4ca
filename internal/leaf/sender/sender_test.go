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

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
	"github.com/magnoliastep/magnoliastep/internal/stand/responder"
)

const slow = 20 * time.Second

// newPair returns a leaf whose calls take 20 s in the mean, and a sender to it.
func newPair(t *testing.T, wrap func(http.Handler) http.Handler) (*responder.Responder, *sender.Sender) {
	leaf := responder.New(responder.Config{
		Leaf:           &pb.Leaf{Name: "leaf-0", Slots: 6, ColdSlots: 6, Partitions: []uint32{0}},
		PartitionCount: 1, Behaviour: &pb.LeafBehaviour{ServiceTime: durationpb.New(slow)},
		Clock: quartz.NewReal(), Seed: 1,
	})
	server := httptest.NewServer(wrap(leaf.Handler()))
	t.Cleanup(server.Close)
	s := sender.New(sender.Config{Address: strings.TrimPrefix(server.URL, "http://"), Connections: 10})
	t.Cleanup(s.Close)
	return leaf, s
}

func cancelMany(t *testing.T, leaf *responder.Responder, s *sender.Sender, count int) {
	is := is.New(t)
	for i := range count {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := s.Send(ctx, sender.Call{
				Path: sender.PathSearch, RequestID: fmt.Sprint(i), Snapshot: 1, Attempt: 1, TimeLeft: slow,
			})
			done <- err
		}()
		for leaf.Counters().GetInFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		is.Equal(coder.Of(<-done), pb.ResultCode_RESULT_CODE_CANCELLED)
		for leaf.Counters().GetInFlight() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(leaf.Counters().GetCancelled(), uint64(count))
}

func TestCancellationKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	leaf, s := newPair(t, func(h http.Handler) http.Handler { return h })
	cancelMany(t, leaf, s, 20)
	t.Logf("calls=20 connections_opened=%d", s.Opened())
	is.True(s.Opened() <= 10) // without the request it is one for each call
}

func TestALeafWithoutCancelLosesTheConnection(t *testing.T) {
	is := is.New(t)
	leaf, s := newPair(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == sender.PathCancel {
				http.NotFound(w, r)
				return
			}
			h.ServeHTTP(w, r)
		})
	})
	cancelMany(t, leaf, s, 20)
	is.True(s.Opened() >= 20)
}

func TestAHangingLeafLosesTheConnection(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	s := sender.New(sender.Config{Address: strings.TrimPrefix(server.URL, "http://"), Connections: 2})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Send(ctx, sender.Call{Path: sender.PathSearch, RequestID: "r", TimeLeft: time.Second})
	is.Equal(coder.Of(err), pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT)
}

func TestWarmOpensConnectionsAhead(t *testing.T) {
	is := is.New(t)
	_, s := newPair(t, func(h http.Handler) http.Handler { return h })
	s.Warm(t.Context(), 4, time.Millisecond)
	is.True(s.Opened() >= 3) // a round may find a connection free that it did not expect
	is.True(s.Opened() <= 10)
}
