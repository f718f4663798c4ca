package forwarder

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// Guards against a log that is filled by calls that leave the zone, and against calls that no line counts.
func TestDeparturesAreLoggedOnceASecondForEachReason(t *testing.T) {
	is := is.New(t)
	var l departureLog
	start := time.Now()
	lines, calls := 0, 0
	for i := range 1001 {
		at := start.Add(time.Duration(i) * 5 * time.Millisecond)
		if n, due := l.add(balancer.ReasonSlow, at); due {
			lines++
			calls += n
		}
	}
	is.Equal(lines, 6) // at 0, 1, 2, 3, 4 and 5 s
	is.Equal(calls, 1001)
	_, due := l.add(balancer.ReasonNoLeaf, start.Add(5*time.Second))
	is.True(due)
}

// Guards against bytes to nodes of the own zone, or of nodes that are not known, that are counted as traffic between
// zones.
func TestFramesToOtherZonesAreCounted(t *testing.T) {
	is := is.New(t)
	s := newServingNode(t, nil)
	s.currentFleet().zones = zonesByIP([]*pb.Member{
		{PeerAddress: "10.1.0.1:7", AvailabilityZone: s.config.AvailabilityZone},
		{PeerAddress: "10.2.0.1:7", AvailabilityZone: "another"},
		{PeerAddress: "odd", AvailabilityZone: "another"},
	})
	for _, ip := range []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"} {
		s.observeFrame("probe", &net.TCPAddr{IP: net.ParseIP(ip), Port: 9}, 100)
	}
	s.observeFrame("probe", nil, 100)
	is.True(strings.Contains(s.metricsText(), `stepfront_peer_bytes_total{kind="probe"} 400`))
	is.True(strings.Contains(s.metricsText(), `stepfront_zone_bytes_total{kind="probe"} 100`))
}
