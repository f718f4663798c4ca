//go:build review2

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name, lists, watches
// and conditional writes. It is never slow, down or restored.
type store struct {
	mutex   sync.Mutex
	changed chan struct{}
	rev     int64
	objects map[string]map[string]storeObject
	events  []storeEvent
	server  *http.Server
}

type storeMeta struct {
	Name    string
	Rev     int64
	Created int64
}

type storeObject struct {
	Meta   storeMeta       `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	kind    string
	Object  storeObject
	Deleted bool
}

func newStore(address string) (*store, error) {
	s := &store{rev: 1, changed: make(chan struct{}), objects: map[string]map[string]storeObject{}}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object whatever was there before, and returns when it was acknowledged. A write that changes nothing
// does not increase the revision.
func (s *store) put(kind, name string, spec any) time.Time {
	data, ok := spec.(json.RawMessage)
	if !ok {
		data, _ = json.Marshal(spec)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.putLocked(kind, name, data)
	return time.Now()
}

func (s *store) putLocked(kind, name string, data json.RawMessage) storeObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(data) {
		return o
	}
	s.rev++
	if !exists {
		o.Meta = storeMeta{Name: name, Created: time.Now().UnixMilli()}
	}
	o.Meta.Rev, o.Spec = s.rev, data
	s.objects[kind][name] = o
	s.publish(storeEvent{kind: kind, Object: o})
	return o
}

// remove removes an object and returns when that was acknowledged.
func (s *store) remove(kind, name string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, exists := s.objects[kind][name]
	if exists {
		delete(s.objects[kind], name)
		s.rev++
		o.Meta.Rev = s.rev
		s.publish(storeEvent{kind: kind, Object: o, Deleted: true})
	}
	return time.Now()
}

func (s *store) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Store-Era", "1")
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var o storeObject
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, o.Meta.Rev > 0 && o.Meta.Rev != known.Meta.Rev:
		answerJSON(w, http.StatusConflict, known)
	default:
		answerJSON(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	o, exists := s.objects[kind][name]
	s.mutex.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := []storeObject{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.rev
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "More": false, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Rev > after {
				events = append(events, map[string]any{"Object": e.Object, "Deleted": e.Deleted})
			}
		}
		at, changed := s.rev, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || over {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
