// Package platformfaker implements a fake of the platform for tests and trials: versioned objects with conditional
// updates and watches, and a list of VMs that may lag. It keeps everything in memory. A second handler, the
// control port, sets its behaviour.
package platformfaker

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
	// Config holds what a FakePlatform needs.
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

// New returns an empty FakePlatform.
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
func (f *FakePlatform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", f.list)
	mux.HandleFunc("GET /v1/objects/{key...}", f.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", f.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", f.remove)
	mux.HandleFunc("GET /v1/watch", f.watch)
	mux.HandleFunc("GET /v1/vms", f.vms)
	return f.injectFaults(mux)
}

// ControlHandler returns the handler of the control port.
func (f *FakePlatform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /behaviour", f.setBehaviour)
	mux.HandleFunc("POST /vms", f.setVMs)
	mux.HandleFunc("GET /counters", f.getCounters)
	return mux
}

// injectFaults wraps a handler so that calls are delayed or fail as the behaviour says.
func (f *FakePlatform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := f.currentBehaviour()
		if d := b.GetDelay().AsDuration(); d > 0 {
			sleeper.Sleep(r.Context(), f.clock, d)
		}
		if b.GetOutage() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (f *FakePlatform) currentBehaviour() *pb.PlatformBehaviour {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.behaviour
}

func (f *FakePlatform) get(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	f.counters.Reads++
	o, ok := f.objects[r.PathValue("key")]
	f.mutex.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("Etag", etag(o.Version))
	_, _ = w.Write(o.Value)
}

func (f *FakePlatform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	f.mutex.Lock()
	f.counters.Lists++
	listing := f.listObjectsLocked(func(o client.Object) bool { return strings.HasPrefix(o.Key, prefix) })
	f.mutex.Unlock()
	writeJSON(w, listing)
}

func (f *FakePlatform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes || !json.Valid(value) {
		http.Error(w, "value is too large or no JSON", http.StatusBadRequest)
		return
	}
	version, ok := f.storeObject(r, value)
	switch {
	case !ok:
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
	case f.drawAnswerLoss():
		panic(http.ErrAbortHandler) // the write took effect but its answer is lost
	default:
		w.Header().Set("Etag", etag(version))
	}
}

func (f *FakePlatform) remove(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counters.Writes++
	key := r.PathValue("key")
	if !f.preconditionHoldsLocked(r, key) {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	delete(f.objects, key)
	f.advanceRevisionLocked()
}

// storeObject writes the object if the request's precondition holds.
func (f *FakePlatform) storeObject(r *http.Request, value []byte) (int64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counters.Writes++
	key := r.PathValue("key")
	if !f.preconditionHoldsLocked(r, key) {
		return 0, false
	}
	f.advanceRevisionLocked()
	f.objects[key] = client.Object{Key: key, Version: f.revision, Value: value}
	return f.revision, true
}

func (f *FakePlatform) preconditionHoldsLocked(r *http.Request, key string) bool {
	o, exists := f.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && r.Header.Get("If-Match") == etag(o.Version)
}

func (f *FakePlatform) advanceRevisionLocked() {
	f.revision++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *FakePlatform) drawAnswerLoss() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64() < f.behaviour.GetLoseAnswerShare()
}

func (f *FakePlatform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	milliseconds, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := f.clock.NewTimer(min(maxWatchWait, time.Duration(milliseconds)*time.Millisecond))
	defer timer.Stop()
	f.mutex.Lock()
	f.counters.Watches++
	f.mutex.Unlock()
	for {
		f.mutex.Lock()
		listing := f.listObjectsLocked(func(o client.Object) bool { return o.Version > after })
		changed := f.changed
		outage := f.behaviour.GetOutage()
		f.mutex.Unlock()
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

func (f *FakePlatform) vms(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	f.counters.VmLists++
	list := f.visibleVMsLocked()
	f.mutex.Unlock()
	rows := make([]client.VM, 0, len(list))
	for _, v := range list {
		rows = append(rows, client.VM{
			Name: v.GetName(), IP: v.GetIp(), AvailabilityZone: v.GetAvailabilityZone(), State: v.GetState(),
		})
	}
	writeJSON(w, map[string]any{"vms": rows})
}

// visibleVMsLocked returns the newest VM list that was set at least the lag ago, or else the oldest.
func (f *FakePlatform) visibleVMsLocked() []*pb.PlatformVM {
	if f.behaviour.GetListEmpty() || len(f.vmLists) == 0 {
		return nil
	}
	now := f.clock.Now()
	lag := f.behaviour.GetListLag().AsDuration()
	for i := len(f.vmLists) - 1; i >= 0; i-- {
		if now.Sub(f.vmLists[i].setAt) >= lag {
			return f.vmLists[i].vms
		}
	}
	return f.vmLists[0].vms
}

func (f *FakePlatform) listObjectsLocked(include func(o client.Object) bool) client.Listing {
	listing := client.Listing{Objects: []client.Object{}, Revision: f.revision}
	for _, o := range f.objects {
		if include(o) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	return listing
}

func (f *FakePlatform) setBehaviour(w http.ResponseWriter, r *http.Request) {
	b := &pb.PlatformBehaviour{}
	if !decodeControlMessage(w, r, b) {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.behaviour = b
	close(f.changed) // wakes the watches, so that they fail at once when an outage begins
	f.changed = make(chan struct{})
}

func (f *FakePlatform) setVMs(w http.ResponseWriter, r *http.Request) {
	list := &pb.PlatformVMList{}
	if !decodeControlMessage(w, r, list) {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.vmLists = append(f.vmLists, datedVMList{setAt: f.clock.Now(), vms: list.GetVms()})
}

func (f *FakePlatform) getCounters(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	counters := proto.CloneOf(f.counters)
	f.mutex.Unlock()
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
