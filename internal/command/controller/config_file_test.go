package controller_test

import (
	"log/slog"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	"github.com/magnoliastep/magnoliastep/internal/fake/platformfaker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/authorizer"
	"github.com/magnoliastep/magnoliastep/internal/operator/server"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

type (
	emptyStatus struct{}
)

const (
	demoFile = "../../../examples/demo/config.json"
)

func (emptyStatus) Status() *pb.GetStatusResponse {
	return &pb.GetStatusResponse{Code: pb.ResultCode_RESULT_CODE_OK}
}

// startOperatorServer starts the real operator server on a fake platform, applies the operators of the demo
// configuration, and points the environment variables of stepctl at it.
func startOperatorServer(t *testing.T) {
	t.Helper()
	clock := quartz.NewReal()
	platform := httptest.NewServer(platformfaker.New(platformfaker.Config{Clock: clock}).Handler())
	t.Cleanup(platform.Close)
	store := client.New(client.Config{URLs: []string{platform.URL}})
	k := keeper.New(keeper.Config{})
	s := httptest.NewServer(server.New(server.Config{
		Authorizer: authorizer.New(authorizer.Config{Source: k, BootstrapHash: indexer.HashCredential("bootstrap-token")}),
		Applier:    applier.New(applier.Config{Store: store, Keeper: k, Clock: clock}),
		Store:      store, Keeper: k, Status: emptyStatus{}, Clock: clock, Logger: slog.New(slog.DiscardHandler),
	}).Handler())
	t.Cleanup(s.Close)
	t.Setenv("STEPCTL_NODE", addressOf(s))
	code, _, failures := run("",
		"--token", "bootstrap-token", "apply", "-f", demoFile, "--only", "operator", "--reason", "t")
	is.New(t).Equal(failures, "")
	is.New(t).Equal(code, 0)
	t.Setenv("STEPCTL_TOKEN", "operator-1-token")
}

func TestApplySkipsUnchangedObjects(t *testing.T) {
	is := is.New(t)
	startOperatorServer(t)
	code, output, failures := run("", "apply", "-f", demoFile, "--reason", "t")
	is.Equal(failures, "")
	is.Equal(code, 0)
	is.Equal(strings.Count(output, "\n"), 10) // 3 zones, 2 services, 3 classes, 2 callers
	code, output, _ = run("", "apply", "-f", demoFile, "--reason", "t")
	is.Equal(code, 0)
	is.Equal(output, "") // nothing changed, so nothing was sent
}

func TestDiffAndApplyFromStandardInput(t *testing.T) {
	is := is.New(t)
	startOperatorServer(t)
	run("", "apply", "-f", demoFile, "--reason", "t")
	text, err := os.ReadFile(demoFile)
	is.NoErr(err)
	changed := strings.Replace(string(text), `"lateness": "3s"`, `"lateness": "4s"`, 1)
	code, output, _ := run(changed, "diff", "-f", "-")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(output, "class/towpath-desk.book-stall (version "))
	is.True(strings.HasSuffix(output, "- lateness: \"3s\"\n+ lateness: \"4s\"\n"))
	code, output, _ = run(changed, "apply", "-f", "-", "--reason", "t")
	is.Equal(code, 0)
	is.Equal(strings.Count(output, "\n"), 1) // the changed class alone
	code, output, _ = run(changed, "diff", "-f", "-")
	is.Equal(code, 0)
	is.Equal(output, "")
}

// TestDiffListsAllChangedDurations fails when a duration ends the listing of the object's other fields.
func TestDiffListsAllChangedDurations(t *testing.T) {
	is := is.New(t)
	startOperatorServer(t)
	run("", "apply", "-f", demoFile, "--reason", "t")
	text, err := os.ReadFile(demoFile)
	is.NoErr(err)
	changed := strings.NewReplacer(`"lateness": "3s"`, `"lateness": "4s"`,
		`"full_worth_until": "1s"`, `"full_worth_until": "2s"`, `"worth": 20`, `"worth": 30`).Replace(string(text))
	code, output, _ := run(changed, "diff", "-f", "-")
	is.Equal(code, 0)
	_, fields, _ := strings.Cut(output, "\n")
	is.Equal(fields, "- full_worth_until: \"1s\"\n+ full_worth_until: \"2s\"\n"+
		"- lateness: \"3s\"\n+ lateness: \"4s\"\n- worth: 20\n+ worth: 30\n")
}

// TestApplyRejectsInvalidFileAsWhole fails when apply sends the valid objects of a file before it finds an
// invalid one.
func TestApplyRejectsInvalidFileAsWhole(t *testing.T) {
	is := is.New(t)
	startOperatorServer(t)
	file := `{"availability_zones":[{"name":"a","region":"r"}],"classes":[{"name":"c","service":"none","worth":-1}]}`
	code, output, failures := run(file, "apply", "-f", "-", "--reason", "t")
	is.Equal(code, 1)
	is.Equal(output, "")
	for _, want := range []string{
		"class/none.c: kind: must be", "class/none.c: worth: must be above 0", "class/none.c: lateness: must be",
		"class/none.c: service: service/none does not exist",
	} {
		is.True(strings.Contains(failures, want))
	}
	_, output, _ = run("", "list", "availability_zone")
	is.Equal(strings.Count(output, "\n"), 1) // the header alone: the valid zone was not applied
}

// TestApplyConflictNamesAcceptedChange fails when the error of a version conflict does not tell the operator who
// made the accepted change, why, and how to look at it.
func TestApplyConflictNamesAcceptedChange(t *testing.T) {
	is := is.New(t)
	startOperatorServer(t)
	file := `{"availability_zones":[{"name":"a","region":"r"}]}`
	run(file, "apply", "-f", "-", "--reason", "first")
	code, _, failures := run(`{"availability_zones":[{"name":"a","region":"q"}]}`,
		"apply", "-f", "-", "--reason", "second", "--version", "1")
	is.Equal(code, 3)
	is.True(strings.Contains(failures, "changed by operator-1"))
	is.True(strings.Contains(failures, "first"))
	is.True(strings.Contains(failures, "stepctl get availability_zone/a"))
}

func TestOnlyDirectorsAgreeToRefusals(t *testing.T) {
	is := is.New(t)
	startOperatorServer(t)
	run("", "apply", "-f", demoFile, "--reason", "t")
	agree := []string{"agree", "towpath-desk/stalls", "--share", "0.2", "--lifetime", "15m", "--reason", "peak"}
	code, _, failures := run("", agree...)
	is.Equal(code, 6) // exitDenied: operator-1 is not a director
	is.True(strings.HasPrefix(failures, "stepctl: "))
	code, output, failures := run("", append([]string{"--token", "director-1-token"}, agree...)...)
	is.Equal(failures, "")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(output, "grant/towpath-desk.stalls: version "))
	_, output, _ = run("", "pages")
	is.True(strings.Contains(output, "agreed"))
	code, _, _ = run("", "--token", "director-1-token", "revoke", "towpath-desk/stalls", "--reason", "over")
	is.Equal(code, 0)
	_, output, _ = run("", "audit", "grant/towpath-desk.stalls")
	is.Equal(strings.Count(output, "\n"), 3) // header, agreement, revocation
}
