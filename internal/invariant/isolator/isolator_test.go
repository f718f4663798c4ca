package isolator_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/invariant/isolator"
)

// Guards against panics that end the process, and against ones that leave no trace.
func TestPanicOfWorkIsReported(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	var works []string
	i := isolator.New(isolator.Config{
		Logger: slog.New(slog.NewTextHandler(&log, nil)), OnPanic: func(work string) { works = append(works, work) },
	})
	is.NoErr(i.Run("calm", func() {}))
	err := i.Run("frame", func() { panic("fault") }, "from", "n2")
	is.Equal(err.Error(), "frame panicked: fault")
	is.Equal(works, []string{"frame"})
	for _, text := range []string{"work=frame", "panic=fault", "from=n2", "isolator_test.go"} {
		is.True(strings.Contains(log.String(), text))
	}
}

// Guards against violated invariants that tests do not see.
func TestViolatedInvariantIsNotIsolated(t *testing.T) {
	is := is.New(t)
	i := isolator.New(isolator.Config{Logger: slog.New(slog.DiscardHandler), OnPanic: func(string) {}})
	a := asserter.New(asserter.Config{Fatal: true})
	defer func() {
		_, violation := recover().(*asserter.Violation)
		is.True(violation)
	}()
	_ = i.Run("frame", func() { a.Check(false, "some_invariant") })
}
