package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	host          = "stables.example"
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
	drainTime     = 3 * time.Second
	// garbledFor is for_s of garble in the site file.
	garbledFor = 5500 * time.Millisecond
)

var zones = []string{"olten", "aarau", "brugg"} //nolint:gochecknoglobals // constant

// each calls f n times, one call each period, without waiting for the calls, and returns when all have ended.
func each(n int, period time.Duration, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
		time.Sleep(period)
	}
	wg.Wait()
}

// wrongBytes: half of the leaves hand out wrong bytes. Of each 20 answers one has either no signature, or is followed by
// bytes that are no answer to any request.
func wrongBytes(e *environment) (bool, error) {
	const stray = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	leaves, err := e.startLeaves("farrier-book", 6, 6, 200*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	if e.trouble {
		for _, f := range leaves[:3] {
			f.setAnswer(func(n int, _ *http.Request) answer {
				switch n % 40 {
				case 10:
					return answer{status: http.StatusOK, unsigned: true}
				case 30:
					return answer{status: http.StatusOK, extra: stray}
				}
				return answer{status: http.StatusOK}
			})
			e.record.add("leaf %s hands out wrong bytes with each 20th answer for %v", f.id, garbledFor)
			time.AfterFunc(garbledFor, f.recover)
		}
	}
	c := &client{record: e.record, host: host}
	each(1200, 10*time.Millisecond, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%3].front, id, "POST", "/book/"+id, "stall for "+id, 8*time.Second)
	})
	unsigned, foreign, answered := 0, 0, 0
	for _, a := range c.attempts() {
		switch {
		case a.status == http.StatusOK && a.signature == "":
			unsigned++
			e.record.add("MIXED: %s was answered with 200 without the leaf's signature: %q", a.id, a.body)
		case a.status == http.StatusOK:
			answered++
		case a.status == http.StatusNotFound:
			foreign++
			e.record.add("MIXED: %s was answered with 404, by bytes that belong to no request", a.id)
		}
	}
	e.record.say("%d requests, %d whole successes, %d successes without signature, %d answers that belong to no request",
		len(c.attempts()), answered, unsigned, foreign)
	if answered < 1000 {
		return false, fmt.Errorf("only %d requests were served", answered)
	}
	return unsigned+foreign > 0, nil
}

// extraBytes: half of the leaves send additional bytes after each 20th answer. They arrive where the next answer is
// expected and have no request ID.
func extraBytes(e *environment) (bool, error) {
	const stray = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	leaves, err := e.startLeaves("farrier-book", 6, 6, 200*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	if e.trouble {
		for _, f := range leaves[:3] {
			f.setAnswer(func(n int, _ *http.Request) answer {
				if n%20 == 10 {
					return answer{status: http.StatusOK, extra: stray}
				}
				return answer{status: http.StatusOK}
			})
			e.record.add("leaf %s sends additional bytes after each 20th answer for %v", f.id, garbledFor)
			time.AfterFunc(garbledFor, f.recover)
		}
	}
	c := &client{record: e.record, host: host}
	each(1200, 10*time.Millisecond, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%3].front, id, "POST", "/book/"+id, "stall for "+id, 8*time.Second)
	})
	runs := map[string][]string{}
	for _, f := range leaves {
		for _, r := range f.allRuns() {
			runs[r.id] = append(runs[r.id], r.leaf)
		}
	}
	twice, answered := 0, 0
	for _, a := range c.attempts() {
		if a.status == http.StatusOK {
			answered++
		}
		if len(runs[a.id]) > 1 {
			twice++
			e.record.add("TWICE: %s, one attempt of a client, ran at %v; the client's status is %d", a.id, runs[a.id], a.status)
		}
	}
	e.record.say("%d requests, %d answered with success, %d of them ran more than once", len(c.attempts()), answered, twice)
	if answered < 1000 {
		return false, fmt.Errorf("only %d requests were served", answered)
	}
	return twice > 0, nil
}

