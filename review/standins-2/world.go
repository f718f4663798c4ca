//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds and other settings as the settings of DEPLOY.md have them.
const (
	drainTime  = 3 * time.Second
	stableTime = 4 * time.Second
	configTime = 3 * time.Second
	timeout    = 2 * time.Second
	host       = "desk.example"
)

var zones = []string{"olten", "aarau", "brugg"}

// world is one small deployment on loopback addresses of its own: the store and the leaves as stand-ins in this
// process, the nodes as processes of the project's program.
type world struct {
	network   string // the first two numbers of all addresses
	folder    string
	startedAt time.Time
	store     *store
	nodes     []*node
	requests  atomic.Int64

	mutex    sync.Mutex
	record   *os.File
	arrivals []arrival
	answers  map[string]int
	sent     map[string]sending // by request ID
}

// sending is a request as its client has seen it.
type sending struct {
	at      time.Time
	address string
	// status is 0 without an answer.
	status int
}

type node struct {
	name, ip, zone string
	command        *exec.Cmd
	log            *os.File
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder, startedAt: time.Now(), record: record, answers: map[string]int{}, sent: map[string]sending{},
	}
	for attempt := 0; ; attempt++ {
		w.network = fmt.Sprintf("127.%d", 64+rand.IntN(150))
		if w.store, err = newStore(w.address(0, 7, 8229)); err == nil {
			return w, nil
		}
		if attempt == 20 {
			return nil, err
		}
	}
}

func (w *world) address(group, number, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.network, group, number, port)
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.noteLocked(time.Now(), format, values...)
}

func (w *world) noteLocked(at time.Time, format string, values ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", at.Sub(w.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func (w *world) arrived(a arrival) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.noteLocked(a.at, "leaf %s gets %s %s from %s: %s", a.leaf, a.id, a.path, a.machine, a.outcome)
}

// allArrivals returns the requests that leaves have received so far.
func (w *world) allArrivals() []arrival {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// startNodes starts nodes in each zone and waits until all are ready.
func (w *world) startNodes(perZone int) error {
	for number := range perZone {
		for i, zone := range zones {
			n := &node{
				name: fmt.Sprintf("front-%s-%d", zone, number+1), ip: fmt.Sprintf("%s.%d.%d", w.network, i+1, 39+number),
				zone: zone,
			}
			w.nodes = append(w.nodes, n)
		}
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.awaitReady(n); err != nil {
			return err
		}
	}
	w.note("all nodes are ready")
	return nil
}

func (w *world) startNode(n *node) error {
	zoneRegions := map[string]string{}
	for _, z := range zones {
		zoneRegions[z] = "ch-mittelland"
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%s.%d.39:8224", w.network, i+1))
	}
	settings, err := json.MarshalIndent(map[string]any{
		"Node": n.name, "Role": "front", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
		"Ip": n.ip, "Zone": n.zone, "Region": "ch-mittelland", "Zones": zoneRegions,
		"ListenAddrs": map[string]string{
			"Front": n.ip + ":8226", "ReadinessAddr": n.ip + ":8227", "Control": n.ip + ":8224", "directory": n.ip + ":8225",
		},
		"InternalPorts": []int{7740, 7755}, "Seeds": seeds, "Bootstrap": true, "InLossBudget": false,
		"Limits": map[string]any{
			"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000, "DiskMb": 0,
		},
		"Discovery": "platform", "Entry": "directory", "HeartbeatMs": heartbeat.Milliseconds(),
		"Contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform",
		},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": stableTime.Milliseconds(), "AckMs": 5000, "SyncS": 4,
			"DrainMs": drainTime.Milliseconds(), "GraceS": 6, "LossSlackMs": 200,
			"ConfigMs": configTime.Milliseconds(), "DowngradeMs": 250,
			"MaxSkewMs": 12000, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 54, "ColdOver": 1.5,
			"ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"Address": w.address(0, 7, 8229), "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
			"ValueBytes": 1048576, "TtlMinMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(w.folder, n.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(w.folder, n.name+".log")); err != nil {
		return err
	}
	// The command of deploy/system.toml.
	n.command = exec.Command("target/stepfront", "run")
	n.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MAGNOLIASTEP_CONFIG=" + path,
	}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.command.Start()
}

