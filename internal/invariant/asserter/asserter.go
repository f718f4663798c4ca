// Package asserter checks invariants at run time. The package that makes a decision calls Check with a condition
// and the name of the invariant. A violation is counted and logged, and panics if the settings make violations
// fatal, as in tests and long runs.
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
		// Logger gets one line for each violation. It may be nil.
		Logger *slog.Logger
		// Fatal makes each violation panic.
		Fatal bool
	}

	// Violation is the value with which a violated invariant panics. Code that recovers from panics must
	// panic with it again.
	Violation struct {
		name       string
		attributes []any
	}

	// Asserter checks invariants and counts violations. A nil Asserter panics on a violation.
	Asserter struct {
		logger     *slog.Logger
		fatal      bool
		violations atomic.Uint64
		mutex      sync.Mutex
		// byName counts violations by the name of the invariant. It has no entry for one that was never violated.
		byName map[string]uint64
	}
)

// New returns an Asserter.
func New(c Config) *Asserter {
	return &Asserter{logger: c.Logger, fatal: c.Fatal, byName: map[string]uint64{}}
}

// Check records a violation of the named invariant unless ok, and returns ok. The attributes are alternating
// keys and values that describe the state, as for slog.
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

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %v", v.name, v.attributes)
}

// Violations returns how many violations have been recorded.
func (a *Asserter) Violations() uint64 {
	return a.violations.Load()
}

// ViolationsByName returns a new map with the count of violations for each violated invariant.
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
