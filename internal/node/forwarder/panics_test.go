package forwarder

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// metricsText returns the metrics of the node.
func (s *servingNode) metricsText() string {
	var text bytes.Buffer
	s.config.Metrics.WritePrometheus(&text)
	return text.String()
}

// Guards against a document or frame of others that ends the process with all its requests.
func TestPanicOverDocumentOrFrameEndsNothingElse(t *testing.T) {
	is := is.New(t)
	s := newServingNode(t, nil) // without a decoder, so that decoding panics
	document := replicator.Document{Kind: s.config.Kinds.Leaves, Name: "odd", Revision: 1}
	s.documentChanged(document, time.Now())
	document.Kind = s.config.Kinds.Configuration
	s.tryConfiguration(document, time.Now())
	s.HandleFrame(t.Context(), &pb.Frame{Body: &pb.Frame_Probe{Probe: &pb.Probe{}}}, func(*pb.Frame) { panic("fault") })
	is.True(s.isolateFrame(func() { panic("fault") }) != nil)
	is.True(strings.Contains(s.metricsText(), `stepfront_panics_total{work="document"} 2`))
	is.True(strings.Contains(s.metricsText(), `stepfront_panics_total{work="frame"} 2`))
	is.Equal(s.matcher.Load().Version(), int64(1)) // the last configuration stays in force
}

// Guards against frames of other nodes, malformed or of another version, whose handling panics.
func TestOddFramesArePanicFree(t *testing.T) {
	const frames = 4000
	s := newServingNode(t, nil)
	s.config.Logger = slog.New(slog.DiscardHandler)
	random := rand.New(rand.NewPCG(1, 2))
	member := &pb.Member{Name: "n2", AvailabilityZone: "z1", PeerAddress: "127.0.0.1:9", Incarnation: 1}
	position := &pb.DocumentPosition{Kind: "c", Revision: 4}
	originals := []*pb.Frame{
		{Body: &pb.Frame_Probe{Probe: &pb.Probe{Rumours: []*pb.Member{member, s.selfMember()}, Everything: true}}},
		{Body: &pb.Frame_DocumentNotice{DocumentNotice: &pb.DocumentNotice{
			Positions: []*pb.DocumentPosition{position}, PeerAddress: "127.0.0.1:9",
		}}},
		{Body: &pb.Frame_DocumentPull{DocumentPull: &pb.DocumentPull{
			Positions: []*pb.DocumentPosition{position}, Chunks: true, Held: []*pb.HeldDocument{{Name: "x"}},
		}}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for i := range frames {
		data, err := proto.Marshal(originals[i%len(originals)])
		if err != nil {
			t.Fatal(err)
		}
		for range 1 + random.IntN(4) {
			data[random.IntN(len(data))] = byte(random.IntN(256))
		}
		f := &pb.Frame{}
		if proto.Unmarshal(data, f) != nil {
			continue
		}
		if _, notice := f.GetBody().(*pb.Frame_DocumentNotice); notice {
			go s.HandleFrame(ctx, f, func(*pb.Frame) {}) // it may wait for the sender
			continue
		}
		s.HandleFrame(ctx, f, func(*pb.Frame) {})
	}
	if text := s.metricsText(); !strings.Contains(text, `stepfront_panics_total{work="frame"} 0`) {
		t.Error("a frame made its handling panic")
	}
}

// Guards against a background loop whose panic cuts all requests in progress.
func TestPanicOfLoopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	s := newServingNode(t, nil)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(t.Context()) }()
	address := <-s.callers
	statuses := make(chan int, 1)
	go func() { statuses <- get(address, "r1") }()
	<-s.arrived
	s.startLoop(t.Context(), func(context.Context) { panic("fault") })
	is.True(strings.Contains((<-ended).Error(), "loop panicked: fault"))
	select {
	case status := <-statuses:
		is.Equal(status, 200)
	default:
		t.Error("the node ended with a request in progress")
	}
}
