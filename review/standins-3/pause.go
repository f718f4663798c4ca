//go:build review3

package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	pauseHost = "shop.example"
	// pauseAsked is the time for which a leaf wants no requests.
	pauseAsked = 90 * time.Second
	// pauseLead is the time after the leaf's 503 in which requests may still reach it, and pauseAllowed how many may later.
	pauseLead, pauseAllowed = 500 * time.Millisecond, 2
	pauseSettle             = 5 * time.Second
	pausePlay               = 75 * time.Second
	pauseEvery              = 40 * time.Millisecond
	pauseTimeLeft           = 2 * time.Second
)

// pausing is a leaf that answers the first request of each machine with 503 and Retry-After, and serves the others.
type pausing struct {
	mutex sync.Mutex
	// sentTo has the machine to which the client has sent each request.
	sentTo map[string]string
	// askedAt has when the leaf asked a machine for a pause, and late the requests that came from it in the pause.
	askedAt map[string]time.Time
	late    map[string]int
}

// playPause has a leaf turn all machines away with Retry-After. Without trouble it serves them.
func playPause(w *world) (bool, error) {
	p := &pausing{sentTo: map[string]string{}, askedAt: map[string]time.Time{}, late: map[string]int{}}
	for _, zone := range []string{"olten", "aarau", "brugg"} {
		l, err := w.addLeaf(zone)
		if err != nil {
			return false, err
		}
		if zone == "aarau" && w.trouble {
			l.answer = p.answer
		}
	}
	w.putConfig([]map[string]any{{
		"Name": "r", "Host": pauseHost, "PathPrefix": "/book/", "RouteType": "idempotent", "TimeoutMs": 2000,
		"TargetLatencyMs": 500, "Priority": 1, "Service": oneService, "Attempts": 2,
	}}, []string{oneService}, nil)
	if err := w.startNodes(nil); err != nil {
		return false, err
	}
	time.Sleep(pauseSettle)
	w.onSend = p.note
	var clients sync.WaitGroup
	until := time.Now().Add(pausePlay)
	for _, n := range w.nodes {
		for range 2 {
			clients.Go(func() {
				for ; time.Now().Before(until); time.Sleep(pauseEvery) {
					w.send(n, pauseHost, "/book/x", nil, pauseTimeLeft)
				}
			})
		}
	}
	clients.Wait()
	broken := false
	for _, n := range w.nodes {
		w.record.say("requests from %s that reached the leaf in the pause of %v that it had asked for: %d", n.name, pauseAsked,
			p.late[n.name])
		broken = broken || p.late[n.name] > pauseAllowed
	}
	return broken, nil
}

// note notes to which machine a request is sent.
func (p *pausing) note(id string, n *node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sentTo[id] = n.name
}

// answer asks for a pause if the machine has not been asked yet. It returns false for a request that the leaf runs.
func (p *pausing) answer(w http.ResponseWriter, _ *http.Request, a arrival) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	machine := p.sentTo[a.id]
	at, asked := p.askedAt[machine]
	if !asked {
		p.askedAt[machine] = a.at
		w.Header().Set(headerNotRun, "1")
		w.Header().Set("Retry-After", strconv.Itoa(int(pauseAsked.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if since := a.at.Sub(at); since > pauseLead && since < pauseAsked {
		p.late[machine]++
	}
	return false
}
