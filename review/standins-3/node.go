//go:build review3

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	frontPort, readyPort, controlPort, directoryPort, internalPort = 8226, 8227, 8224, 8225, 7740
	readyTimeout                                                   = 15 * time.Second
)

var errNotReady = errors.New("a process did not get ready")

// node is one machine of class front with its process.
type node struct {
	name, ip string
	settings string
	log      *os.File
	process  *exec.Cmd
	exited   chan struct{}
}

// newNode writes the settings file of a machine. bounds replaces or adds fields of the settings' Bounds.
func newNode(folder, name, zone, ip, storeAddress string, seeds []string, bounds map[string]any) (*node, error) {
	allBounds := map[string]any{
		"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 4000, "AckMs": 5000, "SyncS": 4, "DrainMs": 3000, "GraceS": 6,
		"LossSlackMs": 200, "ConfigMs": 3000, "DowngradeMs": 250, "MaxSkewMs": 12000, "BudgetRatio": 0.2,
		"BudgetWindowS": 10, "BudgetSlack": 54, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12,
		"ttl_max_s": 5,
	}
	for k, v := range bounds {
		allBounds[k] = v
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	data, err := json.Marshal(map[string]any{
		"Node": name, "Role": "front", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
		"Ip": ip, "Zone": zone, "Region": "region", "Zones": map[string]string{zone: "region"},
		"ListenAddrs": map[string]string{
			"Front": address(frontPort), "ReadinessAddr": address(readyPort), "Control": address(controlPort),
			"directory": address(directoryPort),
		},
		"InternalPorts": []int{internalPort, internalPort + 15}, "Seeds": seeds, "Bootstrap": true,
		"Limits": map[string]any{
			"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
		},
		"Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
		"Bounds": allBounds,
		"platform": map[string]any{
			"Address": storeAddress, "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
			"ValueBytes": 1048576, "TtlMinMs": 1000,
		},
	})
	if err != nil {
		return nil, err
	}
	n := &node{name: name, ip: ip, settings: filepath.Join(folder, name+".json")}
	if n.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.process = exec.CommandContext(context.Background(), "target/stepfront", "run")
	n.process.Env = []string{"MAGNOLIASTEP_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", n.ip, readyPort))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

// end ends the process at once and waits for that.
func (n *node) end() {
	if n.exited == nil {
		return // it was never started
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}
