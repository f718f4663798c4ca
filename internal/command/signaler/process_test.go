// Package signaler_test runs the server programs as processes and sends them signals.
package signaler_test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const exitTimeout = 20 * time.Second

// buildPrograms returns the folder with the programs.
func buildPrograms(t *testing.T) string {
	folder := t.TempDir()
	for _, program := range []string{"stepfront", "stepd"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, program),
			"github.com/magnoliastep/magnoliastep/cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	return folder
}

// Guards against a process that is ended by a signal while it reads its settings, as by a SIGHUP soon after its start.
func TestSignalDuringStartDoesNotEndProcess(t *testing.T) {
	folder := buildPrograms(t)
	for _, program := range []string{"stepfront", "stepd"} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
			t.Run(program+" "+s.String(), func(t *testing.T) {
				is := is.New(t)
				settings := filepath.Join(t.TempDir(), "settings")
				is.NoErr(syscall.Mkfifo(settings, 0o600))
				var output bytes.Buffer
				process := exec.Command(filepath.Join(folder, program), "run", "--settings", settings)
				process.Stdout, process.Stderr = &output, &output
				is.NoErr(process.Start())
				w, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the process reads its settings
				is.NoErr(err)
				for range 3 {
					is.NoErr(process.Process.Signal(s))
					time.Sleep(10 * time.Millisecond)
				}
				_, err = w.WriteString("no settings")
				is.NoErr(err)
				is.NoErr(w.Close())
				kill := time.AfterFunc(exitTimeout, func() { _ = process.Process.Kill() })
				defer kill.Stop()
				var exit *exec.ExitError
				is.True(errors.As(process.Wait(), &exit))
				if exit.ExitCode() != 1 { // unusable settings
					t.Errorf("ended with %v: %s", exit, output.String())
				}
			})
		}
	}
}
