//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	networkTries = 50
	// machines is the number of machines, one in each zone.
	machines = 3
)

var errNoNetwork = errors.New("no free loopback network")

type (
	// world is one small deployment on loopback addresses.
	world struct {
		record  *record
		folder  string
		network string
		trouble bool
		store   *store
		leaves  []*leaf
		nodes   []*node
		version int
		nextID  atomic.Int64
		clients http.Client
		// onSend, if not nil, is called with each request before it is sent.
		onSend func(id string, n *node)
	}

	// answer is what a client got for a request.
	answer struct {
		id              string
		sentAt, endedAt time.Time
		// status is 0 if the connection ended without an answer.
		status int
		header http.Header
		body   string
		err    error
	}
)

func newWorld(r *record, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, folder: folder, trouble: trouble}
	w.clients.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	if w.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	w.store, err = startStore(r, w.network+".250")
	return w, err
}

// freeNetwork returns the prefix of a loopback network on which the ports of the processes are free.
func freeNetwork() (string, error) {
	for range networkTries {
		prefix := fmt.Sprintf("127.%d.%d", 60+rand.IntN(190), 1+rand.IntN(250))
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s.1:%d", prefix, frontPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return prefix, nil
	}
	return "", errNoNetwork
}

// addLeaf starts a leaf and registers it.
func (w *world) addLeaf(zone string) (*leaf, error) {
	l, err := startLeaf(w.record, w.network+".251", "leaf-"+zone, zone)
	if err != nil {
		return nil, err
	}
	w.leaves = append(w.leaves, l)
	w.store.put("servers", l.id, l.entry())
	return l, nil
}

// putConfig writes the next version of the configuration.
func (w *world) putConfig(routes []map[string]any, services []string, more map[string]any) {
	w.version += 3
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false, "WarmupS": 3.0,
			"WarmupPerS": 0.0,
		})
	}
	c := map[string]any{
		"Version": w.version, "Routes": routes, "Services": list,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	}
	for k, v := range more {
		c[k] = v
	}
	w.store.put("config", "main", c)
	w.record.add("the operator's version %d is acknowledged: %v", w.version, more)
}

// startNodes starts machines and waits until they are ready.
func (w *world) startNodes(bounds map[string]any) error {
	var seeds []string
	for i := range machines {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", w.network, i+1, controlPort))
	}
	zones := []string{"olten", "aarau", "brugg"}
	for i := range machines {
		zone := zones[i%len(zones)]
		n, err := newNode(w.folder, fmt.Sprintf("front-%s-%d", zone, i+1), zone, fmt.Sprintf("%s.%d", w.network, i+1),
			w.store.address, seeds, bounds)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	w.record.add("%d processes are ready", machines)
	return nil
}

// newID returns the id of a new request.
func (w *world) newID() string { return fmt.Sprintf("q%06d", w.nextID.Add(1)) }

// send sends one request and waits for its answer, at most for the time left.
func (w *world) send(n *node, host, path string, header map[string]string, timeLeft time.Duration) answer {
	a := answer{id: w.newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", n.ip, frontPort, path), nil)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(headerRequestID, a.id)
	r.Header.Set(headerTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	if w.onSend != nil {
		w.onSend(a.id, n)
	}
	w.record.add("client sends %s to %s", a.id, n.name)
	response, err := w.clients.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.header, a.body = response.StatusCode, response.Header, string(body)
	}
	a.endedAt, a.err = time.Now(), err
	w.record.add("client gets %d for %s", a.status, a.id)
	return a
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, n := range w.nodes {
		n.end()
		_ = n.log.Close()
	}
	_ = w.store.listener.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}
