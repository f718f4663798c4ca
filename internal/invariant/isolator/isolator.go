// Package isolator runs pieces of work whose panic must not end the process, because it would end all requests with it.
// A panic is logged and counted. A violated invariant is no such panic: it ends the process, which happens only where
// the settings make violations fatal.
package isolator

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

// maxStackBytes bounds the part of a stack that is logged.
const maxStackBytes = 4 << 10

type (
	// Config holds what an Isolator needs.
	Config struct {
		Logger *slog.Logger
		// OnPanic is called with the kind of work that has panicked.
		OnPanic func(work string)
	}

	// Isolator runs work. It is safe for concurrent use.
	Isolator struct {
		config Config
	}
)

// New returns an Isolator.
func New(c Config) *Isolator {
	return &Isolator{config: c}
}

// Run calls f and returns an error if it has panicked. The attributes are alternating keys and values that describe the
// work, as for slog.
func (i *Isolator) Run(work string, f func(), attributes ...any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			RepanicViolation(p)
			i.Report(work, p, attributes...)
			err = errors.Newf("%s panicked: %v", work, p)
		}
	}()
	f()
	return nil
}

// Report logs and counts a panic. It must be called by the deferred function that has recovered from it.
func (i *Isolator) Report(work string, p any, attributes ...any) {
	stack := debug.Stack()
	i.config.Logger.Error("work panicked", append([]any{
		"work", work, "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStackBytes)]),
	}, attributes...)...)
	i.config.OnPanic(work)
}

// RepanicViolation panics again with a value from recover if it is a violated invariant.
func RepanicViolation(p any) {
	var violation *asserter.Violation
	if err, ok := p.(error); ok && errors.As(err, &violation) {
		panic(p)
	}
}
