package sessions_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/load/client"
)

const (
	submitTimeout    = 4 * time.Second
	submitWorkers    = 4
	conflictExitCode = 3
	quietPolls       = 20
)

type (
	volatileField struct {
		pattern     *regexp.Regexp
		replacement string
	}

	// submitLoad is the background load of non-idempotent requests; each is sent again through other entries.
	submitLoad struct {
		stop    chan struct{}
		workers sync.WaitGroup
		mutex   sync.Mutex
		// codes has the codes that were answered for each id, in order.
		codes map[string][]pb.ResultCode
	}
)

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"start": startProcess, "signal": sendSignal, "exits": awaitExit, "await": await, "nodes": startNodes,
		"whole": awaitWholeAnswers,
		"scrub": scrub, "one-wins": oneWins, "quiet": awaitQuiet, "submits": controlSubmits, "at-most-once": atMostOnce,
		"await-out": awaitZoneOut, "expand": expand, "readenv": readEnv,
	}
}

func compilePattern(ts *testscript.TestScript, pattern string) *regexp.Regexp {
	compiled, err := regexp.Compile(pattern)
	ts.Check(err)
	return compiled
}

// scrub writes the last output to a file with volatile fields replaced: scrub FILE.
func scrub(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	for _, v := range volatileFields() {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// expand replaces each $NAME in a file with the value of the script's variable: expand FILE.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// readEnv sets a variable to the last output: readenv NAME.
func readEnv(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile("stdout")))
}

// oneWins runs a program several times in parallel; one run must succeed and the others end with a conflict:
// one-wins RUNS PROGRAM ARGUMENT...
func oneWins(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	c := clusterOf(ts)
	codes := make([]int, count)
	var runs sync.WaitGroup
	path := strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator))[0]
	nodes := []string{ts.Getenv("NODE_A"), ts.Getenv("NODE_B"), ts.Getenv("NODE_C")}
	for i := range count {
		runs.Go(func() {
			command := exec.Command(path+"/"+args[1], args[2:]...)
			command.Dir = c.folder
			command.Env = append(os.Environ(),
				"STEPCTL_TOKEN="+ts.Getenv("STEPCTL_TOKEN"), "STEPCTL_NODE="+nodes[i%len(nodes)])
			_ = command.Run()
			codes[i] = command.ProcessState.ExitCode()
		})
	}
	runs.Wait()
	accepted := 0
	for _, code := range codes {
		switch code {
		case 0:
			accepted++
		case conflictExitCode:
		default:
			ts.Fatalf("exit codes %v: neither accepted nor a conflict", codes)
		}
	}
	if accepted != 1 {
		ts.Fatalf("exit codes %v: %d changes were accepted", codes, accepted)
	}
}

// awaitQuiet waits until the leaves behind a control port get no calls although searches through the entry
// succeed, and with ! until they get calls: [!] quiet CONTROL ENTRY.
func awaitQuiet(ts *testscript.TestScript, neg bool, args []string) {
	unchanged, last := 0, uint64(0)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		whole := ts.Exec("stepload", "search", "--whole", "--entry", args[1], "--credential", "skippers-token",
			"--service", "towpath-desk", "--class", "stalls", "q")
		calls := uint64(0)
		for _, l := range leafCounters(ts, args[0]) {
			calls += l.GetCalls()
		}
		if neg && last > 0 && calls > last {
			return
		}
		if calls == last && whole == nil {
			unchanged++
		} else {
			unchanged = 0
		}
		last = calls
		if !neg && unchanged >= quietPolls {
			return
		}
	}
	ts.Fatalf("leaves behind %s: quiet=%t was not reached", args[0], !neg)
}

func leafCounters(ts *testscript.TestScript, control string) []*pb.LeafCounters {
	ts.Check(ts.Exec("stepload", "control", control, "/counters"))
	list := &pb.LeafCountersList{}
	ts.Check(protojson.Unmarshal([]byte(ts.ReadFile("stdout")), list))
	return list.GetLeaves()
}

// controlSubmits starts or stops the background submits: submits start|stop.
func controlSubmits(ts *testscript.TestScript, _ bool, args []string) {
	s := clusterOf(ts).submits
	if args[0] == "stop" {
		close(s.stop)
		s.workers.Wait()
		return
	}
	s.stop = make(chan struct{})
	s.codes = map[string][]pb.ResultCode{}
	entries := []string{ts.Getenv("ENTRY_A"), ts.Getenv("ENTRY_B"), ts.Getenv("ENTRY_C")}
	for w := range submitWorkers {
		s.workers.Go(func() { s.runWorker(w, entries) })
	}
}

func (s *submitLoad) runWorker(worker int, entries []string) {
	a := client.New(client.Config{Clock: quartz.NewReal()})
	for n := worker; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		id := uuid.Must(uuid.NewV7()).String()
		for repeat := range 3 {
			s.send(a, entries[(n+repeat)%len(entries)], id, uint32(n%4))
		}
	}
}

func (s *submitLoad) send(a *client.Client, entry, id string, partition uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	answer, err := a.Submit(ctx, entry, "skippers-token", &pb.SubmitRequest{
		Service: "towpath-desk", Class: "book-stall", RequestId: id, Partition: partition, Payload: "stall",
	})
	code := answer.GetCode()
	if err != nil {
		code = pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.codes[id] = append(s.codes[id], code)
}

// atMostOnce checks the answers to the submits against the runs that all leaves counted: at-most-once CONTROL...
func atMostOnce(ts *testscript.TestScript, _ bool, args []string) {
	runs := map[string]uint32{}
	for _, control := range args {
		for _, l := range leafCounters(ts, control) {
			for id, n := range l.GetSubmitRuns() {
				runs[id] += n
			}
		}
	}
	s := clusterOf(ts).submits
	answers := map[pb.ResultCode]int{}
	for id, codes := range s.codes {
		if problem := submitProblem(codes, runs[id]); problem != "" {
			ts.Fatalf("submit %s: %s; answers %v, runs %d", id, problem, codes, runs[id])
		}
		for _, c := range codes {
			answers[c]++
		}
	}
	ts.Logf("submits: %d ids, answers %v", len(s.codes), answers)
	if answers[pb.ResultCode_RESULT_CODE_OK] == 0 {
		ts.Fatalf("no submit succeeded")
	}
}

// submitProblem returns what is wrong with the answers to one id and its repeats, given how often it ran.
func submitProblem(codes []pb.ResultCode, runs uint32) string {
	succeeded, notRun := false, true
	for _, c := range codes {
		succeeded = succeeded || c == pb.ResultCode_RESULT_CODE_OK
		notRun = notRun && c == pb.ResultCode_RESULT_CODE_NOT_RUN
	}
	switch {
	case runs > 1:
		return "ran more than once"
	case succeeded && runs == 0:
		return "was answered with success but did not run"
	case notRun && runs > 0:
		return fmt.Sprintf("every answer said not run, but it ran %d times", runs)
	}
	return ""
}

// volatileFields are the parts of an output that differ between runs.
func volatileFields() []volatileField {
	return []volatileField{
		{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
		{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
		{regexp.MustCompile(`127\.45\.\d+\.`), "127.45.N."},
		{regexp.MustCompile(`"weight": \d+`), `"weight": WEIGHT`},
	}
}
