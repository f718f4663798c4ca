package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	meta struct {
		Name       string
		Rev        int64
		Created    int64
		Finalizers []string
		Deleting   bool
	}

	// object is an object of the platform's store as PROTOCOL.md shows it.
	object struct {
		Meta   meta            `json:"meta"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}

	event struct {
		Deleted bool
		Object  object
		kind    string
		rev     int64
	}

	// store is a stand-in of the platform's store. It loses nothing and answers at once.
	store struct {
		address string
		server  *http.Server
		mutex   sync.Mutex
		changed *sync.Cond
		rev     int64
		objects map[string]map[string]object
		events  []event
	}
)

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rev: 100, objects: map[string]map[string]object{}}
	s.changed = sync.NewCond(&s.mutex)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// move makes the store listen at another address and closes the former one with its connections.
func (s *store) move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	former := s.server
	s.address, s.server = l.Addr().String(), &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return former.Close()
}

// put writes an object for its owner and returns when the store acknowledged it.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.putRaw(kind, name, data)
}

func (s *store) putRaw(kind, name string, spec json.RawMessage) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeLocked(kind, name, spec)
	return time.Now()
}

func (s *store) remove(kind, name string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.rev++
		o.Meta.Rev = s.rev
		delete(s.objects[kind], name)
		s.events = append(s.events, event{Deleted: true, Object: o, kind: kind, rev: s.rev})
		s.changed.Broadcast()
	}
	return time.Now()
}

func (s *store) writeLocked(kind, name string, spec json.RawMessage) object {
	s.rev++
	o, exists := s.objects[kind][name]
	if !exists {
		o.Meta = meta{Name: name, Created: s.rev, Finalizers: []string{}}
		o.Status = json.RawMessage("null")
	}
	o.Meta.Rev, o.Spec = s.rev, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind, rev: s.rev})
	s.changed.Broadcast()
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		o, exists := s.objects[kind][name]
		s.mutex.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(o.encode())
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mutex.Lock()
	known, exists := s.objects[kind][name]
	code := http.StatusOK
	switch {
	case r.Method == http.MethodPost && exists:
		code, o = http.StatusConflict, known
	case r.Method == http.MethodPut && !exists:
		code = http.StatusNotFound
	default:
		o = s.writeLocked(kind, name, o.Spec)
	}
	s.mutex.Unlock()
	w.WriteHeader(code)
	_, _ = w.Write(o.encode())
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.rev
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	var b bytes.Buffer
	b.WriteString(`{"items":[`)
	for i, o := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(o.encode())
	}
	fmt.Fprintf(&b, `],"More":false,"At":%d}`, revision)
	_, _ = w.Write(b.Bytes())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(deadline)+time.Millisecond, s.changed.Broadcast)
	defer wake.Stop()
	var events []event
	s.mutex.Lock()
	for {
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) {
			break
		}
		s.changed.Wait()
	}
	revision := s.rev
	s.mutex.Unlock()
	var b bytes.Buffer
	b.WriteString(`{"events":[`)
	for i, e := range events {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Deleted":%t,"Object":%s}`, e.Deleted, e.Object.encode())
	}
	fmt.Fprintf(&b, `],"At":%d}`, revision)
	_, _ = w.Write(b.Bytes())
}

// encode returns the object as JSON. What its writer has put into it stays as it is.
func (o object) encode() []byte {
	m, err := json.Marshal(o.Meta)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, `{"meta":%s,"spec":%s,"status":%s}`, m, o.Spec, o.Status)
}
