package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

type (
	// attempt is one client attempt and what came back.
	attempt struct {
		id, node, method, path string
		sentAt, endedAt        time.Time
		// status is 0 if the connection ended without a complete answer.
		status    int
		signature string
		body      string
		problem   string
	}

	// client sends requests, each on a new connection unless told otherwise.
	client struct {
		record *record
		host   string
		mutex  sync.Mutex
		all    []*attempt
	}
)

// send sends one request and waits for its answer until the client's deadline.
func (c *client) send(node, id, method, path, body string, timeout time.Duration) *attempt {
	a := &attempt{id: id, node: node, method: method, path: path}
	c.mutex.Lock()
	c.all = append(c.all, a)
	c.mutex.Unlock()
	defer func() {
		a.endedAt = c.record.add("client: %s after %.3f s: status %d signature %q %s", id, time.Since(a.sentAt).Seconds(),
			a.status, a.signature, a.problem)
	}()
	a.sentAt = time.Now()
	connection, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		a.problem = "not connected: " + err.Error()
		return a
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(a.sentAt.Add(timeout))
	a.sentAt = c.record.add("client: sends %s %s %s to %s", id, method, path, node)
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", method, path, c.host, headerID, id,
		headerTimeout, timeout.Milliseconds(), length, body)
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		a.problem = "no answer: " + err.Error()
		return a
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.problem = "incomplete answer: " + err.Error()
		return a
	}
	a.status, a.signature, a.body = response.StatusCode, response.Header.Get(headerSignature), string(data)
	return a
}

// resolve asks a directory where to connect.
func (c *client) resolve(n *node, zone string) ([]string, float64, error) {
	h := http.Client{Timeout: time.Second}
	r, err := h.Get("http://" + n.directory + "/api/resolve?" +
		url.Values{"Name": {c.host}, "Region": {"ch-mittelland"}, "Zone": {zone}}.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	var resolved struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(r.Body).Decode(&resolved); err != nil {
		return nil, 0, err
	}
	c.record.add("directory of %s for %s: %v for %v s", n.name, zone, resolved.Addrs, resolved.TTL)
	return resolved.Addrs, resolved.TTL, nil
}

func (c *client) attempts() []*attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*attempt(nil), c.all...)
}
