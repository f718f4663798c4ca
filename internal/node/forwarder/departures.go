package forwarder

import (
	"net"
	"sync"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

const (
	// departureLogPeriod is the time between two log lines about calls that leave the zone for the same reason.
	departureLogPeriod = time.Second
	// leafCallBytes is the kind of the bytes of requests to leaves and their answers.
	leafCallBytes = "leaf_call"
)

type (
	// departureLog limits the log lines about calls that leave the zone. It is safe for concurrent use.
	departureLog struct {
		mutex sync.Mutex
		// byReason has, for each reason, what has happened since its last log line.
		byReason map[balancer.Reason]departureCount
	}

	departureCount struct {
		loggedAt time.Time
		calls    int
	}
)

// add counts a call. If a log line is due, it returns the number of calls since the last one.
func (l *departureLog) add(r balancer.Reason, now time.Time) (calls int, due bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byReason == nil {
		l.byReason = map[balancer.Reason]departureCount{}
	}
	c := l.byReason[r]
	c.calls++
	if now.Sub(c.loggedAt) < departureLogPeriod {
		l.byReason[r] = c
		return 0, false
	}
	l.byReason[r] = departureCount{loggedAt: now}
	return c.calls, true
}

// registerDepartures registers the counters of calls that leave the zone and of their bytes.
func (n *Node) registerDepartures() {
	for _, r := range balancer.Reasons() {
		n.config.Metrics.NewCounter(departuresName(r))
	}
	n.countZoneBytes(leafCallBytes, 0)
}

func departuresName(r balancer.Reason) string {
	return `stepfront_zone_departures_total{reason="` + string(r) + `"}`
}

// observeDeparture counts and logs a call that leaves the availability zone.
func (n *Node) observeDeparture(d balancer.Departure) {
	n.config.Metrics.GetOrCreateCounter(departuresName(d.Reason)).Inc()
	calls, due := n.departures.add(d.Reason, n.config.Clock.Now())
	if !due {
		return
	}
	n.config.Logger.Info("calls leave the zone", "service", d.Service, "reason", d.Reason, "to_zone", d.Zone,
		"calls", calls, "expected", d.Expected, "expected_in_zone", d.Local, "silent_in_zone", d.LocalSilence,
		"cost", d.Cost, "saved", d.Saved)
}

// countZoneBytes counts bytes of a kind that were sent to another availability zone, or were received from there as an
// answer.
func (n *Node) countZoneBytes(kind string, bytes int) {
	n.config.Metrics.GetOrCreateCounter(`stepfront_zone_bytes_total{kind="` + kind + `"}`).Add(bytes)
}

// isInOtherZone reports whether a node with an address is known to be in another availability zone.
func (n *Node) isInOtherZone(to net.Addr) bool {
	if to == nil {
		return false
	}
	ip, _, err := net.SplitHostPort(to.String())
	if err != nil {
		return false
	}
	zone := n.currentFleet().zones[ip]
	return zone != "" && zone != n.config.AvailabilityZone
}

// zonesByIP returns the availability zone of each node by the IP of its peer address.
func zonesByIP(members []*pb.Member) map[string]string {
	zones := make(map[string]string, len(members))
	for _, m := range members {
		if ip, _, err := net.SplitHostPort(m.GetPeerAddress()); err == nil {
			zones[ip] = m.GetAvailabilityZone()
		}
	}
	return zones
}
