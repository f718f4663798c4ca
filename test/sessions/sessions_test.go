// Package sessions_test runs end-to-end sessions of real processes over loopback. Each folder holds one session in
// a txtar file: the script, the faults that it injects and the expected output. The command scrub replaces volatile
// fields. Scripts wait for conditions; no result depends on how long a step takes.
package sessions_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	exampleFolder = "../../examples/demo"
	hostsPerZone  = 60
	// sessionStride must exceed the number of sessions, so that their network numbers stay distinct.
	sessionStride = 20
	maxNetworks   = 250
	// maxParallelSessions limits the number of processes; a session has about eight.
	maxParallelSessions = 3
)

var demoAddress = regexp.MustCompile(`127\.30\.(\d+)\.(\d+)`)

// buildPrograms builds the programs once and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	output, err := exec.Command("go", "build", "-o", folder, "../../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build programs: %v\n%s", err, output)
	}
	return folder
}

func TestSessions(t *testing.T) {
	programs := buildPrograms(t)
	files, err := filepath.Glob("*/session.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	slots := make(chan struct{}, maxParallelSessions)
	for i, f := range files {
		t.Run(filepath.Dir(f), func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{
				Files: []string{f}, RequireExplicitExec: true, UpdateScripts: os.Getenv("UPDATE") != "",
				Setup: func(e *testscript.Env) error {
					slots <- struct{}{}
					e.Defer(func() { <-slots })
					return setUp(e, programs, i+1)
				},
				Cmds: commands(),
			})
		})
	}
}

// reserveNetwork returns the number of a loopback network that no other run on this machine uses. It holds a port in
// that network until the session ends.
func reserveNetwork(e *testscript.Env, session int) (int, error) {
	for network := session; network < maxNetworks; network += sessionStride {
		l, err := net.Listen("tcp", fmt.Sprintf("127.45.%d.250:6999", network))
		if err == nil {
			e.Defer(func() { _ = l.Close() })
			return network, nil
		}
	}
	return 0, fmt.Errorf("no network is free for session %d", session)
}

// setUp gives each session its own loopback network and a configuration for it.
func setUp(e *testscript.Env, programs string, session int) error {
	network, err := reserveNetwork(e, session)
	if err != nil {
		return err
	}
	host := func(zone, number int) string {
		return fmt.Sprintf("127.45.%d.%d", network, zone*hostsPerZone+number)
	}
	files, err := filepath.Glob(filepath.Join(exampleFolder, "*.json"))
	if err != nil {
		return err
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		moved := demoAddress.ReplaceAllStringFunc(string(text), func(a string) string {
			m := demoAddress.FindStringSubmatch(a)
			zone, _ := strconv.Atoi(m[1])
			number, _ := strconv.Atoi(m[2])
			return host(zone, number)
		})
		if err := os.WriteFile(filepath.Join(e.WorkDir, filepath.Base(f)), []byte(moved), 0o600); err != nil {
			return err
		}
	}
	e.Values[clusterKey{}] = newCluster(e.WorkDir)
	e.Setenv("PATH", programs+string(os.PathListSeparator)+os.Getenv("PATH"))
	e.Setenv("PLATFORM", host(0, 1)+":7001")
	e.Setenv("STEPCTL_TOKEN", "bootstrap-token")
	for i, zone := range []string{"a", "b", "c"} {
		node := host(i+1, 1)
		e.Setenv("NODE_"+strings.ToUpper(zone), node+":7200")
		e.Setenv("ENTRY_"+strings.ToUpper(zone), node+":7400")
		e.Setenv("LEAVES_"+strings.ToUpper(zone), host(0, 1)+fmt.Sprintf(":701%d", i+1))
	}
	e.Setenv("STEPCTL_NODE", host(1, 1)+":7200")
	return nil
}
