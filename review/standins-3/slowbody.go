//go:build review3

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowHost = "shop.example"
	slowKey  = "key-of-the-tenant"
	// slowTimeout is the TimeoutMs of the route, slowTimeLeft how long clients wait.
	slowTimeout, slowTimeLeft = 2 * time.Second, 8 * time.Second
	// slowMargin is how long after TimeoutMs a request must be answered at the latest.
	slowMargin = 500 * time.Millisecond
	// A body has slowPieces pieces of slowPieceBytes, one each slowPause: it takes longer than the client waits.
	slowPieces, slowPieceBytes, slowPause = 50, 512, 200 * time.Millisecond
	slowRequests, slowEvery               = 24, 134 * time.Millisecond
	// slowUnanswered is the number of requests without an answer from which the rule is broken.
	slowUnanswered = 8
	slowSettle     = 8 * time.Second
)

// playSlowBodies has a tenant send requests whose bodies arrive slowly. With trouble they are beyond the tenant's quota.
func playSlowBodies(w *world) (bool, error) {
	for _, zone := range []string{"olten", "aarau", "brugg"} {
		if _, err := w.addLeaf(zone); err != nil {
			return false, err
		}
	}
	rate, burst := 50.0, 50.0
	if w.trouble {
		rate, burst = 1, 1
	}
	w.putConfig([]map[string]any{{
		"Name": "r", "Host": slowHost, "PathPrefix": "/book/", "RouteType": "idempotent",
		"TimeoutMs": slowTimeout.Milliseconds(), "TargetLatencyMs": 500, "Priority": 1, "Service": oneService, "Attempts": 2,
	}}, []string{oneService}, map[string]any{"Tenants": []map[string]any{{
		"Name": "t1", "ApiKeys": []string{slowKey}, "RatePerS": rate, "Burst": burst,
	}}})
	if err := w.startNodes(map[string]any{"QuotaWindowS": 5, "QuotaOver": 0.1, "QuotaSlack": 0}); err != nil {
		return false, err
	}
	time.Sleep(slowSettle)
	var mutex sync.Mutex
	var requests sync.WaitGroup
	late, overdue, statuses := 0, 0, map[int]int{}
	for i := range slowRequests {
		requests.Go(func() {
			status, took := w.sendSlowly(w.nodes[i%len(w.nodes)])
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
			if took > slowTimeout {
				overdue++
			}
			if took > slowTimeout+slowMargin {
				late++
			}
		})
		time.Sleep(slowEvery)
	}
	requests.Wait()
	w.record.say("of %d requests, %d were unanswered after TimeoutMs and %d half a second later; answers by status (0: none): %v",
		slowRequests, overdue, late, statuses)
	return late >= slowUnanswered && 2*late > overdue, nil
}

// sendSlowly sends a request with a body that arrives slowly, and returns the status of the answer and when it came
// after the request was begun.
func (w *world) sendSlowly(n *node) (status int, took time.Duration) {
	id, sentAt := w.newID(), time.Now()
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, frontPort), time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(sentAt.Add(slowTimeLeft))
	w.record.add("client begins to send %s to %s", id, n.name)
	_, _ = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\n"+
		"Content-Length: %d\r\n\r\n", slowHost, headerRequestID, id, headerTimeLeft, slowTimeLeft.Milliseconds(), slowKey,
		slowPieces*slowPieceBytes)
	go func() {
		for range slowPieces {
			if _, err := c.Write([]byte(strings.Repeat("x", slowPieceBytes))); err != nil {
				return
			}
			time.Sleep(slowPause)
		}
	}()
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		_ = r.Body.Close()
		status = r.StatusCode
	}
	took = time.Since(sentAt)
	w.record.add("client gets %d for %s after %v", status, id, took)
	return status, took
}
