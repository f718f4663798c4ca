// Package storer implements a fake of the platform for tests and trials: versioned objects with conditional
// updates and watches, and a list of VMs that may lag. It keeps everything in memory. A second handler, the
// control port, sets its behaviour.
package storer

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	maxValueBytes   = 1 << 20 // 1 MiB
	maxControlBytes = 8 << 20 // 8 MiB
	maxWatchWait    = time.Minute
)

type (
	// Config holds what a Storer needs.
	Config struct {
		Clock quartz.Clock
		// Seed makes the random loss of answers repeatable.
		Seed uint64
	}

	// FakePlatform is the fake platform. It is safe for concurrent use.
	FakePlatform struct {
		clock quartz.Clock
		mutex sync.Mutex
		// objects has the newest version of each object by key; a version is the store's revision at the write.
		objects  map[string]client.Object
		revision int64
		// changed is closed and replaced at each change, which wakes the watches.
		changed   chan struct{}
		behaviour *pb.PlatformBehaviour
		random    *rand.Rand
		counters  *pb.PlatformCounters
		// vmLists has all VM lists that were set, oldest first.
		vmLists []datedVMList
	}

	// datedVMList is a VM list and the time at which it was set.
	datedVMList struct {
		setAt time.Time
		vms   []*pb.PlatformVM
	}
)

// New returns an empty Storer.
func New(c Config) *FakePlatform {
	return &FakePlatform{
		clock:     c.Clock,
		objects:   map[string]client.Object{},
		changed:   make(chan struct{}),
		behaviour: &pb.PlatformBehaviour{},
		random:    rand.New(rand.NewPCG(c.Seed, c.Seed)), //nolint:gosec // repeatable faults
		counters:  &pb.PlatformCounters{},
	}
}

// Handler returns the object API.
func (s *FakePlatform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.remove)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("GET /v1/vms", s.vms)
	return s.injectFaults(mux)
}

// ControlHandler returns the handler of the control port.
func (s *FakePlatform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /behaviour", s.setBehaviour)
	mux.HandleFunc("POST /vms", s.setVMs)
	mux.HandleFunc("GET /counters", s.getCounters)
	return mux
}

// injectFaults wraps a handler so that calls are delayed or fail as the behaviour says.
func (s *FakePlatform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := s.currentBehaviour()
		if d := b.GetDelay().AsDuration(); d > 0 {
			sleeper.Sleep(r.Context(), s.clock, d)
		}
		if b.GetOutage() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *FakePlatform) currentBehaviour() *pb.PlatformBehaviour {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour
}

func (s *FakePlatform) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.counters.Reads++
	o, ok := s.objects[r.PathValue("key")]
	s.mutex.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("Etag", etag(o.Version))
	_, _ = w.Write(o.Value)
}

func (s *FakePlatform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mutex.Lock()
	s.counters.Lists++
	listing := s.listObjectsLocked(func(o client.Object) bool { return strings.HasPrefix(o.Key, prefix) })
	s.mutex.Unlock()
	writeJSON(w, listing)
}

func (s *FakePlatform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes || !json.Valid(value) {
		http.Error(w, "value is too large or no JSON", http.StatusBadRequest)
		return
	}
	version, ok := s.storeObject(r, value)
	switch {
	case !ok:
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
	case s.drawAnswerLoss():
		panic(http.ErrAbortHandler) // the write took effect but its answer is lost
	default:
		w.Header().Set("Etag", etag(version))
	}
}

func (s *FakePlatform) remove(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Writes++
	key := r.PathValue("key")
	if !s.preconditionHoldsLocked(r, key) {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	delete(s.objects, key)
	s.advanceRevisionLocked()
}

// storeObject writes the object if the request's precondition holds.
func (s *FakePlatform) storeObject(r *http.Request, value []byte) (int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Writes++
	key := r.PathValue("key")
	if !s.preconditionHoldsLocked(r, key) {
		return 0, false
	}
	s.advanceRevisionLocked()
	s.objects[key] = client.Object{Key: key, Version: s.revision, Value: value}
	return s.revision, true
}

func (s *FakePlatform) preconditionHoldsLocked(r *http.Request, key string) bool {
	o, exists := s.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && r.Header.Get("If-Match") == etag(o.Version)
}

func (s *FakePlatform) advanceRevisionLocked() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *FakePlatform) drawAnswerLoss() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < s.behaviour.GetLoseAnswerShare()
}

func (s *FakePlatform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	milliseconds, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := s.clock.NewTimer(min(maxWatchWait, time.Duration(milliseconds)*time.Millisecond))
	defer timer.Stop()
	s.mutex.Lock()
	s.counters.Watches++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		listing := s.listObjectsLocked(func(o client.Object) bool { return o.Version > after })
		changed := s.changed
		outage := s.behaviour.GetOutage()
		s.mutex.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if listing.Revision > after {
			writeJSON(w, listing)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, listing)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *FakePlatform) vms(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	s.counters.VmLists++
	list := s.visibleVMsLocked()
	s.mutex.Unlock()
	rows := make([]client.VM, 0, len(list))
	for _, v := range list {
		rows = append(rows, client.VM{
			Name: v.GetName(), IP: v.GetIp(), AvailabilityZone: v.GetAvailabilityZone(), State: v.GetState(),
		})
	}
	writeJSON(w, map[string]any{"vms": rows})
}

// visibleVMsLocked returns the newest VM list that was set at least the lag ago, or else the oldest.
func (s *FakePlatform) visibleVMsLocked() []*pb.PlatformVM {
	if s.behaviour.GetListEmpty() || len(s.vmLists) == 0 {
		return nil
	}
	now := s.clock.Now()
	lag := s.behaviour.GetListLag().AsDuration()
	for i := len(s.vmLists) - 1; i >= 0; i-- {
		if now.Sub(s.vmLists[i].setAt) >= lag {
			return s.vmLists[i].vms
		}
	}
	return s.vmLists[0].vms
}

func (s *FakePlatform) listObjectsLocked(include func(o client.Object) bool) client.Listing {
	listing := client.Listing{Objects: []client.Object{}, Revision: s.revision}
	for _, o := range s.objects {
		if include(o) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	return listing
}

func (s *FakePlatform) setBehaviour(w http.ResponseWriter, r *http.Request) {
	b := &pb.PlatformBehaviour{}
	if !decodeControlMessage(w, r, b) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = b
	close(s.changed) // wakes the watches, so that they fail at once when an outage begins
	s.changed = make(chan struct{})
}

func (s *FakePlatform) setVMs(w http.ResponseWriter, r *http.Request) {
	list := &pb.PlatformVMList{}
	if !decodeControlMessage(w, r, list) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.vmLists = append(s.vmLists, datedVMList{setAt: s.clock.Now(), vms: list.GetVms()})
}

func (s *FakePlatform) getCounters(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	counters := proto.CloneOf(s.counters)
	s.mutex.Unlock()
	body, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(counters)
	_, _ = w.Write(body)
}

func decodeControlMessage(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxControlBytes))
	if err == nil {
		err = protojson.Unmarshal(body, m)
	}
	if err != nil {
		http.Error(w, fmt.Sprintf("control message: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func etag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}
