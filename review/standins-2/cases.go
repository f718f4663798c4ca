//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

// settleTime is longer than StableMs, so that all nodes are in touch after it.
const settleTime = stableTime + 2*time.Second

func init() {
	cases["cut-copy"] = func(w *world, trouble bool) (verdict, error) {
		return runsTwice(w, trouble, faultyConfig{
			namesRejected: true, stray: func(rejection string) string { return rejection[:len(rejection)/2] },
		})
	}
	cases["second-rejection"] = func(w *world, trouble bool) (verdict, error) {
		return runsTwice(w, trouble, faultyConfig{stray: func(rejection string) string { return rejection }})
	}
	cases["other-writer"] = otherWriter
	cases["lost-readers-config"] = lostReadersConfig
	cases["lost-readers-leaf"] = lostReadersLeaf
}

// runsTwice: a leaf that rejects some requests sends bytes after a rejection, at the point where the next answer is
// expected. Requests must not run more than once.
func runsTwice(w *world, trouble bool, f faultyConfig) (verdict, error) {
	w.configure(7, []map[string]any{single("r-book", "/book/", "book", "non_idempotent")},
		[]map[string]any{service("book")})
	var leaves []*faultyLeaf
	for i := range 2 * len(zones) {
		l, err := w.startFaulty(leafConfig{
			id: fmt.Sprintf("i-book%d", i), service: "book", address: w.addressOf(0, i), zone: zones[i%len(zones)], slots: 6,
			work: 20 * time.Millisecond,
		}, f, uint64(i))
		if err != nil {
			return verdict{}, err
		}
		leaves = append(leaves, l)
	}
	if err := w.startNodes(1); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	load := w.load("/book/", 40, stop)
	time.Sleep(settleTime)
	if trouble {
		for _, l := range leaves[:len(leaves)/2] {
			l.setFaulty(true)
			w.note("leaf %s becomes faulty", l.id)
		}
	}
	more := w.load("/book/", 260, stop)
	time.Sleep(5500 * time.Millisecond)
	for _, l := range leaves {
		l.setFaulty(false)
	}
	close(stop)
	load.Wait()
	more.Wait()
	runs, doubled, refused := map[string]int{}, 0, 0
	for _, x := range w.allArrivals() {
		if x.outcome == "ran" {
			runs[x.id]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			doubled++
			w.note("request %s ran %d times", id, n)
		}
		if w.statusOf(id) == 503 {
			refused++
			w.note("request %s ran and was answered 503", id)
		}
	}
	return verdict{doubled > 0, fmt.Sprintf(
		"%d of %d requests that are not idempotent ran more than once (TWICE); %d ran and were answered 503 (REFUSED)",
		doubled, len(runs), refused)}, nil
}

