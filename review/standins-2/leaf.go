//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Header fields of PROTOCOL.md and NEWS.md.
const (
	headerID        = "Magnoliastep-Request-Id"
	headerTimeout   = "Magnoliastep-Timeout-Ms"
	headerTarget    = "Magnoliastep-Target-Instance"
	headerSignature = "Magnoliastep-Response-Signature"
	headerNotRun    = "Magnoliastep-Not-Executed"
	headerInstance  = "Magnoliastep-Instance-Id"
)

// arrival is a request as a leaf has received it.
type arrival struct {
	at      time.Time
	leaf    string
	machine string // the node to which the client has sent the request, so the one that sends it on
	id      string
	path    string
	outcome string // "ran", "other instance" or "full"
}

// leafConfig says what a leaf is.
type leafConfig struct {
	id, service, address, zone string
	slots                      int
	work                       time.Duration
}

const (
	heartbeat  = 1200 * time.Millisecond
	leafQueue  = 24
	idleSecond = 15
)

// leaf is a stand-in for a leaf. It runs requests for a fixed time, several at once, echoes the request ID, rejects
// requests for other instances with 421 and requests beyond its queue with 503, and writes its entry to the store every
// heartbeat.
type leaf struct {
	leafConfig
	world *world
	born  int64
	// running has an item for each request that runs.
	running chan struct{}

	mutex sync.Mutex
	// left is set once the leaf has removed its entry; it goes on serving.
	left     bool
	sequence int64
	beatAt   time.Time
	waiting  int
}

func (w *world) startLeaf(c leafConfig) (*leaf, error) {
	listener, err := listenSoon(c.address)
	if err != nil {
		return nil, err
	}
	l := &leaf{leafConfig: c, world: w, born: time.Now().UnixMilli(), running: make(chan struct{}, c.slots)}
	server := &http.Server{Handler: l, IdleTimeout: idleSecond * time.Second}
	go func() { _ = server.Serve(listener) }()
	l.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			l.beat()
		}
	}()
	return l, nil
}

// beat writes the leaf's entry.
func (l *leaf) beat() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.left {
		return
	}
	l.sequence++
	l.beatAt = time.Now()
	l.world.store.put("servers", l.id, map[string]any{
		"Service": l.service, "Address": l.address, "Zone": l.zone, "Version": "v1", "MaxConcurrency": l.slots,
		"State": "ready", "WarmupLeftMs": 0, "Seq": l.sequence, "born": l.born,
	})
}

// awaitBeat returns a moment after the leaf has written its entry.
func (l *leaf) awaitBeat() {
	for {
		l.mutex.Lock()
		age := time.Since(l.beatAt)
		l.mutex.Unlock()
		if age > 50*time.Millisecond && age < 150*time.Millisecond {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// leave removes the leaf's entry and returns when the store has acknowledged that. The leaf goes on serving.
func (l *leaf) leave() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.left = true
	return l.world.store.remove("servers", l.id)
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := arrival{at: time.Now(), leaf: l.id, id: r.Header.Get(headerID), path: r.URL.Path}
	a.machine = l.world.sentTo(a.id)
	h := w.Header()
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", idleSecond))
	h.Set(headerID, a.id)
	switch {
	case a.id == "":
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(headerTarget) != "" && r.Header.Get(headerTarget) != l.id:
		a.outcome = "other instance"
		h.Set(headerInstance, l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		l.run(&a, w, r)
	}
	l.world.arrived(a)
}

func (l *leaf) run(a *arrival, w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	full := l.waiting >= l.slots+leafQueue
	if !full {
		l.waiting++
	}
	l.mutex.Unlock()
	if full {
		a.outcome = "full"
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		l.mutex.Lock()
		l.waiting--
		l.mutex.Unlock()
	}()
	l.running <- struct{}{}
	a.outcome = "ran"
	time.Sleep(l.work)
	<-l.running
	w.Header().Set(headerSignature, l.id+"."+a.id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s of %s answers %s\n", l.id, l.service, r.URL.Path)
}

// listenSoon listens on an address that the process before may still use.
func listenSoon(address string) (net.Listener, error) {
	for attempt := 0; ; attempt++ {
		l, err := net.Listen("tcp", address)
		if err == nil || attempt == 50 || !strings.Contains(err.Error(), "in use") {
			return l, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// answer is what a client has got.
type answer struct {
	status int
	body   string
	err    error
}

// ask sends one client attempt on a new connection to a node.
func ask(address, path, id string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nConnection: close\r\n\r\n", path, host,
		headerID, id, headerTimeout, timeout.Milliseconds())
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err}
}