func (w *world) awaitReady(n *node) error {
	for range 200 {
		response, err := http.Get("http://" + n.ip + ":8227/api/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", n.name)
}

// end ends all processes and servers of the world.
func (w *world) end() {
	for _, n := range w.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGKILL)
			_ = n.command.Wait()
		}
		if n.log != nil {
			_ = n.log.Close()
		}
	}
	_ = w.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
	_ = w.record.Close()
}

// resolve asks a node where a client of a zone is to connect.
func (w *world) resolve(zone string) []string {
	for _, n := range w.nodes {
		query := url.Values{"Name": {host}, "Region": {"ch-mittelland"}, "Zone": {zone}}
		response, err := http.Get("http://" + n.ip + ":8225/api/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var a struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(response.Body).Decode(&a)
		_ = response.Body.Close()
		if err == nil && len(a.Addrs) > 0 {
			return a.Addrs
		}
	}
	return nil
}

// load sends requests on a path at a steady rate until stop is closed, each to a node that the directory names.
func (w *world) load(path string, perSecond float64, stop <-chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	running.Go(func() {
		addresses, resolvedAt := w.resolve(zones[0]), time.Now()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			if time.Since(resolvedAt) > 2*time.Second {
				if found := w.resolve(zones[rand.IntN(len(zones))]); len(found) > 0 {
					addresses, resolvedAt = found, time.Now()
				}
			}
			if len(addresses) > 0 {
				address := addresses[rand.IntN(len(addresses))]
				running.Go(func() { w.request(address, path) })
			}
		}
	})
	return &running
}

// loadDirectly sends requests on a path to each of the nodes, as clients do that have their addresses.
func (w *world) loadDirectly(nodes []*node, path string, stop <-chan struct{}) {
	for _, n := range nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
					go w.request(n.ip+":8226", path)
				}
			}
		}()
	}
}

func (w *world) request(address, path string) {
	number := w.requests.Add(1)
	id := fmt.Sprintf("%016x", number)
	path = fmt.Sprintf("%s%x", path, number)
	w.mutex.Lock()
	w.sent[id] = sending{at: time.Now(), address: address}
	w.noteLocked(time.Now(), "client sends %s %s to %s", id, path, address)
	w.mutex.Unlock()
	a := ask(address, path, id)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if a.err != nil {
		w.answers["no answer"]++
		w.noteLocked(time.Now(), "client gets no answer to %s: %v", id, a.err)
		return
	}
	s := w.sent[id]
	s.status = a.status
	w.sent[id] = s
	w.answers[fmt.Sprint(a.status)]++
	w.noteLocked(time.Now(), "client gets %d to %s: %s", a.status, id, strings.TrimSpace(a.body))
}

// sentTo returns the name of the node to which a client has sent a request.
func (w *world) sentTo(id string) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, n := range w.nodes {
		if w.sent[id].address == n.ip+":8226" {
			return n.name
		}
	}
	return ""
}

func (w *world) sentAt(id string) time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.sent[id].at
}

func (w *world) statusOf(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.sent[id].status
}

// addressOf returns the address of a leaf of a service.
func (w *world) addressOf(group, number int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d.%d", w.network, 100+group, 10+number), "8080")
}

// single returns a route to one service.
func single(name, prefix, service, routeType string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": routeType, "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": 200, "Priority": 1, "Service": service, "Attempts": 2,
	}
}

func service(name string) map[string]any {
	return map[string]any{
		"Name": name, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false, "WarmupS": 3,
		"WarmupPerS": 0,
	}
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes, services []map[string]any) {
	w.store.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Limits": map[string]int{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	})
}
