//go:build review3

package main

import (
	"sync"
	"time"
)

const (
	drillHost   = "shop.example"
	drillZone   = "olten"
	drillSettle = 5 * time.Second
	// drillAge is how old the copy is from which the store comes back, and drillAway how long it is away.
	drillAge, drillAway = 3 * time.Second, 300 * time.Millisecond
	// drillWritesAgain is how long after the store is back the operator has written the evacuation again: the two seconds
	// that entries of leafs may take, and AckMs.
	drillWritesAgain = 7 * time.Second
	drillAfter       = 3 * time.Second
	evacTime         = 5 * time.Second
	stableTime       = 4 * time.Second
	drillPause       = 30 * time.Millisecond
	drillTimeLeft    = 2 * time.Second
)

// playDrill has an operator evacuate a zone. Some seconds later the store comes back from a copy that does not have the
// evacuation, and the operator writes it again. Without trouble the store is not restored.
func playDrill(w *world) (bool, error) {
	for _, zone := range []string{"olten", "aarau", "brugg"} {
		if _, err := w.addLeaf(zone); err != nil {
			return false, err
		}
	}
	w.putConfig([]map[string]any{{
		"Name": "r", "Host": drillHost, "PathPrefix": "/book/", "RouteType": "idempotent", "TimeoutMs": 2000,
		"TargetLatencyMs": 500, "Priority": 1, "Service": oneService, "Attempts": 2,
	}}, []string{oneService}, nil)
	if err := w.startNodes(nil); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(drillPause):
				}
				w.send(n, drillHost, "/book/x", nil, drillTimeLeft)
			}
		})
	}
	time.Sleep(drillSettle)
	held := w.store.copy()
	acknowledgedAt := w.store.put("evacuations", drillZone, map[string]any{})
	w.record.say("the evacuation of %s is acknowledged", drillZone)
	backAt := acknowledgedAt
	time.Sleep(drillAge)
	if w.trouble {
		w.store.setDown(true)
		w.record.say("the store is away")
		time.Sleep(drillAway)
		w.store.restore(held)
		w.store.setDown(false)
		backAt = time.Now()
		w.record.say("the store is back, from a copy that is %v old", backAt.Sub(acknowledgedAt))
	}
	time.Sleep(drillWritesAgain)
	w.store.put("evacuations", drillZone, map[string]any{})
	writtenAgainAt := time.Now()
	w.record.say("the operator has written the evacuation again")
	time.Sleep(drillAfter)
	close(stop)
	clients.Wait()
	from := acknowledgedAt.Add(evacTime)
	if touch := backAt.Add(stableTime); w.trouble && touch.After(from) {
		from = touch
	}
	return w.reachedEvacuated(from, writtenAgainAt), nil
}

// reachedEvacuated reports whether a request reached a leaf of the evacuated zone in a span of time.
func (w *world) reachedEvacuated(from, until time.Time) bool {
	reached, others := 0, 0
	for _, l := range w.leaves {
		for _, a := range l.ran() {
			switch {
			case a.at.Before(from) || a.at.After(until):
			case l.zone == drillZone:
				reached++
			default:
				others++
			}
		}
	}
	w.record.say("from %v before the operator has written it again: "+
		"%d requests reached the leaf of the zone, %d other leafs", until.Sub(from).Round(time.Millisecond), reached, others)
	return reached > 0
}
