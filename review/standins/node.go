package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one process of the project, started with the command of deploy/system.toml.
type node struct {
	name, zone                               string
	front, ready, control, directory, metric string
	settings                                 string
	log                                      string
	process                                  *exec.Cmd
	exited                                   chan struct{}
	exitedAt                                 time.Time
	record                                   *record
}

// The ports of the nodes are below those that the system gives to clients' connections.
const firstPort, lastPort = 12000, 30000

// freePorts returns free ports on the loopback address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", address(port))
		if err != nil {
			if tries > 100*n {
				return nil, err
			}
			continue
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, port)
	}
	return ports, nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newNodes prepares nodes, one in each of the zones in turn, with settings like those that DEPLOY.md shows.
func newNodes(rec *record, folder, storeAddress string, zones []string, count int, staleSeeds bool) ([]*node, error) {
	var nodes []*node
	ports, err := freePorts(5*count + 3)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range count {
		p := ports[5*i : 5*i+5]
		zone := zones[i%len(zones)]
		n := &node{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, front: address(p[0]), ready: address(p[1]),
			control: address(p[2]), directory: address(p[3]), metric: address(p[4]), record: rec,
		}
		n.settings, n.log = filepath.Join(folder, n.name+".json"), filepath.Join(folder, n.name+".log")
		if i < 3 {
			seeds = append(seeds, n.control)
		}
		nodes = append(nodes, n)
	}
	if staleSeeds {
		seeds = nil
		for _, port := range ports[5*count:] {
			seeds = append(seeds, address(port))
		}
	}
	byZone := map[string]string{}
	for _, z := range zones {
		byZone[z] = "ch-mittelland"
	}
	for i, n := range nodes {
		data, err := json.MarshalIndent(map[string]any{
			"Node": n.name, "Role": "front", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
			"Ip": "127.0.0.1", "Zone": n.zone, "Region": "ch-mittelland", "Zones": byZone,
			"ListenAddrs": map[string]string{
				"Front": n.front, "ReadinessAddr": n.ready, "Control": n.control, "directory": n.directory,
			},
			"InternalPorts": []int{ports[5*i+4], ports[5*i+4]}, "Seeds": seeds, "Bootstrap": true, "InLossBudget": false,
			"Limits": map[string]any{
				"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
			},
			"DataDir": nil, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
			"FaultTolerance": map[string]int{"Machines": 2, "Zones": 1, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 4000, "AckMs": 5000, "SyncS": 4, "DrainMs": 3000, "GraceS": 6,
				"LossSlackMs": 200, "ConfigMs": 3000, "DowngradeMs": 250, "MaxSkewMs": 12000, "BudgetRatio": 0.2,
				"BudgetWindowS": 10, "BudgetSlack": 54, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12,
				"ttl_max_s": 5,
			},
			"platform": map[string]any{
				"Address": storeAddress, "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
				"ValueBytes": 1048576, "TtlMinMs": 1000,
			},
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// restartLater says in the settings that the system does not start for the first time any more.
func (n *node) restartLater() error {
	return n.changeSettings(`"Bootstrap": true`, `"Bootstrap": false`)
}

// changeSettings replaces a text in the settings file of the node.
func (n *node) changeSettings(before, after string) error {
	data, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	changed := bytes.Replace(data, []byte(before), []byte(after), 1)
	if err := os.WriteFile(n.settings+".new", changed, 0o600); err != nil {
		return err
	}
	return os.Rename(n.settings+".new", n.settings)
}

// start starts the process of the node in the repository root.
func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.process = exec.Command("target/stepfront", "run")
	n.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"MAGNOLIASTEP_CONFIG=" + n.settings,
	}
	n.process.Stdout, n.process.Stderr = out, out
	if err := n.process.Start(); err != nil {
		return err
	}
	n.record.add("start %s: target/stepfront run, process %d, front %s", n.name, n.process.Process.Pid, n.front)
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	go func() {
		err := process.Wait()
		n.exitedAt = n.record.add("process of %s ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) time.Time {
	at := n.record.add("signal %v to %s", s, n.name)
	_ = n.process.Process.Signal(s)
	return at
}

// kill ends the process if it still runs.
func (n *node) kill() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	select {
	case <-n.exited:
	default:
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

func (n *node) hasEnded() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready. It returns false after the timeout, or when a process has ended.
func awaitReady(nodes []*node, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.hasEnded() {
				return false
			}
			if n.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			return true
		}
	}
	return false
}
