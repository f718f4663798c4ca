package assembler_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/fake/leaffaker"
	"github.com/magnoliastep/magnoliastep/internal/fake/platformfaker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/node/assembler"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/settings/filler"
)

const (
	benchmarkPartitions    = 71
	benchmarkNodes         = 3
	benchmarkNetworkPrefix = "127.46"
	benchmarkLeafSlots     = 16
)

// BenchmarkPath compares a search over 71 partitions through the tier, over loopback, with the same fan-out
// sent directly to the leaves. Leaves, nodes and caller share the process, so cpu-us/call counts all of them;
// the difference between the two results is the cost of the tier.
func BenchmarkPath(b *testing.B) {
	p := startBenchmarkTier(b)
	b.Run("direct", func(b *testing.B) { p.measure(b, p.fanOut) })
	b.Run("tier", func(b *testing.B) { p.measure(b, p.search) })
}

type benchmarkTier struct {
	service *pb.Service
	senders []*sender.Sender
	http    *http.Client
	url     string
}

// measure sends requests at the rate of one node's share, 190 a second, so that latency includes no queueing.
func (p *benchmarkTier) measure(b *testing.B, request func(b *testing.B)) {
	for range 50 {
		request(b)
	}
	b.ReportAllocs()
	latencies := make([]time.Duration, 0, b.N)
	before := processorTime(b)
	ticker := time.NewTicker(time.Second / 190)
	defer ticker.Stop()
	b.ResetTimer()
	for range b.N {
		<-ticker.C
		startedAt := time.Now()
		request(b)
		latencies = append(latencies, time.Since(startedAt))
	}
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*benchmarkPartitions), "cpu-us/call")
	b.ReportMetric(percentile(latencies, 0.5), "p50-us")
	b.ReportMetric(percentile(latencies, 0.99), "p99-us")
}

func (p *benchmarkTier) search(b *testing.B) {
	body := `{"service":"bench","class":"search","query":"q"}`
	request, _ := http.NewRequest(http.MethodPost, p.url+"/v1/search", bytes.NewBufferString(body))
	request.Header.Set("Authorization", "Bearer token")
	response, err := p.http.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	answer := &pb.SearchAnswer{}
	if err := protojson.Unmarshal(text, answer); err != nil || answer.GetCode() != pb.ResultCode_RESULT_CODE_OK {
		b.Fatalf("answer %v: %s", err, text)
	}
}

func (p *benchmarkTier) fanOut(b *testing.B) {
	var calls sync.WaitGroup
	for i, s := range p.senders {
		calls.Go(func() {
			_, err := s.Send(context.Background(), sender.Call{
				Path: sender.PathSearch, RequestID: "r", Snapshot: 1, Partition: uint32(i), Attempt: 1,
				TimeLeft: time.Second, Body: "q",
			})
			if err != nil {
				b.Error(err)
			}
		})
	}
	calls.Wait()
}

