// Package asserter checks promises at the place where they are decided. Every decision package calls
// Check with a condition and the name of the invariant; a violation is counted and logged, and it
// stops the program where the settings ask for it, as tests and long runs do.
package asserter

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
)

type (
	// Config holds what an Asserter needs.
	Config struct {
		// Logger receives one line for each violation. It may be nil.
		Logger *slog.Logger
		// Fatal panics on a violation.
		Fatal bool
	}

	// Violation is the value of the panic that a violated invariant raises. Whoever recovers from panics
	// must raise it again.
	Violation struct {
		name       string
		attributes []any
	}

	// Asserter counts violated invariants. A nil Asserter panics on a violation.
	Asserter struct {
		logger     *slog.Logger
		fatal      bool
		violations atomic.Uint64
		mutex      sync.Mutex
		// byName never holds a zero count.
		byName map[string]uint64
	}
)

// New returns an Asserter.
func New(c Config) *Asserter {
	return &Asserter{logger: c.Logger, fatal: c.Fatal, byName: map[string]uint64{}}
}

// Check records a violation of the named invariant unless ok. The attributes are key, value pairs
// that describe the state. It returns ok.
func (a *Asserter) Check(ok bool, name string, attributes ...any) bool {
	if ok {
		return true
	}
	if a == nil {
		panic(&Violation{name: name, attributes: attributes})
	}
	a.record(name, attributes)
	if a.fatal {
		panic(&Violation{name: name, attributes: attributes})
	}
	return false
}

// Error describes the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %v", v.name, v.attributes)
}

// Violations returns how many violations were recorded.
func (a *Asserter) Violations() uint64 {
	return a.violations.Load()
}

// ViolationsByName returns a copy of the count for each violated invariant.
func (a *Asserter) ViolationsByName() map[string]uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	counts := make(map[string]uint64, len(a.byName))
	for n, c := range a.byName {
		counts[n] = c
	}
	return counts
}

func (a *Asserter) record(name string, attributes []any) {
	a.violations.Add(1)
	a.mutex.Lock()
	a.byName[name]++
	a.mutex.Unlock()
	if a.logger == nil {
		return
	}
	a.logger.Error("invariant violated", append([]any{"invariant", name}, attributes...)...)
}
