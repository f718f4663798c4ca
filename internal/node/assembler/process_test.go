package assembler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	networkPrefix = "127.43"
	lockPort      = "6999"
	callerCount   = 6
	startDeadline = 30 * time.Second
	stopDeadline  = 60 * time.Second
	firstOctet    = 20
	octetsPerRun  = 4 // third octets that the addresses of the demo use
)

type (
	// processes manages the stepd and stepfake processes of one test, by name.
	processes struct {
		t         *testing.T
		directory string
		// baseOctet is the first of the four third octets that are reserved for this run.
		baseOctet int
		mutex     sync.Mutex
		commands  map[string]*exec.Cmd
	}

	// caller fetches the list of entries, keeps it for as long as it is valid, and sends one search at a time.
	caller struct {
		nodeAddresses   []string
		entries         []string
		entriesExpireAt time.Time
		client          *http.Client
	}

	entriesAnswer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		KeepFor string `json:"keep_for"`
	}
)

// newProcesses builds the programs and copies the files of the demo, with the addresses of this run.
func newProcesses(t *testing.T) *processes {
	is := is.New(t)
	p := &processes{t: t, directory: t.TempDir(), commands: map[string]*exec.Cmd{}}
	p.reserveAddresses()
	output, err := exec.Command("go", "build", "-o", p.directory, "../../../cmd/stepd", "../../../cmd/stepfake",
		"../../../cmd/stepctl").CombinedOutput()
	t.Log(string(output))
	is.NoErr(err)
	files, err := filepath.Glob("../../../examples/demo/*.json")
	is.NoErr(err)
	for _, f := range files {
		text, err := os.ReadFile(f)
		is.NoErr(err)
		for i := range octetsPerRun {
			text = bytes.ReplaceAll(text, fmt.Appendf(nil, "127.30.%d.", i),
				fmt.Appendf(nil, "%s.%d.", networkPrefix, p.baseOctet+i))
		}
		is.NoErr(os.WriteFile(filepath.Join(p.directory, filepath.Base(f)), text, 0o600))
	}
	t.Cleanup(func() {
		for _, c := range p.commands {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
	return p
}

// reserveAddresses picks addresses that no other run of these tests on this machine uses, and holds them by a
// listener until the test ends.
func (p *processes) reserveAddresses() {
	for p.baseOctet = firstOctet; p.baseOctet+octetsPerRun < 250; p.baseOctet += octetsPerRun {
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.%d.250:%s", networkPrefix, p.baseOctet, lockPort))
		if err == nil {
			p.t.Cleanup(func() { _ = lock.Close() })
			return
		}
	}
	p.t.Fatal("no free addresses")
}

// platformAddress returns the address of the platform with the given port.
func (p *processes) platformAddress(port string) string {
	return fmt.Sprintf("%s.%d.1:%s", networkPrefix, p.baseOctet, port)
}

// nodeAddress returns the address of node i with the given port.
func (p *processes) nodeAddress(i int, port string) string {
	return fmt.Sprintf("%s.%d.%d:%s", networkPrefix, p.baseOctet, 100+i, port)
}

func (p *processes) path(name string) string { return filepath.Join(p.directory, name) }

func (p *processes) start(name, program string, arguments ...string) {
	log, err := os.Create(p.path(name + ".log"))
	is.New(p.t).NoErr(err)
	c := exec.Command(p.path(program), arguments...)
	c.Stdout, c.Stderr = log, log
	is.New(p.t).NoErr(c.Start())
	p.commands[name] = c
}

// startNode starts node i; the nodes alternate between zones a, b and c.
func (p *processes) startNode(i int) {
	zone := string(rune('a' + i%3))
	name := fmt.Sprintf("node-%d", i)
	text, err := os.ReadFile(p.path("node-" + zone + "1.json"))
	is.New(p.t).NoErr(err)
	settings := map[string]any{}
	is.New(p.t).NoErr(json.Unmarshal(text, &settings))
	settings["node_name"] = name
	fields := map[string]string{"7400": "caller_address", "7200": "operator_address", "7300": "peer_address"}
	for port, field := range fields {
		settings[field] = p.nodeAddress(i, port)
	}
	settings["seed_peers"] = []string{p.nodeAddress(0, "7300"), p.nodeAddress(1, "7300")}
	text, _ = json.Marshal(settings)
	is.New(p.t).NoErr(os.WriteFile(p.path(name+".json"), text, 0o600))
	p.start(name, "stepd", "run", "--settings", p.path(name+".json"))
}

// stopNode stops a node gracefully and checks by its exit code and log that no work was interrupted.
func (p *processes) stopNode(name string) {
	is := is.New(p.t)
	p.mutex.Lock()
	c := p.commands[name]
	delete(p.commands, name)
	p.mutex.Unlock()
	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	select {
	case err := <-ended:
		is.NoErr(err) // exit code 0
	case <-time.After(stopDeadline):
		is.Fail() // the node does not stop
	}
	log, err := os.ReadFile(p.path(name + ".log"))
	is.NoErr(err)
	is.True(strings.Contains(string(log), "stop complete"))
	is.True(!strings.Contains(string(log), "stop cuts work"))
}

func (p *processes) startAll(nodes int) {
	p.start("platform", "stepfake", "platform", "--address", p.platformAddress("7000"),
		"--control-address", p.platformAddress("7001"))
	for i, zone := range []string{"a", "b", "c"} {
		p.start("leaves-"+zone, "stepfake", "upstream", "--config", p.path("config.json"), "--zone", "zone-"+zone,
			"--control-address", p.platformAddress(fmt.Sprint(7010+i)))
	}
	for i := range nodes {
		p.startNode(i)
	}
	p.waitFor("first operator", func() bool {
		return p.runStepctl("bootstrap-token", "apply", "-f", p.path("config.json"), "--only", "operator", "--reason", "test")
	})
	p.waitFor("configuration", func() bool {
		return p.runStepctl("operator-1-token", "apply", "-f", p.path("config.json"), "--reason", "test")
	})
}

func (p *processes) runStepctl(token string, arguments ...string) bool {
	c := exec.Command(p.path("stepctl"), arguments...)
	c.Env = append(os.Environ(), "STEPCTL_NODE="+p.nodeAddress(0, "7200"), "STEPCTL_TOKEN="+token)
	output, err := c.CombinedOutput()
	if err != nil {
		p.t.Logf("stepctl %v: %s", arguments, output)
	}
	return err == nil
}

func (p *processes) waitFor(what string, condition func() bool) {
	p.t.Helper()
	for until := time.Now().Add(startDeadline); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	logs, _ := filepath.Glob(p.path("node-*.log"))
	for _, l := range logs {
		text, _ := os.ReadFile(l)
		p.t.Logf("%s:\n%s", filepath.Base(l), text)
	}
	p.t.Fatalf("%s did not happen within %v", what, startDeadline)
}

func (p *processes) newCaller(nodes int) *caller {
	c := &caller{client: &http.Client{Timeout: 5 * time.Second}}
	for i := range nodes {
		c.nodeAddresses = append(c.nodeAddresses, p.nodeAddress(i, "7400"))
	}
	return c
}

// refresh fetches the list of entries from any node when the current one has expired.
func (c *caller) refresh() {
	if time.Now().Before(c.entriesExpireAt) {
		return
	}
	for _, i := range rand.Perm(len(c.nodeAddresses)) {
		response, err := c.client.Get("http://" + c.nodeAddresses[i] + "/v1/entries")
		if err != nil {
			continue
		}
		answer := entriesAnswer{}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		keepFor, _ := time.ParseDuration(answer.KeepFor)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.entries = nil
		for _, e := range answer.Entries {
			c.entries = append(c.entries, e.Address)
		}
		c.entriesExpireAt = time.Now().Add(keepFor)
		return
	}
}

// search sends one search and returns the result code, or a description of the failure.
func (c *caller) search() string {
	c.refresh()
	if len(c.entries) == 0 {
		return "no entries"
	}
	body := strings.NewReader(`{"service":"towpath-desk","class":"stalls","query":"free stalls"}`)
	address := c.entries[rand.IntN(len(c.entries))]
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/search", body)
	request.Header.Set("Authorization", "Bearer skippers-token")
	response, err := c.client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	answer := struct {
		Code string `json:"code"`
	}{}
	_ = json.Unmarshal(text, &answer)
	return answer.Code
}

// searchDuring sends searches from several callers while work runs, and returns the count of each outcome.
func (p *processes) searchDuring(nodes int, work func()) map[string]int {
	outcomes := map[string]int{}
	var mutex sync.Mutex
	var ended atomic.Bool
	var running sync.WaitGroup
	for range callerCount {
		running.Go(func() {
			for c := p.newCaller(nodes); !ended.Load(); time.Sleep(5 * time.Millisecond) {
				outcome := c.search()
				mutex.Lock()
				outcomes[outcome]++
				mutex.Unlock()
			}
		})
	}
	work()
	ended.Store(true)
	running.Wait()
	return outcomes
}

// TestPlannedStopsInterruptNoRequest stops one node, then three at once, while callers keep sending. Guards
// against requests that fail because a node stops before callers have a list of entries without it.
func TestPlannedStopsInterruptNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const nodes = 6
	is := is.New(t)
	p := newProcesses(t)
	p.startAll(nodes)
	p.waitFor("answer with full coverage", func() bool { return p.newCaller(nodes).search() == "RESULT_CODE_OK" })
	time.Sleep(5 * time.Second) // until the view is stable and leaves are warm
	outcomes := p.searchDuring(nodes, func() {
		p.stopNode("node-0")
		var stops sync.WaitGroup
		for _, name := range []string{"node-1", "node-2", "node-3"} {
			stops.Go(func() { p.stopNode(name) })
		}
		stops.Wait()
	})
	t.Logf("outcomes: %v", outcomes)
	for outcome := range outcomes {
		is.True(outcome == "RESULT_CODE_OK" || outcome == "RESULT_CODE_PARTIAL") // no request was interrupted or refused
	}
}

func (p *processes) setOutage(outage bool) {
	body := strings.NewReader(fmt.Sprintf(`{"outage":%t}`, outage))
	response, err := http.Post("http://"+p.platformAddress("7001")+"/behaviour", "application/json", body)
	is.New(p.t).NoErr(err)
	_ = response.Body.Close()
}

// answersInFull reports whether a search sent to node i gets an answer with full coverage.
func (p *processes) answersInFull(i int) bool {
	c := &caller{
		entries: []string{p.nodeAddress(i, "7400")}, entriesExpireAt: time.Now().Add(time.Hour),
		client: &http.Client{Timeout: time.Second},
	}
	return c.search() == "RESULT_CODE_OK"
}

// TestNodesRestartWithoutPlatform restarts one node during an outage of the platform, then all nodes at once.
// The one must get its configuration from the others. When all restart, none has a configuration: at least one
// must log that it waits for the platform, and all must serve again after the outage.
func TestNodesRestartWithoutPlatform(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const nodes = 3
	is := is.New(t)
	p := newProcesses(t)
	p.startAll(nodes)
	for i := range nodes {
		p.waitFor("answer with full coverage", func() bool { return p.answersInFull(i) })
	}
	p.setOutage(true)
	is.NoErr(p.commands["node-2"].Process.Kill())
	_ = p.commands["node-2"].Wait()
	p.startNode(2)
	p.waitFor("restarted node serves during the outage", func() bool { return p.answersInFull(2) })
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		is.NoErr(p.commands[name].Process.Kill())
		_ = p.commands[name].Wait()
	}
	for i := range nodes {
		p.startNode(i)
	}
	p.waitFor("log line about the missing platform", func() bool {
		logLines := 0
		for i := range nodes {
			log, _ := os.ReadFile(p.path(fmt.Sprintf("node-%d.log", i)))
			logLines += strings.Count(string(log), "waiting for the platform")
		}
		return logLines >= 1
	})
	p.setOutage(false)
	for i := range nodes {
		p.waitFor("answer with full coverage after the outage", func() bool { return p.answersInFull(i) })
	}
}
