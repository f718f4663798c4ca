// Package writer takes log lines off the path of requests. Lines flow in and are written in the background;
// a line that finds the buffer full is dropped and counted, and the number is logged as soon as there is room.
// So the volume is bounded by what the output takes, and no request waits for it.
package writer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines is how many lines wait for the output.
	bufferedLines = 512
)

type (
	// Config holds what a Writer needs.
	Config struct {
		Output io.Writer
		// LinesPerSecond bounds what is written over time; zero means no bound.
		LinesPerSecond int
	}

	// Writer writes lines in the background. It is safe for concurrent use.
	Writer struct {
		config  Config
		lines   chan []byte
		dropped atomic.Uint64
		// closing is closed when no more lines are taken, and closed when all that wait are written.
		closing chan struct{}
		closed  chan struct{}
		once    sync.Once
	}
)

// New returns a Writer that writes until it is closed.
func New(c Config) *Writer {
	w := &Writer{
		config: c, lines: make(chan []byte, bufferedLines),
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since they were last counted in the log.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Close writes the lines that wait. Later lines are dropped.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.closed
}

func (w *Writer) run() {
	defer close(w.closed)
	budget, at := float64(w.config.LinesPerSecond), time.Now()
	for {
		line, ok := w.next()
		if !ok {
			return
		}
		if limit := float64(w.config.LinesPerSecond); limit > 0 {
			now := time.Now()
			budget = min(limit, budget+now.Sub(at).Seconds()*limit)
			at = now
			if budget < 1 {
				w.dropped.Add(1)
				continue
			}
			budget--
		}
		w.write(line)
	}
}

// next waits for a line. After the end it returns those that still wait, and then none.
func (w *Writer) next() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.closing:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.config.Output, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
	}
	// There is nowhere to report that the log itself can't be written.
	_, _ = w.config.Output.Write(line)
}
