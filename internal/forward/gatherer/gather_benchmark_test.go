package gatherer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/merger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// startFastLeaf starts a leaf that answers each request with the same bytes, and returns its address.
func startFastLeaf(b *testing.B, answer []byte) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					if lines.Text() != "" {
						continue
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// BenchmarkGather gathers and merges parts of 1 KB from 36 shards over loopback. Leaves and gatherer share the process.
func BenchmarkGather(b *testing.B) {
	const shards = 36
	is := is.New(b)
	for _, form := range []string{"stated", "chunked"} {
		b.Run(form, func(b *testing.B) {
			f := newFixture(b, nil)
			body := strings.Repeat("0123456789abcdef", 1024/merger.RecordBytes)
			answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: r1\r\nSign: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if form == "chunked" {
				answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: r1\r\nSign: s\r\nTransfer-Encoding: chunked\r\n\r\n"+
					"%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}
			route := matcher.Route{
				Name: "route", Idempotent: true, Attempts: 2, MinCoverage: 1, TopRecords: 20, TargetLatency: target,
				Timeout: timeout,
			}
			for i := range shards {
				service := fmt.Sprintf("s%d", i)
				route.Shards = append(route.Shards, service)
				f.pool.Put(balancer.Entry{
					ID: service, Service: service, Address: startFastLeaf(b, answer), Zone: "near", Slots: 4,
				}, time.Now())
			}
			b.ReportAllocs()
			for b.Loop() {
				r := f.run(b.Context(), route)
				is.Equal(r.Outcome, gatherer.OutcomeAnswered)
				records := merger.New(route.TopRecords)
				for _, p := range r.Parts {
					records.Add(p.Body)
				}
				_, _ = io.Discard.Write(records.Body())
			}
		})
	}
}