// falsePromise: a leaf fails part of its requests, after it has run them, with status 503 and without the header that
// says that it did not.
func falsePromise(e *environment) (bool, error) {
	leaves, err := e.startLeaves("farrier-book", 7, 6, 200*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	if e.trouble {
		leaves[0].setAnswer(func(n int, _ *http.Request) answer {
			if n%20 < 9 {
				return answer{status: http.StatusServiceUnavailable}
			}
			return answer{status: http.StatusOK}
		})
		e.record.add("leaf %s fails 9 in 20 of its requests with 503 after it has run them", leaves[0].id)
	}
	c := &client{record: e.record, host: host}
	each(900, 10*time.Millisecond, func(i int) {
		// A client takes 503 for a promise and sends the order again, as a new request.
		for try := range 2 {
			id := fmt.Sprintf("b%06d-%d", i, try)
			a := c.send(e.nodes[(i+try)%3].front, id, "POST", fmt.Sprintf("/book/stall-%06d", i), "one horse", 8*time.Second)
			if a.status != http.StatusServiceUnavailable {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	ran, runsOfPath := map[string]int{}, map[string]int{}
	for _, f := range leaves {
		for _, r := range f.allRuns() {
			ran[r.id]++
			runsOfPath[r.path]++
		}
	}
	broken, answered, twice := 0, 0, 0
	for _, a := range c.attempts() {
		switch a.status {
		case http.StatusOK:
			answered++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			if ran[a.id] > 0 {
				broken++
				e.record.add("REFUSED: %s was answered with %d and has run", a.id, a.status)
			}
		}
	}
	for path, n := range runsOfPath {
		if n > 1 {
			twice++
			e.record.add("%s ran %d times, in attempts of one client", path, n)
		}
	}
	e.record.say("%d requests, %d answered with success, %d answered with a refusal though they had run, %d orders ran twice",
		len(c.attempts()), answered, broken, twice)
	if answered < 800 {
		return false, fmt.Errorf("only %d requests were served", answered)
	}
	return broken > 0, nil
}

// plannedStop: one of three machines gets SIGTERM while requests of 1.8 s come in. Its clients keep their answer of the
// directory up to three times its ttl.
func plannedStop(e *environment) (bool, error) {
	const (
		grace     = 6 * time.Second
		work      = 1800 * time.Millisecond
		lateAfter = 3 * time.Second
	)
	leaves, err := e.startLeaves("farrier-book", 6, 6, work)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-history", "/history/", idempotent, "farrier-book", 8000, 4000)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	c := &client{record: e.record, host: host}
	stopped := e.nodes[0]
	addresses, ttl, err := c.resolve(e.nodes[1], zones[0])
	if err != nil {
		return false, err
	}
	keep := time.Duration(3 * ttl * float64(time.Second))
	resolvedAt := time.Now()
	listed := false
	for _, a := range addresses {
		listed = listed || a == stopped.front
	}
	if !listed || keep < 5*time.Second {
		return false, fmt.Errorf("directory does not list %s for long enough", stopped.front)
	}
	var stopAt time.Time
	if e.trouble {
		stopAt = stopped.signal(syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	for i := 0; time.Since(resolvedAt) < 4100*time.Millisecond; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("h%06d", i)
			c.send(addresses[i%len(addresses)], id, "GET", "/history/"+id, "", 8*time.Second)
		}()
		time.Sleep(70 * time.Millisecond)
	}
	wg.Wait()
	ran := map[string][]run{}
	for _, f := range leaves {
		for _, r := range f.allRuns() {
			ran[r.id] = append(ran[r.id], r)
		}
	}
	lost, excused, answered := 0, 0, 0
	for _, a := range c.attempts() {
		if a.status == http.StatusOK {
			answered++
		}
		if a.status != 0 || len(ran[a.id]) == 0 || !e.trouble || a.node != stopped.front {
			continue
		}
		if a.endedAt.Before(stopAt) || a.endedAt.After(stopAt.Add(grace+time.Second)) {
			continue
		}
		if a.sentAt.Before(stopAt.Add(lateAfter)) {
			excused++ // a leaf was at work in the last sixth of GraceS on a request sent up to 3 s after SIGTERM
			continue
		}
		lost++
		e.record.add("LOST: %s, sent %.3f s after SIGTERM, was passed on to leaf %s; its connection ended %.3f s after SIGTERM without an answer",
			a.id, a.sentAt.Sub(stopAt).Seconds(), ran[a.id][0].leaf, a.endedAt.Sub(stopAt).Seconds())
	}
	e.record.say("%d requests, %d answered with success, %d lost at the stop, %d more cut but excused", len(c.attempts()),
		answered, lost, excused)
	if answered < 40 {
		return false, fmt.Errorf("only %d requests were served", answered)
	}
	return lost > 0, nil
}

// queueOfDrainingLeaf: one of three leaves hangs on part of its requests while its health is good; then it reports that
// it is draining.
func queueOfDrainingLeaf(e *environment) (bool, error) {
	const (
		hangs       = 0.45
		hangFor     = 6500 * time.Millisecond
		drainsAfter = time.Second
		serves      = drainTime + 9*time.Second
	)
	leaves, err := e.startLeaves("farrier-book", 3, 2, 200*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	c := &client{record: e.record, host: host}
	leaving := leaves[0]
	var acknowledged time.Time
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		time.Sleep(3 * time.Second)
		if e.trouble {
			leaving.hang(hangs, hangFor)
			e.record.add("leaf %s hangs on %v of its requests for %v", leaving.id, hangs, hangFor)
		}
		time.Sleep(drainsAfter)
		acknowledged = e.store.put("servers", leaving.id, leaving.entry("draining"))
		e.record.add("store acknowledges that leaf %s is draining", leaving.id)
		time.Sleep(serves)
		leaving.exit()
	}()
	each(250, 42*time.Millisecond, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%3].front, id, "POST", "/book/"+id, "stall for "+id, 8*time.Second)
	})
	<-ended
	status := map[string]int{}
	answered := 0
	for _, a := range c.attempts() {
		status[a.id] = a.status
		if a.status == http.StatusOK {
			answered++
		}
	}
	late, failed := 0, 0
	for _, r := range leaving.allRuns() {
		if r.arrivedAt.After(acknowledged.Add(drainTime)) {
			late++
			e.record.add("DRAIN: %s reached leaf %s %.3f s after the acknowledgement; the client's status is %d", r.id,
				leaving.id, r.arrivedAt.Sub(acknowledged).Seconds(), status[r.id])
			if status[r.id] != http.StatusOK {
				failed++
			}
		}
	}
	e.record.say("%d requests, %d answered with success, %d reached the leaf later than %v after it was draining, %d of them "+
		"without success", len(c.attempts()), answered, late, drainTime, failed)
	if answered < 100 {
		return false, fmt.Errorf("only %d requests were served", answered)
	}
	return late > 0, nil
}

// unreadableEntry: another writer leaves an entry of kind servers that can't be read; then a leaf drains and exits. At
// the end all processes are killed and start again.
func unreadableEntry(e *environment) (bool, error) {
	const depth = 12000
	leaves, err := e.startLeaves("farrier-book", 3, 6, 200*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	if e.trouble {
		e.store.putRaw("servers", "i-other-writer",
			append(bytes.Repeat([]byte("["), depth), bytes.Repeat([]byte("]"), depth)...))
		e.record.add("another writer leaves an entry that can't be read: %d brackets", 2*depth)
	}
	time.Sleep(2 * time.Second)
	leaving := leaves[0]
	acknowledged := e.store.put("servers", leaving.id, leaving.entry("draining"))
	e.record.add("store acknowledges that leaf %s is draining", leaving.id)
	time.AfterFunc(drainTime+2*time.Second, leaving.exit)
	c := &client{record: e.record, host: host}
	each(200, 40*time.Millisecond, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%3].front, id, "POST", "/book/"+id, "stall for "+id, 8*time.Second)
	})
	late, answered, cut := 0, 0, 0
	status := map[string]int{}
	for _, a := range c.attempts() {
		status[a.id] = a.status
		if a.status == http.StatusOK {
			answered++
		}
	}
	for _, r := range leaving.allRuns() {
		if r.arrivedAt.After(acknowledged.Add(drainTime)) {
			late++
			e.record.add("DRAIN: %s reached leaf %s %.3f s after the acknowledgement; the client's status is %d", r.id,
				leaving.id, r.arrivedAt.Sub(acknowledged).Seconds(), status[r.id])
			if status[r.id] != http.StatusOK {
				cut++
			}
		}
	}
	for _, n := range e.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range e.nodes {
		<-n.exited
		if err := errors.Join(n.restartLater(), n.start()); err != nil {
			return false, err
		}
	}
	ready := awaitReady(e.nodes, 15*time.Second)
	e.record.say("%d requests, %d answered with success, %d reached the leaf later than %v after it was draining, %d of them "+
		"without success; all nodes ready within 15 s after a restart: %v", len(c.attempts()), answered, late, drainTime, cut, ready)
	return late > 0, nil
}

