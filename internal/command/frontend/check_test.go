package frontend_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/magnoliastep/magnoliastep/internal/command/frontend"
	"github.com/magnoliastep/magnoliastep/internal/command/signaler"
)

const soundConfiguration = `{
"Version": 7,
"Routes": [
  {"Name": "a", "Host": "a.example", "PathPrefix": "/a/", "RouteType": "idempotent", "TimeoutMs": 500,
   "TargetLatencyMs": 50, "Priority": 0, "Service": "s", "Attempts": 2}
],
"Services": [{"Name": "s", "HealthPath": "/health", "MaxConns": 62, "Protocol": "h1", "Tls": false}],
"Limits": {"MaxHeaderBytes": 16384, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}
`

// check runs "stepfront check" with arguments and a standard input.
func check(input string, arguments ...string) (code int, output, errors string) {
	var out, err bytes.Buffer
	code = frontend.New(frontend.Config{
		Arguments: append([]string{"check"}, arguments...), Input: strings.NewReader(input), Output: &out, Errors: &err,
		Getenv: func(string) string { return "" }, Signals: signaler.New(),
	}).Run()
	return code, out.String(), err.String()
}

func file(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestSoundConfigurationPasses(t *testing.T) {
	is := is.New(t)
	code, output, errors := check(soundConfiguration, "-")
	is.Equal(code, 0)
	is.Equal(output, "-: 0 errors, 0 warnings, 0 changes\n")
	is.Equal(errors, "")
}

// What a node would pass over without a word must be named with its line, and make the check fail.
func TestFaultsAreNamedWithTheirLines(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", `"Priority": 0`, `"Priorty": 0`, `:5: error: Routes[0].Priorty: is not a known field`},
		{"field in another case", `"Host"`, `"host"`, `:4: error: Routes[0].host: is spelled Host`},
		{"value of another type", `"Version": 7`, `"Version": "7"`, `:2: error: Version: must be a whole number`},
		{"list that is none", `"Services": [`, `"Limits2": 1, "Services": [`, `:7: error: Limits2: is not a known field`},
		{"value given twice", `"Attempts": 2`, `"Attempts": 2, "Attempts": 3`, `:5: error: Routes[0].Attempts: is given`},
		{"service without an entry", `"Service": "s"`, `"Service": "t"`, `:4: error: Routes[0].Backends: service "t" has no`},
		{"type in an account", `"Limits"`, `"Tenants": [{"Name": 7}], "Limits"`, `:8: error: Tenants[0].Name: must be`},
		{"field of an account", `"Limits"`, `"Tenants": [{"Key": "x"}], "Limits"`, `:8: error: Tenants[0].Key: is not`},
		{"public that is no bool", `"Attempts"`, `"Public": "yes", "Attempts"`, `:5: error: Routes[0].Public: must be`},
		{"target above timeout", `Ms": 50,`, `Ms": 900,`, `:5: error: Routes[0].TargetLatencyMs: 900ms is above`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := file(t, strings.Replace(soundConfiguration, c.old, c.new, 1))
			code, output, _ := check("", path)
			is.Equal(code, 1)
			is.True(strings.Contains(output, path+c.want)) // output names file, line, value and reason
		})
	}
}

func TestTextThatNoNodeCanUseFails(t *testing.T) {
	is := is.New(t)
	code, _, errors := check("{\n\"Version\": 7,\n", "-")
	is.Equal(code, 1)
	is.True(strings.Contains(errors, "stepfront: -: configuration: line 3"))
	code, _, _ = check("", filepath.Join(t.TempDir(), "missing"))
	is.Equal(code, 1)
	code, _, errors = check("", "-", "--format", "xml")
	is.Equal(code, 2)
	is.True(strings.Contains(errors, "--format"))
}

// The configuration in force may come as the store's object; a version that nodes would ignore must be an error.
func TestDifferencesToTheVersionInForceAreShown(t *testing.T) {
	is := is.New(t)
	inForce := file(t, `{"meta": {"Name": "main", "Rev": 4}, "spec": `+soundConfiguration+`}`)
	next := strings.Replace(soundConfiguration, `"TimeoutMs": 500`, `"TimeoutMs": 600`, 1)
	code, output, _ := check(next, "-", "--against", inForce)
	is.Equal(code, 1)
	is.True(strings.Contains(output, "-:1: error: Version: 7 is not above the version in force, 7"))
	is.True(strings.Contains(output, "changed: route a.timeout: 500ms -> 600ms (callers of a.example/a/, leaves of s)"))
	code, output, _ = check(strings.Replace(next, "7", "8", 1), "-", "--against", inForce, "--format", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(output, `"touches": "callers of a.example/a/, leaves of s"`))
}

func TestLargeConfigurationIsCheckedWithinASecond(t *testing.T) {
	is := is.New(t)
	var routes []string
	for i := range 10_000 {
		routes = append(routes, fmt.Sprintf(`{"Name": "r%d", "Host": "a.example", "PathPrefix": "/r%d/",
			"RouteType": "idempotent", "TimeoutMs": 500, "TargetLatencyMs": 50, "Priority": 0, "Service": "s",
			"Attempts": 2}`, i, i))
	}
	text := strings.Replace(soundConfiguration, `"Routes": [`, `"Routes": [`+strings.Join(routes, ",\n")+",", 1)
	before := processorTime(t)
	code, output, _ := check(text, "-")
	took := processorTime(t) - before
	t.Logf("took %v", took)
	is.Equal(output, "-: 0 errors, 0 warnings, 0 changes\n")
	is.Equal(code, 0)
	is.True(took < raceSlowdown*time.Second) // the target holds for the program without the race detector
}

// processorTime returns the processor time of this process: other processes on the machine must not fail a test.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	is.New(t).NoErr(unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
