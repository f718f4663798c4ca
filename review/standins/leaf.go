package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerID          = "Magnoliastep-Request-Id"
	headerTimeout     = "Magnoliastep-Timeout-Ms"
	headerTarget      = "Magnoliastep-Target-Instance"
	headerSignature   = "Magnoliastep-Response-Signature"
	headerNotExecuted = "Magnoliastep-Not-Executed"
)

type (
	// run is one request at which a leaf worked.
	run struct {
		id, leaf, path string
		arrivedAt      time.Time
		endedAt        time.Time // zero while the leaf works, or when its connection closed before
		status         int
	}

	// answer is what a leaf answers after its work.
	answer struct {
		status   int
		unsigned bool // the signature is missing
		// extra are bytes that the leaf sends after the answer, once the next request has come on the connection.
		extra string
	}

	// leaf is a stand-in of a leaf: it echoes the request ID, signs its answers, runs up to slots requests at once and
	// queues further ones.
	leaf struct {
		id, service, zone, address string
		slots                      chan struct{}
		record                     *record
		mutex                      sync.Mutex
		work                       func(r *http.Request) time.Duration
		answer                     func(n int, r *http.Request) answer
		runs                       []*run
		count                      int
		listener                   net.Listener
		connections                map[net.Conn]bool
	}
)

func startLeaf(rec *record, id, service, zone string, slots int, work time.Duration) (*leaf, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &leaf{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slots), record: rec,
		listener: l, connections: map[net.Conn]bool{},
	}
	f.setWork(work)
	f.answer = func(int, *http.Request) answer { return answer{status: http.StatusOK} }
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mutex.Lock()
			f.connections[c] = true
			f.mutex.Unlock()
			go f.serve(c)
		}
	}()
	return f, nil
}

func (f *leaf) setWork(d time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.work = func(*http.Request) time.Duration { return d }
}

// hang makes the leaf hang on a share of its requests for a time: it neither answers them nor ends their connections.
func (f *leaf) hang(share float64, during time.Duration) {
	const forever = time.Hour
	until := time.Now().Add(during)
	requests, hung := 0.0, 0.0
	f.mutex.Lock()
	defer f.mutex.Unlock()
	usual := f.work
	f.work = func(r *http.Request) time.Duration {
		requests++
		if time.Now().Before(until) && hung < share*requests {
			hung++
			return forever
		}
		return usual(r)
	}
}

// exit ends the leaf: it accepts nothing more and all its connections close.
func (f *leaf) exit() {
	f.record.add("leaf %s exits", f.id)
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for c := range f.connections {
		_ = c.Close()
	}
}

func (f *leaf) entry(state string) map[string]any {
	return map[string]any{
		"Service": f.service, "Address": f.address, "Zone": f.zone, "Version": "v1", "MaxConcurrency": cap(f.slots),
		"State": state, "WarmupLeftMs": 0, "Seq": 4, "born": 1764900000000,
	}
}

func (f *leaf) allRuns() []run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []run
	for _, r := range f.runs {
		all = append(all, *r)
	}
	return all
}

func signature(leafID, id string) string { return leafID + "." + id }

// serve answers the requests of a connection, one at a time.
func (f *leaf) serve(c net.Conn) {
	defer func() {
		f.mutex.Lock()
		delete(f.connections, c)
		f.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	extra := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get(headerID)
		if r.Header.Get(headerTarget) != f.id {
			f.record.add("leaf %s rejects %s with 421", f.id, id)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nMagnoliastep-Instance-Id: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				f.id, headerID, id)
			continue
		}
		arrivedAt := f.record.add("leaf %s gets %s %s %s", f.id, id, r.Method, r.RequestURI)
		f.slots <- struct{}{}
		f.mutex.Lock()
		f.count++
		n := f.count
		work, a := f.work(r), f.answer(f.count, r)
		this := &run{id: id, leaf: f.id, path: r.RequestURI, arrivedAt: arrivedAt}
		f.runs = append(f.runs, this)
		f.mutex.Unlock()
		if extra != "" {
			f.record.add("leaf %s sends additional bytes of an earlier answer: %q", f.id, extra)
			_, _ = io.WriteString(c, extra)
		}
		extra = a.extra
		f.record.add("leaf %s runs %s (run %d of this leaf, %v)", f.id, id, n, work)
		if !f.workOn(c, reader, work) {
			<-f.slots
			f.record.add("leaf %s drops %s: connection closed", f.id, id)
			return
		}
		body := "result of " + id + " by " + f.id
		signed := headerSignature + ": " + signature(f.id, id) + "\r\n"
		if a.unsigned {
			signed = ""
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
			a.status, http.StatusText(a.status), headerID, id, signed, len(body), body)
		f.mutex.Lock()
		this.status = a.status
		if err == nil {
			this.endedAt = time.Now()
		}
		f.mutex.Unlock()
		<-f.slots
		if err != nil {
			f.record.add("leaf %s ran %s, answer not delivered: connection closed", f.id, id)
			return
		}
		f.record.add("leaf %s answers %s with %d signed=%v", f.id, id, a.status, !a.unsigned)
	}
}

// workOn works on a request. It returns false if the connection is closed meanwhile: the leaf drops the request then.
func (f *leaf) workOn(c net.Conn, reader *bufio.Reader, work time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(work))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := reader.Peek(1)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	return false
}

// setAnswer sets what the leaf answers to its n-th request.
func (f *leaf) setAnswer(a func(n int, r *http.Request) answer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answer = a
}

// recover ends a fault that was set with setAnswer.
func (f *leaf) recover() {
	f.setAnswer(func(int, *http.Request) answer { return answer{status: http.StatusOK} })
	f.record.add("leaf %s answers as it should again", f.id)
}
