package sessions_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// waitTimeout bounds each wait; it is far longer than any condition needs.
	waitTimeout = 60 * time.Second
	pollPeriod  = 100 * time.Millisecond
)

type (
	clusterKey struct{}

	// cluster has the processes and the background load of one session.
	cluster struct {
		folder    string
		processes map[string]*process
		submits   *submitLoad
	}

	process struct {
		command *exec.Cmd
		exited  chan struct{}
		err     error
	}
)

func newCluster(folder string) *cluster {
	return &cluster{folder: folder, processes: map[string]*process{}, submits: &submitLoad{}}
}

func clusterOf(ts *testscript.TestScript) *cluster {
	return ts.Value(clusterKey{}).(*cluster)
}

// startProcess runs a program in the background: start NAME PROGRAM ARGUMENT...
func startProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGUMENT...")
	}
	c := clusterOf(ts)
	path := filepath.Join(strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator))[0], args[1])
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p := &process{command: exec.Command(path, args[2:]...), exited: make(chan struct{})}
	p.command.Dir = c.folder
	p.command.Env = append(os.Environ(), "STEPCTL_TOKEN="+ts.Getenv("STEPCTL_TOKEN"))
	p.command.Stdout, p.command.Stderr = log, log
	ts.Check(p.command.Start())
	c.processes[args[0]] = p
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	ts.Defer(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		_ = log.Close()
		logPanic(ts, log.Name())
	})
}

// logPanic logs the panic of a crashed process.
func logPanic(ts *testscript.TestScript, file string) {
	text, _ := os.ReadFile(file)
	if i := strings.Index(string(text), "panic:"); i >= 0 {
		ts.Logf("%s: %.4000s", file, text[i:])
	}
}

// sendSignal sends a signal: signal NAME TERM|KILL|STOP|CONT.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	if neg || len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	ts.Check(findProcess(ts, args[0]).command.Process.Signal(signals[args[1]]))
}

// awaitExit waits until the process ends with code 0, or with any other code: [!] exits NAME.
func awaitExit(ts *testscript.TestScript, neg bool, args []string) {
	p := findProcess(ts, args[0])
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s did not exit", args[0])
	}
	if (p.err != nil) != neg {
		text, _ := os.ReadFile(ts.MkAbs(args[0] + ".log"))
		ts.Fatalf("%s exited: %v\n%s", args[0], p.err, text)
	}
}

// await repeats a program until it succeeds and its output matches: await PATTERN PROGRAM ARGUMENT...
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: await PATTERN PROGRAM ARGUMENT...")
	}
	pattern := compilePattern(ts, args[0])
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("%q did not match the output of %v", args[0], args[1:])
}

// awaitZoneOut waits until an entry no longer lists the zone: await-out ZONE ENTRY.
func awaitZoneOut(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		err := ts.Exec("stepload", "entries", "--entry", args[1])
		if err == nil && !strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
	}
	ts.Fatalf("%s is still listed", args[0])
}

// startNodes starts the platform, the leaves and the nodes of the zones and waits until all of them serve requests.
func startNodes(ts *testscript.TestScript, _ bool, _ []string) {
	platform := strings.TrimSuffix(ts.Getenv("PLATFORM"), "7001") + "7000"
	startProcess(ts, false, []string{
		"platform", "stepfake", "platform", "--address", platform, "--control-address", ts.Getenv("PLATFORM"),
	})
	await(ts, false, []string{"^$", "stepload", "control", ts.Getenv("PLATFORM"), "/vms", "@vms.json"})
	for _, zone := range []string{"a", "b", "c"} {
		startProcess(ts, false, []string{
			"leaves-" + zone, "stepfake", "upstream", "--config", "config.json", "--zone", "zone-" + zone,
			"--control-address", ts.Getenv("LEAVES_" + strings.ToUpper(zone)),
		})
	}
	for _, zone := range []string{"a", "b", "c"} {
		startProcess(ts, false, []string{"node-" + zone, "stepd", "run", "--settings", "node-" + zone + "1.json"})
	}
	await(ts, false, []string{"(?s)(ALIVE.*){3}", "stepctl", "status"})
	apply := []string{"", "stepctl", "apply", "-f", "config.json", "--reason", "first start"}
	await(ts, false, append(apply, "--only", "operator"))
	ts.Setenv("STEPCTL_TOKEN", "operator-1-token")
	await(ts, false, apply)
	for _, zone := range []string{"A", "B", "C"} {
		awaitWholeAnswers(ts, false, []string{zone})
	}
}

// awaitWholeAnswers waits until the entry of a zone gives whole answers for the services of both users:
// whole A|B|C.
func awaitWholeAnswers(ts *testscript.TestScript, _ bool, args []string) {
	entry := ts.Getenv("ENTRY_" + args[0])
	await(ts, false, []string{
		"", "stepload", "search", "--whole", "--entry", entry, "--credential", "skippers-token",
		"--service", "towpath-desk", "--class", "stalls", "warm up",
	})
	await(ts, false, []string{
		"", "stepload", "search", "--whole", "--entry", entry, "--credential", "buyers-token",
		"--service", "quote-desk", "--class", "catalogue", "warm up",
	})
}

func findProcess(ts *testscript.TestScript, name string) *process {
	p := clusterOf(ts).processes[name]
	if p == nil {
		ts.Fatalf("no process %s", name)
	}
	return p
}
