//go:build review3

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mixedHost   = "shop.example"
	mixedShards = 4
	// recordBytes is the size of a record, mixedRecords their number in a part, and mixedTop that in an answer.
	recordBytes, mixedRecords, mixedTop = 16, 8, 5
	mixedWork                           = 5 * time.Millisecond
	mixedSettle                         = 4 * time.Second
	// For garbleTime, every garbleEvery-th answer of half of the leafs is followed by a part of a second copy.
	garbleTime, garbleEvery = 5500 * time.Millisecond, 20
	mixedAfter              = time.Second
	mixedPause              = 20 * time.Millisecond
	mixedTimeLeft           = 2 * time.Second
	mixedClients            = 3
)

type (
	// rawLeaf is a leaf that writes its answers itself. All of them have a signature and the request's ID.
	rawLeaf struct {
		record      *record
		id, service string
		listener    net.Listener
		// faulty is set while the leaf hands out wrong bytes.
		faulty  atomic.Bool
		answers atomic.Int64
	}

	// mixedCount counts the answers that clients got.
	mixedCount struct {
		mutex         sync.Mutex
		whole, failed int
		// foreign is the number of successes with a signature that belongs to no answer to their request.
		foreign int
	}
)

func startRawLeaf(r *record, ip, id, service string) (*rawLeaf, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &rawLeaf{record: r, id: id, service: service, listener: listener}
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

// serve answers the requests on one connection in turn.
func (l *rawLeaf) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	extra := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(headerRequestID)
		l.record.add("%s runs %s", l.id, id)
		time.Sleep(mixedWork)
		whole := l.answer(id)
		if _, err = io.WriteString(c, extra+whole); err != nil {
			return
		}
		if extra != "" {
			l.record.add("%s sent %d bytes that belong to no request before its answer to %s", l.id, len(extra), id)
		}
		extra = ""
		if l.answers.Add(1)%garbleEvery == 0 && l.faulty.Load() {
			// The copy ends in the middle of the date.
			extra, _, _ = strings.Cut(whole, " GMT")
		}
	}
}

// answer returns the leaf's answer to a request.
func (l *rawLeaf) answer(id string) string {
	body := partOf(l.service, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nDate: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerSignature, signatureOf(l.service, id), time.Now().UTC().Format(http.TimeFormat), headerRequestID, id,
		len(body), body)
}

// partOf returns the records of a service for a request.
func partOf(service, id string) []byte {
	var part []byte
	for i := range mixedRecords {
		sum := sha256.Sum256([]byte(service + "/" + id + "/" + strconv.Itoa(i)))
		part = append(part, sum[:recordBytes]...)
	}
	return part
}

// playMixed has half of the leafs of each shard send the first part of a second copy of some answers, late: when the
// next request has arrived on the connection. Without trouble they send none.
func playMixed(w *world) (bool, error) {
	var shards []string
	var leaves []*rawLeaf
	for s := range mixedShards {
		shards = append(shards, fmt.Sprintf("shard%d", s))
		for i, zone := range []string{"olten", "aarau"} {
			l, err := startRawLeaf(w.record, w.network+".251", fmt.Sprintf("leaf-%d-%d", s, i), shards[s])
			if err != nil {
				return false, err
			}
			leaves = append(leaves, l)
			w.store.put("servers", l.id, map[string]any{
				"Service": l.service, "Address": l.listener.Addr().String(), "Zone": zone, "Version": "v1",
				"MaxConcurrency": 6, "State": "ready", "WarmupLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
			})
		}
	}
	w.putConfig([]map[string]any{{
		"Name": "r", "Host": mixedHost, "PathPrefix": "/all/", "RouteType": "idempotent", "TimeoutMs": 2000,
		"TargetLatencyMs": 200, "Priority": 1, "Gather": shards, "Attempts": 2, "TopK": mixedTop, "MinShare": 0.75,
	}}, shards, nil)
	if err := w.startNodes(nil); err != nil {
		return false, err
	}
	time.Sleep(mixedSettle)
	count := &mixedCount{}
	until := time.Now().Add(garbleTime + mixedAfter)
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		for range mixedClients {
			clients.Go(func() {
				for ; time.Now().Before(until); time.Sleep(mixedPause) {
					count.check(w, w.send(n, mixedHost, "/all/x", nil, mixedTimeLeft), shards)
				}
			})
		}
	}
	for i, l := range leaves {
		l.faulty.Store(w.trouble && i%2 == 0)
	}
	time.Sleep(garbleTime)
	for _, l := range leaves {
		l.faulty.Store(false)
	}
	clients.Wait()
	w.record.say("%d answers are right, %d failed; %d successes have a signature that belongs to another request",
		count.whole, count.failed, count.foreign)
	return count.foreign > 0, nil
}

// check counts one answer.
func (m *mixedCount) check(w *world, a answer, shards []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if a.status != http.StatusOK {
		m.failed++
		return
	}
	var named []string
	var records [][]byte
	for _, value := range a.header.Values("Magnoliastep-Part-Signatures") {
		for signature := range strings.SplitSeq(value, ",") {
			signature = strings.TrimSpace(signature)
			i := slices.IndexFunc(shards, func(s string) bool { return signatureOf(s, a.id) == signature })
			if i < 0 {
				w.record.add("FOREIGN: the answer to %s has the signature %s", a.id, signature)
				m.foreign++
				return
			}
			named = append(named, shards[i])
			for part := partOf(shards[i], a.id); len(part) > 0; part = part[recordBytes:] {
				records = append(records, part[:recordBytes])
			}
		}
	}
	sort.Slice(records, func(i, j int) bool { return bytes.Compare(records[i], records[j]) > 0 })
	if len(named) == 0 || a.body != string(bytes.Join(records[:mixedTop], nil)) {
		w.record.add("FOREIGN: the answer to %s has other records than the parts that it names", a.id)
		m.foreign++
		return
	}
	m.whole++
}
