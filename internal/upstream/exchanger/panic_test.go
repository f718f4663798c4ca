package exchanger_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// Guards against a leaf that gets no request any more because a call that panicked keeps its only connection.
func TestCallThatPanicsGivesItsConnectionBack(t *testing.T) {
	for _, stage := range []string{"connect", "send"} {
		t.Run(stage, func(t *testing.T) {
			is := is.New(t)
			l, _ := newLeaf(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok")
			fault := true
			e := exchanger.New(exchanger.Config{
				Address: l.listener.Addr().String(), LeafID: "leaf-1", HeaderNames: names, MaxAnswerBytes: 1 << 16,
				OnConnect: func() {
					if fault && stage == "connect" {
						panic("fault")
					}
				},
			})
			t.Cleanup(e.Close)
			request := exchanger.Request{
				Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\nId: r1\r\n"), ID: "r1",
				Deadline: time.Now().Add(time.Second),
			}
			func() {
				defer func() { is.True(recover() != nil) }()
				_, _ = e.Do(t.Context(), t.Context(), request, func() bool { panic("fault") })
			}()
			fault = false
			is.True(e.HasCapacity())
			wait, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reply, err := e.Do(t.Context(), wait, request, func() bool { return true })
			is.NoErr(err)
			is.Equal(string(reply.Body), "ok")
		})
	}
}
