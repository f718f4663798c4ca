//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// shedShare is the share of requests that each leaf rejects as if it were full, and closeShare that of its answers
	// that announce the end of the connection.
	shedShare  = 0.1
	closeShare = 0.2
	// strayShare is the share of rejections that a faulty leaf lets stray bytes follow: one in twenty of its answers.
	strayShare = 0.5
)

// faultyConfig says how the leaves of a case answer.
type faultyConfig struct {
	// namesRejected is set if rejections echo the request ID as all other answers do.
	namesRejected bool
	// stray returns the bytes that belong to no request, from the rejection that was the last answer on the connection.
	stray func(rejection string) string
}

// faultyLeaf is a stand-in for a leaf that writes its answers itself, so that it can send bytes that belong to no
// request. It rejects a share of the requests as if it were full.
type faultyLeaf struct {
	leafConfig
	faultyConfig
	world    *world
	listener net.Listener

	mutex  sync.Mutex
	random *rand.Rand
	// faulty is set once the leaf sends stray bytes.
	faulty bool
}

func (w *world) startFaulty(c leafConfig, f faultyConfig, seed uint64) (*faultyLeaf, error) {
	listener, err := listenSoon(c.address)
	if err != nil {
		return nil, err
	}
	l := &faultyLeaf{
		leafConfig: c, faultyConfig: f, world: w, listener: listener, random: rand.New(rand.NewPCG(seed, 2)),
	}
	born := time.Now().UnixMilli()
	beat := func(sequence int) {
		w.store.put("servers", l.id, map[string]any{
			"Service": l.service, "Address": l.address, "Zone": l.zone, "Version": "v1", "MaxConcurrency": l.slots,
			"State": "ready", "WarmupLeftMs": 0, "Seq": sequence, "born": born,
		})
	}
	beat(1)
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(heartbeat)
			beat(sequence)
		}
	}()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

func (l *faultyLeaf) setFaulty(faulty bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faulty = faulty
}

func (l *faultyLeaf) isFaulty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.faulty
}

func (l *faultyLeaf) draw(share float64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.random.Float64() < share
}

// serve answers the requests of one connection.
func (l *faultyLeaf) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	stray := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		a := arrival{at: time.Now(), leaf: l.id, id: r.Header.Get(headerID), path: r.URL.Path}
		a.machine = l.world.sentTo(a.id)
		if stray != "" {
			_, _ = io.WriteString(c, stray)
			l.world.note("leaf %s sends bytes that belong to no request: %q", l.id, stray)
			stray = ""
		}
		date := time.Now().UTC().Format(http.TimeFormat)
		if l.draw(shedShare) {
			a.outcome = "full"
			l.world.arrived(a)
			rejection := "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nDate: " + date +
				"\r\nKeep-Alive: timeout=15\r\n"
			if l.namesRejected {
				rejection += headerID + ": " + a.id + "\r\n"
			}
			rejection += "Content-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, rejection)
			if l.isFaulty() && l.draw(strayShare) {
				stray = l.stray(rejection)
			}
			continue
		}
		a.outcome = "ran"
		l.world.arrived(a)
		time.Sleep(l.work)
		body := fmt.Sprintf("%s of %s answers %s\n", l.id, l.service, r.URL.Path)
		leaves, closes := l.draw(closeShare), ""
		if leaves {
			closes = "Connection: close\r\n"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDate: %s\r\nKeep-Alive: timeout=15\r\n%s: %s\r\n%s: %s.%s\r\n%s"+
			"Content-Length: %d\r\n\r\n%s", date, headerID, a.id, headerSignature, l.id, a.id, closes, len(body), body)
		if leaves {
			return
		}
	}
}
