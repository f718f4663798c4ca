// Command standins holds the stand-ins of the review's scripts: the platform's store, leaves and clients. It starts
// the processes of the project with the command of the deploy file and checks one rule.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario is one script. It returns whether the rule was broken, or an error if it could not run.
type scenario func(e *environment) (broken bool, err error)

// environment is what a scenario uses.
type environment struct {
	record *record
	folder string
	// trouble is false for a run without the disruption.
	trouble bool
	store   *store
	nodes   []*node
	// nodeCount is the number of nodes; 0 means one in each zone.
	nodeCount int
	// staleSeeds is set if nothing listens at the seeds of the settings any more.
	staleSeeds bool
	// warmUpRate is WarmupPerS of all services.
	warmUpRate float64
}

// The exit statuses of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	os.Exit(runScenario())
}

func runScenario() int {
	scenarios := map[string]scenario{
		"wrong-bytes": wrongBytes, "extra-bytes": extraBytes, "false-promise": falsePromise, "planned-stop": plannedStop,
		"queue-of-draining-leaf": queueOfDrainingLeaf, "unreadable-entry": unreadableEntry, "route-name": routeName, "cold-leaf": coldLeaf, "moved-store": movedStore,
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO RECORD-FILE")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &environment{record: rec, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	defer e.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		e.end()
		os.Exit(exitNotRun)
	}()
	rec.add("scenario %s, disruption %v", os.Args[1], e.trouble)
	broken, err := scenarios[os.Args[1]](e)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// end ends all processes that the scenario started.
func (e *environment) end() {
	for _, n := range e.nodes {
		n.kill()
		if os.Getenv("KEEP_LOGS") == "" {
			continue
		}
		if data, err := os.ReadFile(n.log); err == nil {
			fmt.Fprintf(os.Stderr, "== log of %s\n%s", n.name, data)
		}
	}
	_ = os.RemoveAll(e.folder)
}

// startSystem starts the store, which already holds the configuration and the entries of the leaves, and the nodes. It
// returns once every node has been ready for the time after which it counts as being in touch.
func (e *environment) startSystem(routes []map[string]any, services []string, leaves []*leaf) error {
	var err error
	if e.store, err = newStore(); err != nil {
		return err
	}
	e.putConfiguration(1, routes, services)
	for _, f := range leaves {
		e.store.put("servers", f.id, f.entry("ready"))
	}
	count := len(zones)
	if e.nodeCount > 0 {
		count = e.nodeCount
	}
	const attempts = 5
	for attempt := 1; ; attempt++ {
		if e.nodes, err = newNodes(e.record, e.folder, e.store.address, zones, count, e.staleSeeds); err != nil {
			return err
		}
		for _, n := range e.nodes {
			if err := n.start(); err != nil {
				return err
			}
		}
		if awaitReady(e.nodes, 20*time.Second) {
			break
		}
		portTaken := false
		for _, n := range e.nodes {
			n.kill()
			if data, err := os.ReadFile(n.log); err == nil {
				e.record.add("end of the log of %s: %s", n.name, data[max(0, len(data)-2000):])
				portTaken = portTaken || bytes.Contains(data, []byte("address already in use"))
			}
			_ = os.Remove(n.log)
		}
		// Another program may have taken a port between its choice and the start of the process.
		if !portTaken || attempt == attempts {
			return fmt.Errorf("nodes did not become ready")
		}
	}
	time.Sleep(6 * time.Second)
	e.record.add("all nodes have been ready for 6 s")
	return nil
}

func (e *environment) putConfiguration(version int, routes []map[string]any, services []string) time.Time {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false, "WarmupS": 3.0,
			"WarmupPerS": e.warmUpRate,
		})
	}
	at := e.store.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	})
	e.record.add("configuration version %d acknowledged", version)
	return at
}

// route returns a route to one service.
func route(name, prefix, kind, service string, timeoutMS, targetMS int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": timeoutMS,
		"TargetLatencyMs": targetMS, "Priority": 1, "Service": service, "Attempts": 2,
	}
}

// startLeaves starts leaves of a service, in each zone in turn.
func (e *environment) startLeaves(service string, count, slots int, work time.Duration) ([]*leaf, error) {
	var leaves []*leaf
	for i := range count {
		z := zones[i%len(zones)]
		f, err := startLeaf(e.record, fmt.Sprintf("i-%s-%d", service, i+1), service, z, slots, work)
		if err != nil {
			return nil, err
		}
		e.record.add("leaf %s of %s in %s at %s", f.id, service, z, f.address)
		leaves = append(leaves, f)
	}
	return leaves, nil
}
