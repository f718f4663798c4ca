//go:build review3

package main

import (
	"sort"
	"sync"
	"time"
)

const (
	quotaHost = "shop.example"
	quotaKey  = "key-of-the-tenant"
	// In any quotaWindow a tenant may exceed its quota by the share quotaOver and by quotaSlack requests.
	quotaWindow           = 5 * time.Second
	quotaOver, quotaSlack = 0.1, 20.0
	// quotaRate is the tenant's limit in requests a second. Its burst is quotaSmall or quotaLarge requests.
	quotaRate, quotaSmall, quotaLarge = 10.0, 10.0, 100.0
	// hotFactor is how many times its usual the tenant sends, and hotTime for how long.
	hotFactor, hotTime = 7.5, 6500 * time.Millisecond
	quotaSettle        = 8 * time.Second
	// quotaChanges is the time between two versions of the configuration.
	quotaChanges  = 1500 * time.Millisecond
	quotaTimeLeft = 2 * time.Second
)

// playQuota has an operator raise the burst of a tenant, take that back and raise it again, while the tenant sends more
// than its quota. Without trouble the burst is raised once.
func playQuota(w *world) (bool, error) {
	for _, zone := range []string{"olten", "aarau", "brugg"} {
		if _, err := w.addLeaf(zone); err != nil {
			return false, err
		}
	}
	w.putQuota(quotaSmall)
	err := w.startNodes(map[string]any{
		"StrictRevoke": false, "RevokeMs": 5000, "QuotaWindowS": quotaWindow.Seconds(), "QuotaOver": quotaOver,
		"QuotaSlack": quotaSlack,
	})
	if err != nil {
		return false, err
	}
	time.Sleep(quotaSettle)
	bursts := []float64{quotaLarge}
	if w.trouble {
		bursts = []float64{quotaLarge, quotaSmall, quotaLarge}
	}
	var sending sync.WaitGroup
	sending.Go(w.sendHot)
	time.Sleep(quotaChanges / 2)
	for _, b := range bursts {
		w.putQuota(b)
		time.Sleep(quotaChanges)
	}
	sending.Wait()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaLarge)*(1+quotaOver) + quotaSlack
	most := w.mostInWindow(quotaWindow)
	w.record.say("most requests of the tenant that leafs ran in %v: %d; the rule allows %.0f by the larger burst",
		quotaWindow, most, allowed)
	return float64(most) > allowed, nil
}

// putQuota writes a version of the configuration in which the tenant has a burst.
func (w *world) putQuota(burst float64) {
	routes := []map[string]any{{
		"Name": "r", "Host": quotaHost, "PathPrefix": "/book/", "RouteType": "idempotent", "TimeoutMs": 2000,
		"TargetLatencyMs": 500, "Priority": 1, "Service": oneService, "Attempts": 1,
	}}
	w.putConfig(routes, []string{oneService}, map[string]any{"Tenants": []map[string]any{{
		"Name": "t1", "ApiKeys": []string{quotaKey}, "RatePerS": quotaRate, "Burst": burst,
	}}})
}

// sendHot sends the tenant's requests to all nodes in turn, and waits for the answers.
func (w *world) sendHot() {
	var requests sync.WaitGroup
	perSecond := hotFactor * quotaRate
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	until := time.Now().Add(hotTime)
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		requests.Go(func() {
			w.send(w.nodes[i%len(w.nodes)], quotaHost, "/book/x",
				map[string]string{"Authorization": "Token " + quotaKey}, quotaTimeLeft)
		})
	}
	requests.Wait()
}

// mostInWindow returns how many requests leafs have run in the span of that length in which they ran most.
func (w *world) mostInWindow(window time.Duration) int {
	var times []time.Time
	for _, l := range w.leaves {
		for _, a := range l.ran() {
			times = append(times, a.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
