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
	// patience bounds each wait; it is far above what any condition needs.
	patience   = 60 * time.Second
	pollPeriod = 100 * time.Millisecond
)

type (
	clusterKey struct{}

	// cluster is the processes of one session.
	cluster struct {
		folder    string
		processes map[string]*process
		submits   *submits
	}

	process struct {
		command *exec.Cmd
		exited  chan struct{}
		err     error
	}
)

func newCluster(folder string) *cluster {
	return &cluster{folder: folder, processes: map[string]*process{}, submits: &submits{}}
}

func clusterOf(ts *testscript.TestScript) *cluster {
	return ts.Value(clusterKey{}).(*cluster)
}

// start runs a program in the background: start NAME PROGRAM ARGUMENT...
func start(ts *testscript.TestScript, neg bool, args []string) {
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
		reportPanic(ts, log.Name())
	})
}

// reportPanic shows why a process crashed.
func reportPanic(ts *testscript.TestScript, file string) {
	text, _ := os.ReadFile(file)
	if i := strings.Index(string(text), "panic:"); i >= 0 {
		ts.Logf("%s: %.4000s", file, text[i:])
	}
}

// signal sends a signal: signal NAME TERM|KILL|STOP|CONT.
func signal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	if neg || len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	ts.Check(find(ts, args[0]).command.Process.Signal(signals[args[1]]))
}

// exits waits until the process ends with code 0, or with any other code: [!] exits NAME.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	p := find(ts, args[0])
	select {
	case <-p.exited:
	case <-time.After(patience):
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
	pattern := compile(ts, args[0])
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("%q was not seen in the output of %v", args[0], args[1:])
}

// awaitOut waits until an entry no longer names the zone: await-out ZONE ENTRY.
func awaitOut(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		err := ts.Exec("stepload", "entries", "--entry", args[1])
		if err == nil && !strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
	}
	ts.Fatalf("%s is still named", args[0])
}

// nodes starts the platform, the leaves and the nodes of the zones and waits until all of them serve.
func nodes(ts *testscript.TestScript, _ bool, _ []string) {
	platform := strings.TrimSuffix(ts.Getenv("PLATFORM"), "7001") + "7000"
	start(ts, false, []string{
		"platform", "stepfake", "platform", "--address", platform, "--control-address", ts.Getenv("PLATFORM"),
	})
	await(ts, false, []string{"^$", "stepload", "control", ts.Getenv("PLATFORM"), "/vms", "@vms.json"})
	for _, zone := range []string{"a", "b", "c"} {
		start(ts, false, []string{
			"leaves-" + zone, "stepfake", "upstream", "--config", "config.json", "--zone", "zone-" + zone,
			"--control-address", ts.Getenv("LEAVES_" + strings.ToUpper(zone)),
		})
	}
	for _, zone := range []string{"a", "b", "c"} {
		start(ts, false, []string{"node-" + zone, "stepd", "run", "--settings", "node-" + zone + "1.json"})
	}
	await(ts, false, []string{"(?s)(ALIVE.*){3}", "stepctl", "status"})
	apply := []string{"", "stepctl", "apply", "-f", "config.json", "--reason", "first start"}
	await(ts, false, append(apply, "--only", "operator"))
	ts.Setenv("STEPCTL_TOKEN", "operator-1-token")
	await(ts, false, apply)
	for _, zone := range []string{"A", "B", "C"} {
		whole(ts, false, []string{zone})
	}
}

// whole waits until the entry of a zone gives whole answers of both users' services: whole A|B|C.
func whole(ts *testscript.TestScript, _ bool, args []string) {
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

func find(ts *testscript.TestScript, name string) *process {
	p := clusterOf(ts).processes[name]
	if p == nil {
		ts.Fatalf("no process %s", name)
	}
	return p
}