// otherWriter: the entry of a leaf is overwritten by one in which fields are missing, until the leaf writes it again.
func otherWriter(w *world, trouble bool) (verdict, error) {
	_, ledger, err := w.deskAndLedger(1)
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	desk, other := w.load("/desk/", 40, stop), w.load("/ledger/", 40, stop)
	time.Sleep(settleTime)
	victim := ledger[0]
	more := w.load("/desk/", 160, stop)
	time.Sleep(2 * time.Second)
	victim.awaitBeat()
	if trouble {
		entry, _ := json.Marshal(map[string]any{
			"Service": "desk", "Address": victim.address, "Zone": victim.zone, "MaxConcurrency": 6, "State": "ready", "Seq": 1,
		})
		w.store.put("servers", victim.id, json.RawMessage(entry))
		w.note("another writer leaves servers/%s: %s", victim.id, entry)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	desk.Wait()
	more.Wait()
	other.Wait()
	wrong, foreign := 0, 0
	for _, x := range w.allArrivals() {
		if x.outcome == "ran" && strings.HasPrefix(x.leaf, "i-ledger") && strings.HasPrefix(x.path, "/desk/") {
			wrong++
			if w.statusOf(x.id) == 200 {
				foreign++
			}
		}
	}
	return verdict{wrong > 0, fmt.Sprintf("%d requests of the route /desk/ ran at leaf %s of the service ledger; "+
		"the callers of %d got its answer as a success", wrong, victim.id, foreign)}, nil
}

// lostReadersConfig: most machines lose power, and a route moves to another service. The machines that are left must
// follow the version in time.
func lostReadersConfig(w *world, trouble bool) (verdict, error) {
	const lost = 16
	if _, _, err := w.deskAndLedger(6); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	order := w.readers("config")
	left := order[lost:]
	stop := make(chan struct{})
	w.loadDirectly(left, "/desk/", stop)
	time.Sleep(time.Second)
	if trouble {
		w.losePower(order[:lost])
	}
	time.Sleep(50 * time.Millisecond)
	w.configure(8, []map[string]any{
		single("r-desk", "/desk/", "ledger", "idempotent"), single("r-ledger", "/ledger/", "ledger", "idempotent"),
	}, []map[string]any{service("desk"), service("ledger")})
	acknowledged := time.Now()
	w.note("the store acknowledges version 8, which moves /desk/ to the service ledger")
	time.Sleep(12 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	old, last := 0, map[string]time.Duration{}
	for _, x := range w.allArrivals() {
		if x.outcome == "ran" && strings.HasPrefix(x.leaf, "i-desk") && w.sentAt(x.id).Sub(acknowledged) > configTime {
			old++
			last[x.machine] = max(last[x.machine], w.sentAt(x.id).Sub(acknowledged).Round(time.Millisecond))
		}
	}
	return verdict{old > 0, fmt.Sprintf("%d requests sent later than ConfigMs after the acknowledgement were run by the "+
		"old service; the last of each machine after %v", old, last)}, nil
}

// lostReadersLeaf: most machines lose power, and a leaf leaves without notice. The machines that are left must send it
// nothing later than DrainMs after its entry was removed.
func lostReadersLeaf(w *world, trouble bool) (verdict, error) {
	const lost = 7
	desk, _, err := w.deskAndLedger(3)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	order := w.readers("servers")
	left := order[lost:]
	victim := desk[slices.Index(zones, order[len(order)-1].zone)]
	stop := make(chan struct{})
	w.loadDirectly(left, "/desk/", stop)
	time.Sleep(time.Second)
	if trouble {
		w.losePower(order[:lost])
	}
	time.Sleep(50 * time.Millisecond)
	acknowledged := victim.leave()
	w.note("%s leaves without notice: the store acknowledges that its entry is removed", victim.id)
	time.Sleep(8 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	late, last := 0, map[string]time.Duration{}
	for _, x := range w.allArrivals() {
		if x.leaf == victim.id && x.outcome != "other instance" && x.at.Sub(acknowledged) > drainTime {
			late++
			last[x.machine] = max(last[x.machine], x.at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached %s later than DrainMs after the acknowledgement; "+
		"the last of each machine after %v", late, victim.id, last)}, nil
}

// deskAndLedger starts two services with a leaf in each zone, and nodes.
func (w *world) deskAndLedger(nodesPerZone int) (desk, ledger []*leaf, err error) {
	w.configure(7, []map[string]any{
		single("r-desk", "/desk/", "desk", "idempotent"), single("r-ledger", "/ledger/", "ledger", "idempotent"),
	}, []map[string]any{service("desk"), service("ledger")})
	for i, z := range zones {
		for group, name := range []string{"desk", "ledger"} {
			l, err := w.startLeaf(leafConfig{
				id: fmt.Sprintf("i-%s%d", name, i), service: name, address: w.addressOf(group, i), zone: z, slots: 6,
				work: 10 * time.Millisecond,
			})
			if err != nil {
				return nil, nil, err
			}
			if group == 0 {
				desk = append(desk, l)
			} else {
				ledger = append(ledger, l)
			}
		}
	}
	return desk, ledger, w.startNodes(nodesPerZone)
}

// readers returns the nodes in the order in which they read a kind of objects from the store in place of one another.
func (w *world) readers(kind string) []*node {
	var members []*pb.Member
	for _, n := range w.nodes {
		members = append(members, &pb.Member{Name: n.name, AvailabilityZone: n.zone})
	}
	var order []*node
	for _, m := range ranker.Rank(ranker.Key{Name: "store-reader/" + kind}, members) {
		order = append(order, w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == m.GetName() })])
	}
	return order
}

// losePower stops the processes of machines for good, so that they are silent as machines without power are.
func (w *world) losePower(nodes []*node) {
	for _, n := range nodes {
		_ = n.command.Process.Signal(syscall.SIGSTOP)
	}
	var names []string
	for _, n := range nodes {
		names = append(names, n.name)
	}
	w.note("%d of %d machines lose power: %s", len(nodes), len(w.nodes), strings.Join(names, " "))
}
