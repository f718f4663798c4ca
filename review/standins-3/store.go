//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
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

	object struct {
		Meta   meta            `json:"meta"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}

	event struct {
		Deleted bool
		Object  object
		kind    string
	}

	// store is a stand-in for the platform's store. It serves lists, watches and writes of whole objects.
	store struct {
		record   *record
		address  string
		listener net.Listener
		mutex    sync.Mutex
		// changed is closed and replaced with each change.
		changed chan struct{}
		rev     int64
		objects map[string]map[string]object
		history []event
		// down is set while calls are answered with 503 and nothing is done.
		down bool
		// era rises by one each time that the store comes back from a copy.
		era int64
	}

	// storeCopy is a copy of the store.
	storeCopy struct {
		rev     int64
		objects map[string]map[string]object
		history []event
	}
)

func startStore(r *record, ip string) (*store, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		record: r, address: l.Addr().String(), listener: l, changed: make(chan struct{}), rev: 10, era: 3,
		objects: map[string]map[string]object{},
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: headTime}).Serve(l) }()
	return s, nil
}

// put writes an object on behalf of its owner and returns the time of the acknowledgement. A write that changes nothing
// makes no new revision.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(data) {
		return time.Now()
	}
	if !exists {
		o.Meta = meta{Name: name, Created: s.rev + 1, Finalizers: []string{}}
	}
	o.Spec = data
	s.storeLocked(kind, o)
	return time.Now()
}

// copy returns a copy of what the store holds now.
func (s *store) copy() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{rev: s.rev, objects: cloneObjects(s.objects), history: append([]event(nil), s.history...)}
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.rev, s.objects, s.history = c.rev, cloneObjects(c.objects), append([]event(nil), c.history...)
	s.wakeLocked()
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	clone := map[string]map[string]object{}
	for kind, named := range objects {
		clone[kind] = maps.Clone(named)
	}
	return clone
}

func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wakeLocked()
}

func (s *store) storeLocked(kind string, o object) object {
	s.rev++
	o.Meta.Rev = s.rev
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.addLocked(event{Object: o, kind: kind})
	return o
}

func (s *store) addLocked(e event) {
	s.history = append(s.history, e)
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of nodes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mutex.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
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
		answerJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.rev
	s.mutex.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "More": false, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mutex.Lock()
		events, at, changed, down := []event{}, s.rev, s.changed, s.down
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		gone := after > s.rev
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Rev > after {
				events = append(events, e)
			}
		}
		s.mutex.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !waiting:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil && r.Method != http.MethodDelete {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Meta.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		exists && sent.Meta.Rev != 0 && sent.Meta.Rev != held.Meta.Rev:
		answerJSON(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.rev++
		held.Meta.Rev = s.rev
		delete(s.objects[kind], name)
		s.addLocked(event{Deleted: true, Object: held, kind: kind})
		answerJSON(w, http.StatusOK, held)
	case isStatus:
		held.Status = sent.Status
		answerJSON(w, http.StatusOK, s.storeLocked(kind, held))
	default:
		if !exists {
			held.Meta = meta{Name: name, Created: s.rev + 1}
		}
		held.Meta.Finalizers, held.Spec = sent.Meta.Finalizers, sent.Spec
		answerJSON(w, http.StatusOK, s.storeLocked(kind, held))
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
