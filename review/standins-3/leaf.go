//go:build review3

package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerRequestID = "Magnoliastep-Request-Id"
	headerTimeLeft  = "Magnoliastep-Timeout-Ms"
	headerTarget    = "Magnoliastep-Target-Instance"
	headerSignature = "Magnoliastep-Response-Signature"
	headerNotRun    = "Magnoliastep-Not-Executed"
	headerTenant    = "Magnoliastep-Tenant"

	// oneService is the service of the leafs of most cases, and leafWork how long they work on a request.
	oneService = "book"
	leafWork   = 5 * time.Millisecond
	headTime   = 10 * time.Second
)

type (
	// arrival is a request that a leaf has run.
	arrival struct {
		leaf, id, method, uri, tenant, body string
		at                                  time.Time
	}

	// leaf is a stand-in for one leaf. It runs each request that names it, one after the other on a connection.
	leaf struct {
		record            *record
		id, service, zone string
		address           string
		born              int64
		mutex             sync.Mutex
		arrivals          []arrival
		// answer, if not nil, answers in place of the leaf's usual answer.
		answer func(w http.ResponseWriter, r *http.Request, a arrival) bool
	}
)

func startLeaf(r *record, ip, id, zone string) (*leaf, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &leaf{
		record: r, id: id, service: oneService, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
	}
	go func() { _ = (&http.Server{Handler: l, ReadHeaderTimeout: headTime}).Serve(listener) }()
	return l, nil
}

// entry returns the leaf's entry in the store.
func (l *leaf) entry() map[string]any {
	return map[string]any{
		"Service": l.service, "Address": l.address, "Zone": l.zone, "Version": "v1", "MaxConcurrency": 6,
		"State": "ready", "WarmupLeftMs": 0, "Seq": 1, "born": l.born,
	}
}

// signatureOf returns the signature of a leaf's answer to a request.
func signatureOf(service, id string) string {
	sum := sha256.Sum256([]byte(service + "/" + id))
	return hex.EncodeToString(sum[:12])
}

// ServeHTTP runs one request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{
		leaf: l.id, id: r.Header.Get(headerRequestID), method: r.Method, uri: r.RequestURI, body: string(body),
		tenant: r.Header.Get(headerTenant), at: time.Now(),
	}
	w.Header().Set(headerRequestID, a.id)
	if r.URL.Path == "/health" {
		w.Header().Set("Magnoliastep-Instance-Id", l.id)
		return
	}
	if target := r.Header.Get(headerTarget); target != "" && target != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if l.answer != nil && l.answer(w, r, a) {
		return
	}
	l.run(a)
	time.Sleep(leafWork)
	w.Header().Set(headerSignature, signatureOf(l.service, a.id))
	_, _ = io.WriteString(w, "answer of "+l.service+" to "+a.id)
}

// run notes that the leaf runs a request.
func (l *leaf) run(a arrival) {
	l.record.add("%s runs %s (%s)", l.id, a.id, a.uri)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// ran returns the requests that the leaf has run.
func (l *leaf) ran() []arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]arrival(nil), l.arrivals...)
}
