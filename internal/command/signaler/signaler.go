// Package signaler receives the signals of a server program. It never gives them back: a signal that nobody receives
// ends the process at once, with all requests that it holds, and signals come at any moment of a start and in series
// during a stop. The package imports only the standard library, so that it is initialized before most other packages.
package signaler

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// received has the signals of the process. The initialization of the other packages takes most of the time before main.
var received = receive() //nolint:gochecknoglobals // signals are global to a process

// Signaler receives signals. It is safe for concurrent use.
type Signaler struct {
	// stops receives SIGTERM and SIGINT, and reloads SIGHUP. Each has room for one signal; further ones are dropped.
	stops, reloads chan os.Signal
}

// New returns the Signaler of the process. None of SIGTERM, SIGINT and SIGHUP ends a program that imports this package,
// nor does a write to standard output or standard error whose reader is gone.
func New() *Signaler {
	return received
}

func receive() *Signaler {
	s := &Signaler{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Release restores the default actions of all signals, for commands that hold no requests.
func (s *Signaler) Release() {
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE)
}

// Context returns a context that ends with the first SIGTERM or SIGINT since the start, which its cause names. It must
// be called only once.
func (s *Signaler) Context() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { cancel(fmt.Errorf("signal: %v", <-s.stops)) }()
	return ctx
}

// Reloads returns a channel that receives SIGHUP. One that came before is received, too.
func (s *Signaler) Reloads() <-chan os.Signal {
	return s.reloads
}