func startBenchmarkTier(b *testing.B) *benchmarkTier {
	p := &benchmarkTier{http: &http.Client{}, url: "http://" + benchmarkNetworkPrefix + ".1.1:7400", service: &pb.Service{
		Name: "bench", PartitionCount: benchmarkPartitions, ExtraCallBudget: 0.05,
	}}
	for i := range benchmarkPartitions {
		l := &pb.Leaf{
			Name: fmt.Sprintf("bench-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%benchmarkNodes+1),
			Address: fmt.Sprintf("%s.0.%d:8000", benchmarkNetworkPrefix, i+1), Slots: benchmarkLeafSlots,
			Connections: 2 * benchmarkLeafSlots, ColdSlots: benchmarkLeafSlots, Partitions: []uint32{uint32(i)},
		}
		p.service.Leaves = append(p.service.Leaves, l)
		r := leaffaker.New(leaffaker.Config{
			Leaf: l, PartitionCount: benchmarkPartitions, Clock: quartz.NewReal(), Seed: uint64(i),
			Behaviour: &pb.LeafBehaviour{ServiceTime: durationpb.New(time.Microsecond)},
		})
		if err := r.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(r.Stop)
		p.senders = append(p.senders, sender.New(sender.Config{Address: l.GetAddress(), Connections: benchmarkLeafSlots}))
	}
	p.startNodes(b)
	return p
}

func (p *benchmarkTier) startNodes(b *testing.B) {
	platform := platformfaker.New(platformfaker.Config{Clock: quartz.NewReal(), Seed: 1})
	server := &http.Server{Addr: benchmarkNetworkPrefix + ".9.1:7000", Handler: platform.Handler()}
	go func() { _ = server.ListenAndServe() }()
	b.Cleanup(func() { _ = server.Close() })
	store := client.New(client.Config{URLs: []string{"http://" + server.Addr}})
	time.Sleep(100 * time.Millisecond)
	p.storeObjects(b, store)
	ctx, cancel := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	b.Cleanup(func() { cancel(); nodes.Wait() })
	for i := range benchmarkNodes {
		n := assembler.New(assembler.Config{
			Settings: nodeSettings(i + 1), Store: store, Clock: quartz.NewReal(), Logger: slog.New(slog.DiscardHandler),
		})
		nodes.Go(func() { _ = n.Run(ctx) })
	}
	p.waitForFullAnswer(b)
}

// waitForFullAnswer waits until a search gets an answer with full coverage; by then the limits of the leaves are
// past their cold start.
func (p *benchmarkTier) waitForFullAnswer(b *testing.B) {
	body := `{"service":"bench","class":"search","query":"q"}`
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		request, _ := http.NewRequest(http.MethodPost, p.url+"/v1/search", bytes.NewBufferString(body))
		request.Header.Set("Authorization", "Bearer token")
		response, err := p.http.Do(request)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		answer := &pb.SearchAnswer{}
		if protojson.Unmarshal(text, answer) == nil && answer.GetCode() == pb.ResultCode_RESULT_CODE_OK {
			return
		}
	}
	b.Fatal("no answer with full coverage")
}

func (p *benchmarkTier) storeObjects(b *testing.B, store *client.Client) {
	objects := []*pb.ConfigObject{
		{Spec: &pb.ConfigObject_Service{Service: p.service}},
		{Spec: &pb.ConfigObject_Class{Class: &pb.Class{
			Name: "search", Service: "bench", Kind: pb.RequestKind_REQUEST_KIND_IDEMPOTENT, Worth: 1, CoverageExponent: 1,
			Lateness: durationpb.New(2 * time.Second), FullWorthUntil: durationpb.New(time.Second),
		}}},
		{Spec: &pb.ConfigObject_Caller{Caller: &pb.Caller{
			Name: "caller", CredentialHash: indexer.HashCredential("token"), Classes: []string{"bench/search"},
		}}},
	}
	for i := range benchmarkNodes {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{
			AvailabilityZone: &pb.AvailabilityZone{Name: fmt.Sprintf("zone-%d", i+1), Region: "r"},
		}})
	}
	for _, o := range objects {
		value, _ := protojson.Marshal(o)
		if _, err := store.Create(context.Background(), keyer.Of(o), value); err != nil {
			b.Fatal(err)
		}
	}
}

func nodeSettings(i int) *pb.NodeSettings {
	s := &pb.NodeSettings{
		NodeName: fmt.Sprintf("node-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i), Region: "r",
		CallerAddress:   fmt.Sprintf("%s.%d.1:7400", benchmarkNetworkPrefix, i),
		OperatorAddress: fmt.Sprintf("%s.%d.1:7200", benchmarkNetworkPrefix, i),
		PeerAddress:     fmt.Sprintf("%s.%d.1:7300", benchmarkNetworkPrefix, i), FatalInvariants: true,
	}
	for j := 1; j <= benchmarkNodes; j++ {
		if j != i {
			s.SeedPeers = append(s.SeedPeers, fmt.Sprintf("%s.%d.1:7300", benchmarkNetworkPrefix, j))
		}
	}
	filler.Fill(s)
	return s
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func percentile(latencies []time.Duration, share float64) float64 {
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return float64(sorted[int(share*float64(len(sorted)-1))].Microseconds())
}