// routeName: a configuration adds a route whose name has quotation marks.
func routeName(e *environment) (bool, error) {
	leaves, err := e.startLeaves("farrier-book", 3, 6, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	name := "express"
	if e.trouble {
		name = `"express"`
	}
	e.putConfiguration(4, append(routes, route(name, "/express/", nonIdempotent, "farrier-book", 8000, 800)),
		[]string{"farrier-book"})
	time.Sleep(5 * time.Second)
	c := &client{record: e.record, host: host}
	each(30, 30*time.Millisecond, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%3].front, id, "POST", "/express/"+id, "stall for "+id, 8*time.Second)
	})
	ran := map[string]bool{}
	for _, f := range leaves {
		for _, r := range f.allRuns() {
			ran[r.id] = true
		}
	}
	lost, answered := 0, 0
	for _, a := range c.attempts() {
		if a.status == http.StatusOK {
			answered++
		}
		if a.status == 0 && ran[a.id] {
			lost++
			e.record.add("LOST: %s was passed on to a leaf and its connection closed without an answer", a.id)
		}
	}
	e.record.say("%d requests, %d answered with success, %d closed without an answer", len(c.attempts()), answered, lost)
	return lost > 3, nil
}

// coldLeaf: the only leaf of a service crashes and another one takes its place, which is cold. All processes of the
// system are killed at once just before and start again. The seeds of the settings are stale.
func coldLeaf(e *environment) (bool, error) {
	const (
		warmUpRate, coldOver, coldSlack = 10.0, 1.5, 5.0
		warmUp                          = 6 * time.Second
		heartbeat                       = 1200 * time.Millisecond
		requests, period                = 1300, 10 * time.Millisecond
	)
	e.nodeCount, e.staleSeeds, e.warmUpRate = 7, true, warmUpRate
	leaves, err := e.startLeaves("farrier-book", 1, 6, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for _, n := range e.nodes {
		if err := n.restartLater(); err != nil {
			return false, err
		}
	}
	c := &client{record: e.record, host: host}
	var added *leaf
	var startedAt time.Time
	ended := make(chan error, 1)
	go func() {
		time.Sleep(time.Second)
		leaves[0].exit()
		time.Sleep(3 * heartbeat)
		e.store.remove("servers", leaves[0].id)
		time.Sleep(time.Second)
		if e.trouble {
			for _, n := range e.nodes {
				n.signal(syscall.SIGKILL)
			}
			for _, n := range e.nodes {
				<-n.exited
				if err := n.start(); err != nil {
					ended <- err
					return
				}
			}
		}
		var err error
		if added, err = startLeaf(e.record, "i-farrier-book-new", "farrier-book", zones[0], 6, 50*time.Millisecond); err != nil {
			ended <- err
			return
		}
		startedAt = time.Now()
		entry := added.entry("ready")
		entry["WarmupLeftMs"], entry["born"] = warmUp.Milliseconds(), startedAt.UnixMilli()
		e.store.put("servers", added.id, entry)
		e.record.add("leaf %s starts during traffic and is cold for %v", added.id, warmUp)
		ended <- nil
	}()
	each(requests, period, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%len(e.nodes)].front, id, "POST", "/book/"+id, "stall for "+id, 8*time.Second)
	})
	if err := <-ended; err != nil {
		return false, err
	}
	runs := added.allRuns()
	most := 0
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.arrivedAt.Sub(runs[i].arrivedAt) < time.Second && r.arrivedAt.Sub(startedAt) < warmUp {
				n++
			}
		}
		most = max(most, n)
	}
	bound := warmUpRate*coldOver + coldSlack
	e.record.say("%d requests; the cold leaf got up to %d in a second, %v are allowed", len(c.attempts()), most, bound)
	return float64(most) > bound, nil
}

