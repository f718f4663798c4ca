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
	prefix        = "127.43"
	lockPort      = "6999"
	callers       = 6
	startDeadline = 30 * time.Second
	stopDeadline  = 60 * time.Second
	firstOctet    = 20
	octets        = 4 // third octets of the demo's addresses
)

type (
	// processes are stepd and stepfake processes that the test has started, by name.
	processes struct {
		t         *testing.T
		directory string
		// base is the first of the four third octets that this run has for itself.
		base     int
		mutex    sync.Mutex
		commands map[string]*exec.Cmd
	}

	// caller asks for entries, keeps the answer for as long as it says and sends one request after another.
	caller struct {
		known   []string
		entries []string
		keepTo  time.Time
		client  *http.Client
	}

	entriesAnswer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		KeepFor string `json:"keep_for"`
	}
)

// newProcesses builds the programs and copies the demo's files to this test's network.
func newProcesses(t *testing.T) *processes {
	is := is.New(t)
	p := &processes{t: t, directory: t.TempDir(), commands: map[string]*exec.Cmd{}}
	p.claim()
	output, err := exec.Command("go", "build", "-o", p.directory, "../../../cmd/stepd", "../../../cmd/stepfake",
		"../../../cmd/stepctl").CombinedOutput()
	t.Log(string(output))
	is.NoErr(err)
	files, err := filepath.Glob("../../../examples/demo/*.json")
	is.NoErr(err)
	for _, f := range files {
		text, err := os.ReadFile(f)
		is.NoErr(err)
		for i := range octets {
			text = bytes.ReplaceAll(text, fmt.Appendf(nil, "127.30.%d.", i), fmt.Appendf(nil, "%s.%d.", prefix, p.base+i))
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

// claim takes addresses that no other run of these tests on the machine has.
func (p *processes) claim() {
	for p.base = firstOctet; p.base+octets < 250; p.base += octets {
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.%d.250:%s", prefix, p.base, lockPort))
		if err == nil {
			p.t.Cleanup(func() { _ = lock.Close() })
			return
		}
	}
	p.t.Fatal("no free addresses")
}

// platform returns the address of the platform with the port.
func (p *processes) platform(port string) string {
	return fmt.Sprintf("%s.%d.1:%s", prefix, p.base, port)
}

// node returns the address of the numbered node with the port.
func (p *processes) node(i int, port string) string {
	return fmt.Sprintf("%s.%d.%d:%s", prefix, p.base, 100+i, port)
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

// startNode starts the numbered node; zones a, b and c take turns.
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
		settings[field] = p.node(i, port)
	}
	settings["seed_peers"] = []string{p.node(0, "7300"), p.node(1, "7300")}
	text, _ = json.Marshal(settings)
	is.New(p.t).NoErr(os.WriteFile(p.path(name+".json"), text, 0o600))
	p.start(name, "stepd", "run", "--settings", p.path(name+".json"))
}

// stopNode ends a node gracefully and checks that it said so.
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
	p.start("platform", "stepfake", "platform", "--address", p.platform("7000"),
		"--control-address", p.platform("7001"))
	for i, zone := range []string{"a", "b", "c"} {
		p.start("leaves-"+zone, "stepfake", "upstream", "--config", p.path("config.json"), "--zone", "zone-"+zone,
			"--control-address", p.platform(fmt.Sprint(7010+i)))
	}
	for i := range nodes {
		p.startNode(i)
	}
	p.waitFor("first operator", func() bool {
		return p.control("bootstrap-token", "apply", "-f", p.path("config.json"), "--only", "operator", "--reason", "test")
	})
	p.waitFor("configuration", func() bool {
		return p.control("operator-1-token", "apply", "-f", p.path("config.json"), "--reason", "test")
	})
}

func (p *processes) control(token string, arguments ...string) bool {
	c := exec.Command(p.path("stepctl"), arguments...)
	c.Env = append(os.Environ(), "STEPCTL_NODE="+p.node(0, "7200"), "STEPCTL_TOKEN="+token)
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
		c.known = append(c.known, p.node(i, "7400"))
	}
	return c
}

// refresh asks any node for entries when the answer at hand may no longer be kept.
func (c *caller) refresh() {
	if time.Now().Before(c.keepTo) {
		return
	}
	for _, i := range rand.Perm(len(c.known)) {
		response, err := c.client.Get("http://" + c.known[i] + "/v1/entries")
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
		c.keepTo = time.Now().Add(keepFor)
		return
	}
}

// search returns the answer's code, or what went wrong.
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

// callWhile sends requests from several callers while the work runs and returns the outcomes.
func (p *processes) callWhile(nodes int, work func()) map[string]int {
	outcomes := map[string]int{}
	var mutex sync.Mutex
	var ended atomic.Bool
	var running sync.WaitGroup
	for range callers {
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

// TestPlannedStopsCutNoRequest stops one node, then three at once, while callers go on.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const nodes = 6
	is := is.New(t)
	p := newProcesses(t)
	p.startAll(nodes)
	p.waitFor("whole answer", func() bool { return p.newCaller(nodes).search() == "RESULT_CODE_OK" })
	time.Sleep(5 * time.Second) // the view settles and leaves warm up
	outcomes := p.callWhile(nodes, func() {
		p.stopNode("node-0")
		var stops sync.WaitGroup
		for _, name := range []string{"node-1", "node-2", "node-3"} {
			stops.Go(func() { p.stopNode(name) })
		}
		stops.Wait()
	})
	t.Logf("outcomes: %v", outcomes)
	for outcome := range outcomes {
		is.True(outcome == "RESULT_CODE_OK" || outcome == "RESULT_CODE_PARTIAL") // nothing was cut or refused
	}
}

func (p *processes) setOutage(outage bool) {
	body := strings.NewReader(fmt.Sprintf(`{"outage":%t}`, outage))
	response, err := http.Post("http://"+p.platform("7001")+"/behaviour", "application/json", body)
	is.New(p.t).NoErr(err)
	_ = response.Body.Close()
}

// whole tells whether the numbered node itself answers a search in full.
func (p *processes) whole(i int) bool {
	c := &caller{
		entries: []string{p.node(i, "7400")}, keepTo: time.Now().Add(time.Hour),
		client: &http.Client{Timeout: time.Second},
	}
	return c.search() == "RESULT_CODE_OK"
}

// TestNodesRestartWithoutPlatform replaces one node during an outage of the platform, then all at once.
func TestNodesRestartWithoutPlatform(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const nodes = 3
	is := is.New(t)
	p := newProcesses(t)
	p.startAll(nodes)
	for i := range nodes {
		p.waitFor("whole answer", func() bool { return p.whole(i) })
	}
	p.setOutage(true)
	is.NoErr(p.commands["node-2"].Process.Kill())
	_ = p.commands["node-2"].Wait()
	p.startNode(2)
	p.waitFor("replaced node serves during the outage", func() bool { return p.whole(2) })
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		is.NoErr(p.commands[name].Process.Kill())
		_ = p.commands[name].Wait()
	}
	for i := range nodes {
		p.startNode(i)
	}
	p.waitFor("the log says what is waited for", func() bool {
		said := 0
		for i := range nodes {
			log, _ := os.ReadFile(p.path(fmt.Sprintf("node-%d.log", i)))
			said += strings.Count(string(log), "waiting for the platform")
		}
		return said >= 1
	})
	p.setOutage(false)
	for i := range nodes {
		p.waitFor("whole answer after the outage", func() bool { return p.whole(i) })
	}
}
