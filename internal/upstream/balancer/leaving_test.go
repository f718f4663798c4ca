package balancer_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// startLeavingLeaf returns the address of a leaf whose answers say that it is leaving.
func startLeavingLeaf(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a leaf that is called again after it has said in an answer that it is leaving, because an entry from
// before comes back, and against one that is not called after it has been started again.
func TestLeavingLeafIsNotPickedUntilStartedAgain(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		after func(b *balancer.Balancer, e balancer.Entry)
		want  string
	}{
		{"same entry", func(b *balancer.Balancer, e balancer.Entry) { b.Put(e, now) }, ""},
		{"changed entry that is ready", func(b *balancer.Balancer, e balancer.Entry) {
			e.Slots++
			b.Put(e, now)
		}, ""},
		{"entry that vanishes and comes back", func(b *balancer.Balancer, e balancer.Entry) {
			b.Remove(e.ID, "test")
			b.Put(e, now)
		}, ""},
		{"evacuation that ends", func(b *balancer.Balancer, e balancer.Entry) {
			b.SetEvacuatedZones(map[string]bool{e.Zone: true})
			b.SetEvacuatedZones(nil)
		}, ""},
		{"next incarnation", func(b *balancer.Balancer, e balancer.Entry) {
			e.Incarnation++
			b.Put(e, now)
		}, "a"},
		{"next incarnation, then the former entry", func(b *balancer.Balancer, e balancer.Entry) {
			next := e
			next.Incarnation++
			b.Put(next, now)
			b.Put(e, now)
		}, ""},
		{"another leaf at the address", func(b *balancer.Balancer, e balancer.Entry) {
			b.Remove(e.ID, "test")
			e.ID = "b"
			b.Put(e, now)
		}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := balancer.New(balancer.Config{
				Zone: "z1", MaxAnswerBytes: 1 << 10, ColdShare: func(string) float64 { return 1 },
				HeaderNames: exchanger.HeaderNames{
					RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign", NotRun: "Not-Run", Leaving: "Leaving",
				},
				Random: func() float64 { return 0 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			e := entry("a", "z1")
			e.Address, e.Incarnation = startLeavingLeaf(t), 7
			b.Put(e, now)
			l, _ := b.Pick("s", call(), noneTried, now)
			_, err := l.Exchanger().Do(t.Context(), t.Context(), exchanger.Request{
				Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n"), Deadline: time.Now().Add(time.Minute),
			}, func() bool { return true })
			is.NoErr(err)
			is.Equal(pick(b, now), "")
			is.Equal(b.Usable("s"), 0)
			c.after(b, e)
			is.Equal(pick(b, now), c.want)
		})
	}
}