// movedStore: the platform's store gets another address, which the settings files state, and each process gets SIGHUP.
// Then a leaf drains.
func movedStore(e *environment) (bool, error) {
	leaves, err := e.startLeaves("farrier-book", 3, 6, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := []map[string]any{route("r-book", "/book/", nonIdempotent, "farrier-book", 8000, 800)}
	if err := e.startSystem(routes, []string{"farrier-book"}, leaves); err != nil {
		return false, err
	}
	if e.trouble {
		former := e.store.address
		if err := e.store.move(); err != nil {
			return false, err
		}
		e.record.add("the store moves from %s to %s", former, e.store.address)
		for _, n := range e.nodes {
			if err := n.changeSettings(former, e.store.address); err != nil {
				return false, err
			}
			n.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(10 * time.Second)
	leaving := leaves[0]
	acknowledged := e.store.put("servers", leaving.id, leaving.entry("draining"))
	e.record.add("store acknowledges that leaf %s is draining", leaving.id)
	c := &client{record: e.record, host: host}
	each(200, 40*time.Millisecond, func(i int) {
		id := fmt.Sprintf("b%06d", i)
		c.send(e.nodes[i%3].front, id, "POST", "/book/"+id, "stall for "+id, 8*time.Second)
	})
	late := 0
	for _, r := range leaving.allRuns() {
		if r.arrivedAt.After(acknowledged.Add(drainTime)) {
			late++
			e.record.add("DRAIN: %s reached leaf %s %.3f s after the acknowledgement", r.id, leaving.id,
				r.arrivedAt.Sub(acknowledged).Seconds())
		}
	}
	e.record.say("%d requests, %d reached the leaf later than %v after it was draining", len(c.attempts()), late, drainTime)
	return late > 0, nil
}
